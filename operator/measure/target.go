package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

// Service times are log-normal with a share of requests from a Pareto tail,
// scaled so that the mean is the service's mean time.
const (
	timeSigma = 0.8
	tailShare = 0.01
	tailAlpha = 2.2
	// tailStart is where the tail begins, in multiples of the median.
	tailStart = 4.0
	// tailLimit is the longest time, in multiples of the median.
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

// queuePerSlot bounds a target's queue; more work is shed.
const queuePerSlot = 4

// fakeTarget has slots, a queue and faults.
type fakeTarget struct {
	slots   int
	running []*flight
	waiting []*flight

	dead     bool
	hung     bool
	leaving  bool
	slow     float64
	slowPart float64
	failPart float64
	wrong    bool
	probe    probeAnswer
	coldLeft int
}

// probeAnswer is what the health endpoint says.
type probeAnswer uint8

const (
	probeHonest probeAnswer = iota
	probeSick
	probeHealthy
)

// sick reports whether the target is unfit for work.
func (t *fakeTarget) sick() bool {
	return t.dead || t.hung || t.wrong || t.slow > 1 || t.failPart > 0
}

// healthyProbe is the health endpoint's answer.
func (t *fakeTarget) healthyProbe() bool {
	switch t.probe {
	case probeSick:
		return false
	case probeHealthy:
		return true
	}
	return !t.dead && !t.hung
}

// report is the load endpoint's answer.
func (t *fakeTarget) report() LoadReport {
	return LoadReport{InFlight: len(t.running), Slots: t.slots, Queued: len(t.waiting)}
}

// remove takes a flight out of the target, and reports whether it was running.
func (t *fakeTarget) remove(f *flight) bool {
	for i, other := range t.running {
		if other == f {
			t.running = append(t.running[:i], t.running[i+1:]...)
			return true
		}
	}
	for i, other := range t.waiting {
		if other == f {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return false
		}
	}
	return false
}

// serviceClock draws service times.
type serviceClock struct {
	median float64
	random *rand.Rand
}

// newServiceClock scales the distribution to a mean.
func newServiceClock(mean time.Duration, random *rand.Rand) *serviceClock {
	body := math.Exp(timeSigma * timeSigma / 2)
	tail := tailStart * tailAlpha / (tailAlpha - 1)
	factor := (1-tailShare)*body + tailShare*tail
	return &serviceClock{median: float64(mean) / factor, random: random}
}

// draw returns one healthy service time.
func (c *serviceClock) draw() time.Duration {
	factor := math.Exp(timeSigma * c.random.NormFloat64())
	if c.random.Float64() < tailShare {
		factor = tailStart * math.Pow(1-c.random.Float64(), -1/tailAlpha)
	}
	return time.Duration(c.median * min(factor, tailLimit))
}

// serve returns the service time of a request that starts now.
func (t *fakeTarget) serve(clock *serviceClock) time.Duration {
	taken := clock.draw()
	if t.slow > 1 && clock.random.Float64() < t.slowPart {
		taken = time.Duration(float64(taken) * t.slow)
	}
	if t.coldLeft > 0 {
		extra := (coldFactor - 1) * float64(t.coldLeft) / coldRequests
		taken = time.Duration(float64(taken) * (1 + extra))
		t.coldLeft--
	}
	return taken
}
