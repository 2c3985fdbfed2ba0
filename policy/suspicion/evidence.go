package suspicion

import (
	"math"
	"time"
)

// Result classifies the end of an attempt as evidence about its target.
type Result int

// The ends of an attempt.
const (
	// ResultServed is a whole answer of the target's own that is no server error.
	ResultServed Result = iota
	// ResultFailed is a server error, a broken or wrong answer, or a connection
	// that closed without one.
	ResultFailed
	// ResultShed is a refusal by a target that should have had room.
	ResultShed
	// ResultTimedOut is an attempt that got no answer within its time.
	ResultTimedOut
	// ResultNeutral says nothing about the target, such as a caller that left.
	ResultNeutral
)

// Shares of attempts that end badly at ill and at well targets.
const (
	illFailShare  = 0.75
	wellFailShare = 0.015
	// illShedShare and wellShedShare are refusals although slots are free.
	illShedShare  = 0.5
	wellShedShare = 0.05
)

// FailureNats returns what an end says about failing.
func FailureNats(end Result) float64 {
	switch end {
	case ResultServed:
		return math.Log((1 - illFailShare) / (1 - wellFailShare))
	case ResultFailed, ResultTimedOut:
		return math.Log(illFailShare / wellFailShare)
	case ResultShed, ResultNeutral:
	}
	return 0
}

// ShedNats returns what an end says about refusals without need.
func ShedNats(end Result) float64 {
	switch end {
	case ResultServed, ResultFailed:
		return math.Log((1 - illShedShare) / (1 - wellShedShare))
	case ResultShed:
		return math.Log(illShedShare / wellShedShare)
	case ResultTimedOut, ResultNeutral:
	}
	return 0
}

// Parameters of the evidence for slowness.
const (
	// slowFactor is how much longer a slow target takes, as assumed.
	slowFactor = 4.0
	// minSpread is the least standard deviation of the logarithm of durations.
	minSpread = 0.4
	// minSamples is the number of durations before they can be compared.
	minSamples = 12
	// memory is the number of durations that the reference remembers.
	memory = 200.0
	// minSlowNats and maxSlowNats bound the evidence of one attempt.
	minSlowNats = -0.8
	maxSlowNats = 1.6
	// overdueSpreads is how many standard deviations past the mean an attempt is overdue.
	overdueSpreads = 2.5
	// waitDoubt is how many times longer than expected a wait for a slot may be
	// before it speaks for slowness: it depends on what others asked for.
	waitDoubt = 2
	// OverdueNats is the evidence of an attempt that is overdue and still runs.
	OverdueNats = 1.6
)

// Reference is what attempts of one route usually take, over all targets.
type Reference struct {
	// count, mean and variance describe the logarithm of the durations, in
	// seconds, of attempts that did not wait for a slot.
	count    float64
	mean     float64
	variance float64
	work     average
}

// average is a running mean of durations in seconds.
type average struct {
	count, mean float64
}

func (a *average) add(took time.Duration) {
	a.count = min(a.count+1, memory)
	a.mean += (took.Seconds() - a.mean) / a.count
}

// AddWaited takes over the duration of an attempt that had to wait for a slot.
// WorkShare is the part of the duration that its own work is expected to be.
func (r *Reference) AddWaited(took time.Duration, workShare float64) {
	r.work.add(time.Duration(float64(took) * workShare))
}

// Add takes over the duration of one attempt at a target that is not suspect
// and had a free slot.
func (r *Reference) Add(took time.Duration) {
	x := math.Log(max(took.Seconds(), 1e-4))
	r.count = min(r.count+1, memory)
	gain := 1 / r.count
	difference := x - r.mean
	r.mean += gain * difference
	r.variance = (1 - gain) * (r.variance + gain*difference*difference)
	r.work.add(took)
}

// HasEnoughSamples reports whether there are enough durations to compare others with.
func (r *Reference) HasEnoughSamples() bool { return r.count >= minSamples }

// MeanServiceTime returns the average work of an attempt, or the fallback while it is not known.
func (r *Reference) MeanServiceTime(fallback time.Duration) time.Duration {
	if r.work.count < minSamples {
		return fallback
	}
	return time.Duration(r.work.mean * float64(time.Second))
}

// SlowNats returns what a duration says about slowness.
func (r *Reference) SlowNats(took time.Duration) float64 {
	if !r.HasEnoughSamples() {
		return 0
	}
	spread := r.spread()
	shift := math.Log(slowFactor)
	x := math.Log(max(took.Seconds(), 1e-4)) - r.mean
	nats := (x*shift - shift*shift/2) / (spread * spread)
	return min(max(nats, minSlowNats), maxSlowNats)
}

// Overdue returns the duration past which an attempt speaks for slowness while
// it still runs, or zero while that is not known. Wait is how long it is
// expected to wait for a slot first.
func (r *Reference) Overdue(wait time.Duration) time.Duration {
	if !r.HasEnoughSamples() {
		return 0
	}
	return waitDoubt*wait + time.Duration(math.Exp(r.mean+overdueSpreads*r.spread())*float64(time.Second))
}

func (r *Reference) spread() float64 { return max(math.Sqrt(r.variance), minSpread) }
