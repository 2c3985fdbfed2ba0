package targetset

import "time"

const (
	// boundTime is how long a bound holds after the latest end of a target.
	boundTime = time.Minute
	// minBound is the smallest bound in bytes, boundedBody the smallest body to which it
	// applies: small ones hardly add to what a target holds.
	minBound, boundedBody = 1 << 20, 64 << 10
)

// recentBytesWindow is how far back the most bytes at a target are known. A target that ends
// for lack of memory does so while it reads or runs what was sent to it.
const recentBytesWindow = 2 * time.Second

// recentBytes counts the bytes of the requests that are in progress at a target from this VM.
// The zero value is ready for use.
type recentBytes struct {
	inProgress int64
	// most is the most that were in progress at a time since the uptime at.
	most int64
	at   time.Duration
}

// add counts a request that begins.
func (r *recentBytes) add(bytes int64, now time.Duration) {
	r.inProgress += bytes
	if r.inProgress >= r.most || now-r.at > recentBytesWindow {
		r.most, r.at = r.inProgress, now
	}
}

// remove counts a request that ended.
func (r *recentBytes) remove(bytes int64) { r.inProgress -= bytes }

// latest returns the most bytes that were in progress within recentBytesWindow.
func (r *recentBytes) latest(now time.Duration) int64 {
	if now-r.at > recentBytesWindow {
		return r.inProgress
	}
	return max(r.most, r.inProgress)
}

// OtherBytes returns the most bytes of other requests of this VM that its target held at a
// time within the last seconds.
func (a *Attempt) OtherBytes() int64 {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(a.target.bytes.latest(m.options.Uptime())-a.bytes, 0)
}

// HeldTooMuch records that the target may have ended because of the bytes that it held. For a
// while, this VM sends at most half as many at a time to each target of the service.
func (a *Attempt) HeldTooMuch() {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Uptime()
	a.service.bytesBound.lower(a.target.bytes.latest(now)/2, now)
}

// bytesBound bounds the bytes of the requests in progress at each target of a service from
// this VM. The zero value sets no bound.
type bytesBound struct {
	limit int64
	until time.Duration
}

// lower sets the bound, unless a lower one holds, and lets it hold for boundTime.
func (b *bytesBound) lower(limit int64, now time.Duration) {
	limit = max(limit, minBound)
	if now < b.until {
		limit = min(limit, b.limit)
	}
	b.limit, b.until = limit, now+boundTime
}

// allows reports whether a target that holds some bytes may be sent a body. One that holds
// nothing may.
func (b *bytesBound) allows(held, body int64, now time.Duration) bool {
	return now >= b.until || body < boundedBody || held == 0 || held+body <= b.limit
}
