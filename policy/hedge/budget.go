package hedge

import "time"

const (
	// Window is the time over which hedges are compared with requests.
	Window = 10 * time.Second
	// bucketTime is the resolution of the window.
	bucketTime = time.Second
	// requestBuckets is the number of buckets within a window that ends now. hedgeBuckets is
	// one more, so that they cover at least one whole window wherever it begins.
	requestBuckets = int(Window / bucketTime)
	hedgeBuckets   = requestBuckets + 1
)

// Budget limits the hedges of one service on one VM: to a ratio of the requests
// since the start, and in each Window to the same ratio of its requests. A VM whose
// requests earn less than one hedge in a Window saves up for one. The zero value is
// empty and ready for use.
type Budget struct {
	// tokens is the number of hedges earned and not spent, at most what a window earns.
	tokens float64
	// requests and hedges count by slot of the window; newest is the latest slot's
	// number.
	requests, hedges [hedgeBuckets]int
	newest           int64
}

// Earn records one request; ratio is in hedges a request.
func (b *Budget) Earn(ratio float64, now time.Duration) {
	if ratio <= 0 {
		return
	}
	b.advance(now)
	b.requests[b.newest%int64(hedgeBuckets)]++
	b.tokens = min(b.tokens+ratio, max(1, ratio*float64(b.windowRequests())))
}

// Available reports whether the budget allows a hedge.
func (b *Budget) Available(ratio float64, now time.Duration) bool {
	b.advance(now)
	if ratio <= 0 || b.tokens < 1 {
		return false
	}
	hedges := b.windowHedges()
	return hedges == 0 || float64(hedges+1) <= ratio*float64(b.windowRequests())
}

// Spend records a hedge and reports whether the budget allows it.
func (b *Budget) Spend(ratio float64, now time.Duration) bool {
	if !b.Available(ratio, now) {
		return false
	}
	b.tokens--
	b.hedges[b.newest%int64(hedgeBuckets)]++
	return true
}

// advance clears the slots that begin since the latest call.
func (b *Budget) advance(now time.Duration) {
	slot := int64(now / bucketTime)
	for cleared := 0; b.newest < slot && cleared < hedgeBuckets; cleared++ {
		b.newest++
		b.requests[b.newest%int64(hedgeBuckets)] = 0
		b.hedges[b.newest%int64(hedgeBuckets)] = 0
	}
	b.newest = max(b.newest, slot)
}

func (b *Budget) windowRequests() int {
	oldest := (b.newest + 1) % int64(hedgeBuckets)
	return sum(b.requests) - b.requests[oldest]
}

func (b *Budget) windowHedges() int { return sum(b.hedges) }

func sum(counts [hedgeBuckets]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
