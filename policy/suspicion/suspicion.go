package suspicion

import (
	"math"
	"time"
)

// StateDurations are the mean times that a target stays faulty and healthy.
type StateDurations struct {
	Faulty, Healthy time.Duration
}

// The mean durations of each kind of fault. Slowness is assumed to be rarer than
// failures, so that a single long response does not make a target suspect.
var (
	FailingDurations  = StateDurations{Faulty: 6 * time.Second, Healthy: time.Minute}
	SlowDurations     = StateDurations{Faulty: 6 * time.Second, Healthy: 5 * time.Minute}
	SheddingDurations = StateDurations{Faulty: 6 * time.Second, Healthy: time.Minute}
)

// steadyShare returns the long-term share of time that a target is faulty.
func (d StateDurations) steadyShare() float64 { return float64(d.Faulty) / float64(d.Faulty+d.Healthy) }

// decayRate returns the rate, per second, at which estimates without new evidence
// return to the steady share.
func (d StateDurations) decayRate() float64 { return 1/d.Faulty.Seconds() + 1/d.Healthy.Seconds() }

// Bounds of the accumulated evidence.
const (
	// maxNats bounds the certainty that a target is faulty.
	maxNats = 4.5
	// minNats bounds the certainty that a target is healthy, so that a new
	// fault is detected at once.
	minNats = -4.0
)

// FaultEstimate estimates whether a target has one kind of fault.
type FaultEstimate struct {
	durations StateDurations
	// nats is the logarithm of the odds that the target is faulty.
	nats      float64
	updatedAt time.Duration
}

// NewFaultEstimate returns an estimate without evidence.
func NewFaultEstimate(durations StateDurations, now time.Duration) FaultEstimate {
	return FaultEstimate{durations: durations, nats: max(logOdds(durations.steadyShare()), minNats), updatedAt: now}
}

// Observe adds evidence; positive nats raise the probability of the fault.
func (f *FaultEstimate) Observe(nats float64, now time.Duration) {
	f.advance(now)
	f.nats = min(max(f.nats+nats, minNats), maxNats)
}

// Probability returns the probability that the target is faulty.
func (f *FaultEstimate) Probability(now time.Duration) float64 {
	f.advance(now)
	return probability(f.nats)
}

// advance moves the estimate towards the steady share for the time since its
// last update.
func (f *FaultEstimate) advance(now time.Duration) {
	elapsed := now - f.updatedAt
	if elapsed <= 0 {
		return
	}
	f.updatedAt = now
	steady := f.durations.steadyShare()
	kept := math.Exp(-f.durations.decayRate() * elapsed.Seconds())
	f.nats = logOdds(steady + (probability(f.nats)-steady)*kept)
}

func probability(nats float64) float64 { return 1 / (1 + math.Exp(-nats)) }

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }
