package measure

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/primroseloom/primroseloom/policy/health"
)

// Parameters of the baselines, as published for ejection policies of their kind.
const (
	maxConsecutiveFailures = 5
	ejectionTime           = 30 * time.Second
	sweepInterval          = 10 * time.Second
	maxEjectedShare        = 0.1
	sweepMinTargets        = 5
	sweepMinRequests       = 100
	sweepStdDevFactor      = 1.9
)

// baselineTarget is the state that a baseline keeps for a target.
type baselineTarget struct {
	consecutiveFailures int
	ejected             bool
	ejectedUntil        time.Duration
	ejections           int
	successes, requests int
}

// baseline ejects a target after consecutive failures; with comparesRates set
// it also compares success rates and limits the share of ejected targets.
type baseline struct {
	targets       []baselineTarget
	weights       []float64
	comparesRates bool
	nextSweep     time.Duration
}

// NewNaiveHealth builds the baseline that ejects a target for 30 s after five
// consecutive failures.
func NewNaiveHealth(config *DeciderConfig) Health { return newBaseline(config, false) }

// NewOutlierHealth builds the usual outlier detection: it ejects a target after
// consecutive failures, or when its success rate is far below the mean.
func NewOutlierHealth(config *DeciderConfig) Health { return newBaseline(config, true) }

func newBaseline(config *DeciderConfig, comparesRates bool) *baseline {
	b := &baseline{targets: make([]baselineTarget, config.Targets), weights: make([]float64, config.Targets), comparesRates: comparesRates}
	for i := range b.weights {
		b.weights[i] = 1
	}
	b.nextSweep = time.Duration(config.Random.Int64N(int64(sweepInterval)))
	return b
}

// Started implements Health.
func (b *baseline) Started(time.Duration, Attempt) {}

// Ended implements Health.
func (b *baseline) Ended(now time.Duration, attempt Attempt, kind health.Kind, _ time.Duration) {
	target := &b.targets[attempt.Target]
	target.requests++
	if !kind.Failed() {
		target.consecutiveFailures = 0
		target.successes++
		return
	}
	target.consecutiveFailures++
	if target.consecutiveFailures >= maxConsecutiveFailures {
		b.eject(now, attempt.Target)
	}
}

// eject ejects a target, within the allowed share when success rates are
// compared. With success rates compared, the n-th ejection of a target lasts n
// times ejectionTime.
func (b *baseline) eject(now time.Duration, index int) {
	target := &b.targets[index]
	if target.ejected || b.comparesRates && !b.mayEject() {
		return
	}
	target.ejected = true
	target.ejections++
	target.consecutiveFailures = 0
	target.ejectedUntil = now + ejectionTime
	if b.comparesRates {
		target.ejectedUntil = now + time.Duration(target.ejections)*ejectionTime
	}
	b.weights[index] = 0
}

// mayEject reports whether the share of ejected targets allows one more; one
// target may always be ejected.
func (b *baseline) mayEject() bool {
	ejected := 0
	for i := range b.targets {
		if b.targets[i].ejected {
			ejected++
		}
	}
	return ejected == 0 || float64(ejected+1) <= maxEjectedShare*float64(len(b.targets))
}

// Tick implements Health.
func (b *baseline) Tick(now time.Duration) {
	if b.comparesRates {
		b.sweepIfDue(now)
		return
	}
	b.readmit(now)
}

// sweepIfDue readmits targets and compares success rates once every sweepInterval.
func (b *baseline) sweepIfDue(now time.Duration) {
	if now < b.nextSweep {
		return
	}
	b.nextSweep = now + sweepInterval
	b.readmit(now)
	b.ejectLowSuccessRates(now)
}

// readmit ends the ejections whose time is over.
func (b *baseline) readmit(now time.Duration) {
	for i := range b.targets {
		if b.targets[i].ejected && now >= b.targets[i].ejectedUntil {
			b.targets[i].ejected = false
			b.weights[i] = 1
		}
	}
}

// ejectLowSuccessRates ejects targets whose success rate lies more than
// sweepStdDevFactor standard deviations below the mean, and resets the counts.
func (b *baseline) ejectLowSuccessRates(now time.Duration) {
	var rates []float64
	for i := range b.targets {
		if b.targets[i].requests >= sweepMinRequests {
			rates = append(rates, b.targets[i].successRate())
		}
	}
	if len(rates) >= sweepMinTargets {
		mean, deviation := stat.PopMeanStdDev(rates, nil)
		for i := range b.targets {
			low := b.targets[i].successRate() < mean-sweepStdDevFactor*deviation
			if b.targets[i].requests >= sweepMinRequests && low {
				b.eject(now, i)
			}
		}
	}
	for i := range b.targets {
		b.targets[i].successes, b.targets[i].requests = 0, 0
	}
}

func (t *baselineTarget) successRate() float64 {
	return float64(t.successes) / math.Max(1, float64(t.requests))
}

// Probed implements Health; the baselines use the results of requests only.
func (b *baseline) Probed(time.Duration, int, bool) {}

// Weights implements Health.
func (b *baseline) Weights(bool) []float64 { return b.weights }

// NextTrial implements Health; the baselines send no trials.
func (b *baseline) NextTrial(time.Duration) (int, bool) { return 0, false }

// State implements Health.
func (b *baseline) State(target int) health.State {
	if b.targets[target].ejected {
		return health.Ejected
	}
	return health.Healthy
}
