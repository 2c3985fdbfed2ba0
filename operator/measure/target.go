package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// Service times are log-normal, with a share of the requests drawn from a Pareto
// tail, and scaled so that their mean is the service's mean time.
const (
	timeSigma = 0.8
	tailShare = 0.01
	tailAlpha = 2.2
	// tailStart is where the tail begins, in multiples of the median.
	tailStart = 4.0
	// tailLimit is the maximum time, in multiples of the median.
	tailLimit = 100.0
)

// errorShare is the share of requests that fail on a healthy target.
const errorShare = 1e-4

// coldFactor multiplies the first requests' service time after a cold start;
// the factor falls to 1 over coldRequests requests.
const (
	coldFactor   = 4.0
	coldRequests = 60
)

// queuePerSlot limits a target's queue; a target sheds requests beyond it.
const queuePerSlot = 4

// fakeTarget is a simulated target with slots, a queue and faults.
type fakeTarget struct {
	slots   int
	running []*attemptRun
	waiting []*attemptRun

	dead             bool
	hung             bool
	draining         bool
	slowFactor       float64
	slowShare        float64
	failShare        float64
	wrong            bool
	probeMode        probeMode
	coldRequestsLeft int
}

// probeMode determines the health endpoint's response.
type probeMode uint8

const (
	probeTruthful probeMode = iota
	probeUnhealthy
	probeHealthy
)

// faulty reports whether a fault makes the target fail or delay requests.
func (t *fakeTarget) faulty() bool {
	return t.dead || t.hung || t.wrong || t.slowFactor > 1 || t.failShare > 0
}

// passesProbe returns the health endpoint's response.
func (t *fakeTarget) passesProbe() bool {
	switch t.probeMode {
	case probeUnhealthy:
		return false
	case probeHealthy:
		return true
	}
	return !t.dead && !t.hung
}

// report returns the load endpoint's response.
func (t *fakeTarget) report() LoadReport {
	return LoadReport{InFlight: len(t.running), Slots: t.slots, Queued: len(t.waiting)}
}

// remove removes an attempt from the target, and reports whether it was running.
func (t *fakeTarget) remove(run *attemptRun) bool {
	for i, other := range t.running {
		if other == run {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return true
		}
	}
	for i, other := range t.waiting {
		if other == run {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return false
		}
	}
	return false
}

// serviceTimeSource draws service times.
type serviceTimeSource struct {
	median float64
	random *rand.Rand
}

// newServiceTimeSource returns a source whose distribution has the given mean.
func newServiceTimeSource(mean time.Duration, random *rand.Rand) *serviceTimeSource {
	body := math.Exp(timeSigma * timeSigma / 2)
	tail := tailStart * tailAlpha / (tailAlpha - 1)
	factor := (1-tailShare)*body + tailShare*tail
	return &serviceTimeSource{median: float64(mean) / factor, random: random}
}

// draw returns one service time of a healthy target.
func (c *serviceTimeSource) draw() time.Duration {
	factor := math.Exp(timeSigma * c.random.NormFloat64())
	if c.random.Float64() < tailShare {
		factor = tailStart * math.Pow(1-c.random.Float64(), -1/tailAlpha)
	}
	return time.Duration(c.median * min(factor, tailLimit))
}

// drawServiceTime returns the service time of a request that starts now, with
// the effects of a slow target and of a cold start.
func (t *fakeTarget) drawServiceTime(serviceTimes *serviceTimeSource) time.Duration {
	serviceTime := serviceTimes.draw()
	if t.slowFactor > 1 && serviceTimes.random.Float64() < t.slowShare {
		serviceTime = time.Duration(float64(serviceTime) * t.slowFactor)
	}
	if t.coldRequestsLeft > 0 {
		extra := (coldFactor - 1) * float64(t.coldRequestsLeft) / coldRequests
		serviceTime = time.Duration(float64(serviceTime) * (1 + extra))
		t.coldRequestsLeft--
	}
	return serviceTime
}
