package admission

import "time"

// Bucket is a token bucket. Its rate and burst are passed to each call, so a
// change of either keeps the remaining tokens.
type Bucket struct {
	tokens  float64
	updated time.Time
}

// Take takes one token, or returns the time until there is one, which is zero
// when the rate is zero. The rate is in tokens per second, the burst in tokens. A
// new bucket is full.
func (b *Bucket) Take(now time.Time, rate, burst float64) (wait time.Duration, ok bool) {
	b.refill(now, rate, burst)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 {
		return 0, false
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// Full reports whether the bucket is full at the given time.
func (b *Bucket) Full(now time.Time, rate, burst float64) bool {
	return b.tokens+now.Sub(b.updated).Seconds()*rate >= max(burst, 1)
}

func (b *Bucket) refill(now time.Time, rate, burst float64) {
	burst = max(burst, 1)
	if b.updated.IsZero() {
		b.tokens, b.updated = burst, now
		return
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens += elapsed.Seconds() * rate
		b.updated = now
	}
	b.tokens = min(b.tokens, burst)
}
