package gateway

import (
	"math"
	"sync"
	"time"
)

// rateMemory is the time over which the rate of requests is averaged.
const rateMemory = 2 * time.Second

// rate is the average rate of requests, fading exponentially. The zero value
// is ready for use.
type rate struct {
	mu    sync.Mutex
	value float64
	at    time.Time
}

// add counts one request.
func (r *rate) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fade(now)
	r.value += 1 / rateMemory.Seconds()
}

// perSecond returns the requests a second.
func (r *rate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fade(now)
	return r.value
}

// fade lets time pass; the lock is held.
func (r *rate) fade(now time.Time) {
	r.value *= math.Exp(-now.Sub(r.at).Seconds() / rateMemory.Seconds())
	r.at = now
}

// Rate returns the requests a second that this VM serves.
func (g *Gateway) Rate() float64 { return g.rate.perSecond(time.Now()) }
