package gateway

import (
	"math"
	"sync"
	"time"
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
func (r *rate) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.value += 1 / rateTimeConstant.Seconds()
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

// Rate returns the average requests per second that this VM receives.
func (g *Gateway) Rate() float64 { return g.rate.perSecond(time.Now()) }
