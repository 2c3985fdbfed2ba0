package measure

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/primroseloom/primroseloom/policy/health"
)

// Parameters of the baselines, as published for their kind.
const (
	failuresInRow     = 5
	ejectionTime      = 30 * time.Second
	sweepInterval     = 10 * time.Second
	maxEjectedShare   = 0.1
	sweepMinTargets   = 5
	sweepMinRequests  = 100
	sweepStdDevFactor = 1.9
)

// baselineTarget is what a baseline knows about a target.
type baselineTarget struct {
	inRow      int
	ejected    bool
	until      time.Duration
	times      int
	good, seen int
}

// baseline ejects after consecutive failures; with sweep set it also compares
// success rates and bounds the share of ejected targets.
type baseline struct {
	targets   []baselineTarget
	weights   []float64
	sweep     bool
	nextSweep time.Duration
}

// NewNaiveHealth builds the health judge that ejects for 30 s after five failures in a row.
func NewNaiveHealth(s *DeciderConfig) Health { return newBaseline(s, false) }

// NewOutlierHealth builds the usual outlier detection.
func NewOutlierHealth(s *DeciderConfig) Health { return newBaseline(s, true) }

func newBaseline(s *DeciderConfig, sweep bool) *baseline {
	b := &baseline{targets: make([]baselineTarget, s.Targets), weights: make([]float64, s.Targets), sweep: sweep}
	for i := range b.weights {
		b.weights[i] = 1
	}
	b.nextSweep = time.Duration(s.Random.Int64N(int64(sweepInterval)))
	return b
}

// Started implements Health.
func (b *baseline) Started(time.Duration, Attempt) {}

// Ended implements Health.
func (b *baseline) Ended(now time.Duration, attempt Attempt, kind health.Kind, _ time.Duration) {
	target := &b.targets[attempt.Target]
	target.seen++
	if !kind.Failed() {
		target.inRow = 0
		target.good++
		return
	}
	target.inRow++
	if target.inRow >= failuresInRow {
		b.eject(now, attempt.Target)
	}
}

// eject takes a target out, within the allowed share.
func (b *baseline) eject(now time.Duration, index int) {
	target := &b.targets[index]
	if target.ejected || b.sweep && !b.mayEject() {
		return
	}
	target.ejected = true
	target.times++
	target.inRow = 0
	target.until = now + ejectionTime
	if b.sweep {
		target.until = now + time.Duration(target.times)*ejectionTime
	}
	b.weights[index] = 0
}

// mayEject reports whether the share of ejected targets allows one more; one always may go.
func (b *baseline) mayEject() bool {
	out := 0
	for i := range b.targets {
		if b.targets[i].ejected {
			out++
		}
	}
	return out == 0 || float64(out+1) <= maxEjectedShare*float64(len(b.targets))
}

// Tick implements Health.
func (b *baseline) Tick(now time.Duration) {
	if b.sweep {
		b.sweepAt(now)
		return
	}
	b.readmit(now)
}

// sweepAt runs the periodic comparison when its time has come.
func (b *baseline) sweepAt(now time.Duration) {
	if now < b.nextSweep {
		return
	}
	b.nextSweep = now + sweepInterval
	b.readmit(now)
	b.compare(now)
}

func (b *baseline) readmit(now time.Duration) {
	for i := range b.targets {
		if b.targets[i].ejected && now >= b.targets[i].until {
			b.targets[i].ejected = false
			b.weights[i] = 1
		}
	}
}

// compare ejects targets whose success rate lies far below the mean.
func (b *baseline) compare(now time.Duration) {
	var rates []float64
	for i := range b.targets {
		if b.targets[i].seen >= sweepMinRequests {
			rates = append(rates, b.targets[i].rate())
		}
	}
	if len(rates) >= sweepMinTargets {
		mean, deviation := stat.PopMeanStdDev(rates, nil)
		for i := range b.targets {
			low := b.targets[i].rate() < mean-sweepStdDevFactor*deviation
			if b.targets[i].seen >= sweepMinRequests && low {
				b.eject(now, i)
			}
		}
	}
	for i := range b.targets {
		b.targets[i].good, b.targets[i].seen = 0, 0
	}
}

func (t *baselineTarget) rate() float64 {
	return float64(t.good) / math.Max(1, float64(t.seen))
}

// Probed implements Health; the baselines judge by requests only.
func (b *baseline) Probed(time.Duration, int, bool) {}

// Weights implements Health.
func (b *baseline) Weights(bool) []float64 { return b.weights }

// NextTrial implements Health.
func (b *baseline) NextTrial(time.Duration) (int, bool) { return 0, false }

// State implements Health.
func (b *baseline) State(target int) health.State {
	if b.targets[target].ejected {
		return health.Ejected
	}
	return health.Healthy
}
