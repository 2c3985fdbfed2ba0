package suspicion

import (
	"math"
	"time"
)

// Result classifies the result of an attempt as evidence about its target.
type Result int

// The results of an attempt.
const (
	// ResultServed is a complete response of the target itself that is not
	// a server error.
	ResultServed Result = iota
	// ResultFailed is a server error, a truncated or wrong response, or a
	// connection that closed without a response.
	ResultFailed
	// ResultShed is a refusal by a target that should have had a free slot.
	ResultShed
	// ResultTimedOut is an attempt that got no response within its timeout.
	ResultTimedOut
	// ResultNeutral is no evidence about the target, such as a caller that
	// disconnected.
	ResultNeutral
)

// Expected shares of failed and of shed attempts at faulty and at healthy targets.
const (
	faultyFailShare  = 0.75
	healthyFailShare = 0.015
	// faultyShedShare and healthyShedShare are the shares of attempts refused while
	// a slot is free, at a target that sheds and at a healthy one.
	faultyShedShare  = 0.5
	healthyShedShare = 0.05
)

// FailureNats returns the evidence, in nats, of a result for a failing target.
func FailureNats(result Result) float64 {
	switch result {
	case ResultServed:
		return math.Log((1 - faultyFailShare) / (1 - healthyFailShare))
	case ResultFailed, ResultTimedOut:
		return math.Log(faultyFailShare / healthyFailShare)
	case ResultShed, ResultNeutral:
	}
	return 0
}

// ShedNats returns the evidence, in nats, of a result for a target that refuses
// requests although it has free slots.
func ShedNats(result Result) float64 {
	switch result {
	case ResultServed, ResultFailed:
		return math.Log((1 - faultyShedShare) / (1 - healthyShedShare))
	case ResultShed:
		return math.Log(faultyShedShare / healthyShedShare)
	case ResultTimedOut, ResultNeutral:
	}
	return 0
}

// Parameters of the evidence for slowness.
const (
	// slowFactor is how many times longer a slow target is assumed to take.
	slowFactor = 4.0
	// minLogDeviation is the minimum standard deviation of the logarithm of durations.
	minLogDeviation = 0.4
	// minSamples is the number of durations needed before others are compared with them.
	minSamples = 12
	// averagingWindow is the number of durations that the running averages span.
	averagingWindow = 200.0
	// minSlowNats and maxSlowNats bound the evidence of one attempt.
	minSlowNats = -0.8
	maxSlowNats = 1.6
	// overdueDeviations is how many standard deviations past the mean an attempt is overdue.
	overdueDeviations = 2.5
	// slotWaitTolerance is how many times longer than expected a wait for a slot
	// may be before it is evidence for slowness, since the wait depends on the
	// requests of others.
	slotWaitTolerance = 2
	// OverdueNats is the evidence of an attempt that is overdue and still runs.
	OverdueNats = 1.6
)

// Reference holds the distribution of the durations of one route's attempts,
// over all targets.
type Reference struct {
	// count, mean and variance describe the logarithm of the durations, in
	// seconds, of attempts that did not wait for a slot.
	count       float64
	mean        float64
	variance    float64
	serviceTime runningMean
}

// runningMean is a running mean of durations in seconds.
type runningMean struct {
	count, mean float64
}

func (m *runningMean) add(elapsed time.Duration) {
	m.count = min(m.count+1, averagingWindow)
	m.mean += (elapsed.Seconds() - m.mean) / m.count
}

// AddWaited adds the duration of an attempt that had to wait for a slot.
// The serviceShare is the fraction of the duration that is expected to be service
// time rather than waiting. Only the mean service time is updated.
func (r *Reference) AddWaited(elapsed time.Duration, serviceShare float64) {
	r.serviceTime.add(time.Duration(float64(elapsed) * serviceShare))
}

// Add adds the duration of one attempt at a target that is not suspect and had
// a free slot.
func (r *Reference) Add(elapsed time.Duration) {
	x := math.Log(max(elapsed.Seconds(), 1e-4))
	r.count = min(r.count+1, averagingWindow)
	gain := 1 / r.count
	difference := x - r.mean
	r.mean += gain * difference
	r.variance = (1 - gain) * (r.variance + gain*difference*difference)
	r.serviceTime.add(elapsed)
}

// HasEnoughSamples reports whether there are enough durations to compare others with.
func (r *Reference) HasEnoughSamples() bool { return r.count >= minSamples }

// HasServiceTime reports whether MeanServiceTime returns a measured mean.
func (r *Reference) HasServiceTime() bool { return r.serviceTime.count >= minSamples }

// MeanServiceTime returns the mean duration of attempts without waits for a
// slot, or the fallback while there are too few samples.
func (r *Reference) MeanServiceTime(fallback time.Duration) time.Duration {
	if !r.HasServiceTime() {
		return fallback
	}
	return time.Duration(r.serviceTime.mean * float64(time.Second))
}

// SlowNats returns the evidence, in nats, of a duration for a slow target.
func (r *Reference) SlowNats(elapsed time.Duration) float64 {
	if !r.HasEnoughSamples() {
		return 0
	}
	deviation := r.logDeviation()
	shift := math.Log(slowFactor)
	x := math.Log(max(elapsed.Seconds(), 1e-4)) - r.mean
	nats := (x*shift - shift*shift/2) / (deviation * deviation)
	return min(max(nats, minSlowNats), maxSlowNats)
}

// Overdue returns the duration past which an attempt in progress is evidence
// for slowness, or zero while there are too few samples. The attempt is expected
// to wait for a slot for the given time first.
func (r *Reference) Overdue(wait time.Duration) time.Duration {
	if !r.HasEnoughSamples() {
		return 0
	}
	return slotWaitTolerance*wait + time.Duration(math.Exp(r.mean+overdueDeviations*r.logDeviation())*float64(time.Second))
}

func (r *Reference) logDeviation() float64 { return max(math.Sqrt(r.variance), minLogDeviation) }
