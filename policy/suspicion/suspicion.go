package suspicion

import (
	"math"
	"time"
)

// StateDurations are how long a target stays in each state of a fault, on average.
type StateDurations struct {
	Faulty, Healthy time.Duration
}

// The rates of the faults. Slowness is rarer than failures: without evidence it
// is assumed of few targets, so that one long answer alone convicts none.
var (
	FailingDurations  = StateDurations{Faulty: 6 * time.Second, Healthy: time.Minute}
	SlowDurations     = StateDurations{Faulty: 6 * time.Second, Healthy: 5 * time.Minute}
	SheddingDurations = StateDurations{Faulty: 6 * time.Second, Healthy: time.Minute}
)

// steadyShare is the share of time that a target is ill, without evidence.
func (r StateDurations) steadyShare() float64 { return float64(r.Faulty) / float64(r.Faulty+r.Healthy) }

// change is the rate, in changes a second, at which estimates return to the steady share.
func (r StateDurations) change() float64 { return 1/r.Faulty.Seconds() + 1/r.Healthy.Seconds() }

// Bounds on what evidence can build up.
const (
	// maxNats bounds the certainty that a target is ill.
	maxNats = 4.5
	// minNats bounds the certainty that a target is well, so that a new fault shows at once.
	minNats = -4.0
)

// FaultEstimate is one two-state estimate.
type FaultEstimate struct {
	rates StateDurations
	// nats is the logarithm of the odds that the target is ill.
	nats float64
	at   time.Duration
}

// NewFaultEstimate returns an estimate without evidence.
func NewFaultEstimate(rates StateDurations, now time.Duration) FaultEstimate {
	return FaultEstimate{rates: rates, nats: max(logOdds(rates.steadyShare()), minNats), at: now}
}

// Observe adds evidence; positive nats speak for the fault.
func (f *FaultEstimate) Observe(nats float64, now time.Duration) {
	f.advance(now)
	f.nats = min(max(f.nats+nats, minNats), maxNats)
}

// Probability returns how likely the target is ill.
func (f *FaultEstimate) Probability(now time.Duration) float64 {
	f.advance(now)
	return probability(f.nats)
}

// advance lets time pass: estimates return to the steady share.
func (f *FaultEstimate) advance(now time.Duration) {
	passed := now - f.at
	if passed <= 0 {
		return
	}
	f.at = now
	steady := f.rates.steadyShare()
	kept := math.Exp(-f.rates.change() * passed.Seconds())
	f.nats = logOdds(steady + (probability(f.nats)-steady)*kept)
}

func probability(nats float64) float64 { return 1 / (1 + math.Exp(-nats)) }

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }
