package gateway

import (
	"math"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/policy/offer"
)

// rateTimeConstant is the time constant of the exponential average of the request
// rate.
const rateTimeConstant = 2 * time.Second

// rate is an exponentially weighted average of requests per second. The zero value
// is ready for use.
type rate struct {
	mu        sync.Mutex
	value     float64
	updatedAt time.Time
}

// add counts one request.
func (r *rate) add(now time.Time) { r.addAmount(1, now) }

// addAmount counts an amount, of which the average is the amount a second.
func (r *rate) addAmount(amount float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.value += amount / rateTimeConstant.Seconds()
}

// perSecond returns the average rate in requests per second.
func (r *rate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	return r.value
}

// decay reduces the average by the time since the last update. The caller holds
// the lock.
func (r *rate) decay(now time.Time) {
	r.value *= math.Exp(-now.Sub(r.updatedAt).Seconds() / rateTimeConstant.Seconds())
	r.updatedAt = now
}

// Rate returns the average requests per second that this VM receives. Within a bound on the
// bytes held, requests count for more while their responses use more of the link or of the
// memory than average ones.
func (g *Gateway) Rate() float64 {
	now := time.Now()
	requests := g.rate.perSecond(now)
	if g.memory == nil {
		return requests
	}
	return offer.Rate(offer.Use{
		Requests: requests, BitsPerSecond: g.memory.sent.perSecond(now) * bitsPerByte, HeldShare: g.memory.heldShare(),
	}, g.options.Capacity, g.options.LinkMbps)
}

const bitsPerByte = 8
