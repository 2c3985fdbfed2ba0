package room

import (
	"math"
	"time"
)

const (
	// standingWaiting is the number of waiting requests for each slot from which on a service with
	// many slots is overloaded. By chance more wait where there are few slots: standingByChance
	// over the square root of their number.
	standingWaiting, standingByChance = 0.1, 1.8
	// burstTime is the time for which an overload is taken for a burst; within settleTime after
	// that it becomes a lasting one.
	burstTime, settleTime = 6 * time.Second, 2 * time.Second
	// trendTime is the time constant of the average to which the waiting requests are compared,
	// and fallingBy how far they are below it while a burst is worked off.
	trendTime, fallingBy = time.Second, 0.15
	// recoveryFactor is how much faster the time of an overload falls, without waiting requests,
	// than it grows.
	recoveryFactor = 2
	// maxStep bounds what one call adds to the time of an overload, since nothing is known of
	// the time without requests.
	maxStep = 500 * time.Millisecond
)

// overload measures for how long a service is overloaded. The time during which the waiting
// requests become fewer does not count.
type overload struct {
	// time is the time of the present overload, average that of the waiting requests for each
	// slot.
	time    time.Duration
	average float64
	at      time.Duration
}

// observe notes the load of the service.
func (o *overload) observe(load Load, now time.Duration) {
	waiting := load.waiting()
	standing := standingWaiting + standingByChance/math.Sqrt(max(load.Slots, 1))
	step := now - o.at
	o.at = now
	o.average += (waiting - o.average) * (1 - math.Exp(-step.Seconds()/trendTime.Seconds()))
	switch {
	case waiting < standing:
		o.time = max(o.time-recoveryFactor*min(step, maxStep), 0)
	case waiting > o.average-fallingBy:
		o.time += min(step, maxStep)
	}
}

// lasted returns 0 in a burst and 1 in a lasting overload.
func (o *overload) lasted() float64 {
	return fractionBelow(o.time.Seconds(), burstTime.Seconds(), (burstTime + settleTime).Seconds())
}
