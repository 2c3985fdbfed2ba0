package suspicion

import (
	"math"
	"time"
)

// Rates are how long a target stays in each state of a fault, on average.
type Rates struct {
	Ill, Well time.Duration
}

// The rates of the faults. Slowness is rarer than failures: without evidence it
// is assumed of few targets, so that one long answer alone convicts none.
var (
	FailingRates  = Rates{Ill: 6 * time.Second, Well: time.Minute}
	SlowRates     = Rates{Ill: 6 * time.Second, Well: 5 * time.Minute}
	SheddingRates = Rates{Ill: 6 * time.Second, Well: time.Minute}
)

// steadyShare is the share of time that a target is ill, without evidence.
func (r Rates) steadyShare() float64 { return float64(r.Ill) / float64(r.Ill+r.Well) }

// change is the rate, in changes a second, at which estimates return to the steady share.
func (r Rates) change() float64 { return 1/r.Ill.Seconds() + 1/r.Well.Seconds() }

// Bounds on what evidence can build up.
const (
	// maxNats bounds the certainty that a target is ill.
	maxNats = 4.5
	// minNats bounds the certainty that a target is well, so that a new fault shows at once.
	minNats = -4.0
)

// Fault is one two-state estimate.
type Fault struct {
	rates Rates
	// nats is the logarithm of the odds that the target is ill.
	nats float64
	at   time.Duration
}

// NewFault returns an estimate without evidence.
func NewFault(rates Rates, now time.Duration) Fault {
	return Fault{rates: rates, nats: max(logOdds(rates.steadyShare()), minNats), at: now}
}

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
	steady := f.rates.steadyShare()
	kept := math.Exp(-f.rates.change() * passed.Seconds())
	f.nats = logOdds(steady + (probability(f.nats)-steady)*kept)
}

func probability(nats float64) float64 { return 1 / (1 + math.Exp(-nats)) }

func logOdds(p float64) float64 { return math.Log(p / (1 - p)) }
