package suspicion

import (
	"math"
	"time"
)

// Rates at which targets fall ill and recover.
const (
	// illTime is how long a target stays ill, on average.
	illTime = 6 * time.Second
	// wellTime is how long a target stays well, on average.
	wellTime = 60 * time.Second
	// maxNats bounds the certainty that evidence can build up.
	maxNats = 4.5
	// minNats bounds the certainty that a target is well, so that a new fault shows at once.
	minNats = -4.0
)

// Fault is one two-state estimate.
type Fault struct {
	// nats is the logarithm of the odds that the target is ill.
	nats float64
	at   time.Duration
}

// steadyOdds is the share of time that a target is ill without evidence.
var steadyShare = float64(illTime) / float64(illTime+wellTime)

// NewFault returns an estimate without evidence.
func NewFault(now time.Duration) Fault { return Fault{nats: logOdds(steadyShare), at: now} }

// Observe adds evidence; positive nats speak for the fault.
func (f *Fault) Observe(nats float64, now time.Duration) {
	f.advance(now)
	f.nats = min(max(f.nats+nats, minNats), maxNats)
}

// Probability returns how likely the target is ill.
func (f *Fault) Probability(now time.Duration) float64 {
	f.advance(now)
	return probability(f.nats)
}

// advance lets time pass: estimates return to the steady share.
func (f *Fault) advance(now time.Duration) {
	passed := now - f.at
	if passed <= 0 {
		return
	}
	f.at = now
	rate := 1/illTime.Seconds() + 1/wellTime.Seconds()
	kept := math.Exp(-rate * passed.Seconds())
	f.nats = logOdds(steadyShare + (probability(f.nats)-steadyShare)*kept)
}

func probability(nats float64) float64 { return 1 / (1 + math.Exp(-nats)) }

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }
