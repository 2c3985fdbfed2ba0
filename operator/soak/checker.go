package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of the time-bound promises.
const (
	// StabilityTime is how long a daemon must have been undisturbed before a
	// time-bound promise is checked.
	StabilityTime = 3 * time.Second
	// configBound is how long a published version may take to come into force.
	configBound = 2 * time.Second
	// rollbackSlack is how long after a response by a newer version the daemon may still
	// respond by an older one.
	rollbackSlack = 250 * time.Millisecond
	// drainBound is how long a draining target may still receive new requests.
	drainBound = 2 * time.Second
	// responseBound is how long after a request's timeout its final response may arrive.
	responseBound = 500 * time.Millisecond
	// recoveryTime is how long after the last fault the fleet may take to recover.
	recoveryTime = 6 * time.Second
	// minServedShare is the minimum share of requests that must be served after
	// recoveryTime.
	minServedShare = 0.95
	// scheduleSlack is added to the bounds to allow for scheduling delays of the
	// machine.
	scheduleSlack = 400 * time.Millisecond
)

// Promise names a promise of the product that the soak checks.
type Promise string

// The promises.
const (
	PromiseAtMostOnce       Promise = "runs at most once"
	PromiseNotRun           Promise = "not run is true"
	PromiseCompleteResponse Promise = "whole and own answer"
	PromiseConfigInForce    Promise = "configuration in force in time"
	PromiseNoConfigRollback Promise = "configuration never goes back"
	PromiseDrain            Promise = "leaving target gets no work"
	PromisePlannedStop      Promise = "planned stop cuts nothing"
	PromiseResponseInTime   Promise = "final answer in time"
	PromiseRecovered        Promise = "serves again after faults"
	PromiseNoUnexpectedExit Promise = "daemon ends only when told"
)

// timeBoundPromises are the promises that depend on how fast the machine is.
var timeBoundPromises = []Promise{PromiseConfigInForce, PromiseNoConfigRollback, PromiseDrain, PromisePlannedStop, PromiseResponseInTime, PromiseRecovered}

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// At is the time since the start of the run, in seconds.
	At     float64 `json:"at_s"`
	Detail string  `json:"detail"`
}

// attempt is one request of a caller and its result as seen by the caller.
type attempt struct {
	id string
	// vm is the index of the daemon that the request was sent to.
	vm         int
	version    uint64
	atMostOnce bool
	startedAt  time.Time
	endedAt    time.Time
	// status is zero when the connection ended before a complete response.
	status int
	// wrongResponse is true when a served response has another body than the
	// target's response to this request.
	wrongResponse bool
	timeout       time.Duration
}

// run is one execution of a request at a target.
type run struct {
	attempt, target string
	at              time.Time
	// targetFaulty is true when the target had an injected fault during the run.
	targetFaulty bool
}

// interval is a time span of a disturbance or of a planned stop.
type interval struct{ from, to time.Time }

// checker records what callers and targets observe and checks the promises
// against it.
type checker struct {
	start time.Time

	mu       sync.Mutex
	attempts []attempt
	runs     map[string][]run
	// disturbances holds, by daemon, the intervals of faults of the daemon and of
	// its links.
	disturbances map[int][]interval
	// plannedStops holds, by daemon, the intervals of its planned stops.
	plannedStops map[int][]interval
	publishedAt  map[uint64]time.Time
	drainedAt    map[string]time.Time
	// lastFaultEnd is when fault injection ended.
	lastFaultEnd time.Time
	violations   []Violation
}

func newChecker(start time.Time) *checker {
	return &checker{
		start: start, runs: make(map[string][]run), disturbances: make(map[int][]interval), plannedStops: make(map[int][]interval),
		publishedAt: make(map[uint64]time.Time), drainedAt: make(map[string]time.Time),
	}
}

func (c *checker) recordAttempt(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// latestVM returns the daemon of the attempt recorded last.
func (c *checker) latestVM() (vm int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.attempts) == 0 {
		return 0, false
	}
	return c.attempts[len(c.attempts)-1].vm, true
}

func (c *checker) recordRun(r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.attempt] = append(c.runs[r.attempt], r)
}

func (c *checker) recordFault(vm int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[vm] = append(c.disturbances[vm], interval{from, to})
}

func (c *checker) recordPlannedStop(vm int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plannedStops[vm] = append(c.plannedStops[vm], interval{from, to})
}

func (c *checker) recordPublication(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishedAt[version] = at
}

func (c *checker) recordDrain(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedAt[target] = at
}

func (c *checker) recordEndOfFaults(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFaultEnd = at
}

// addViolation records a broken promise. The caller holds c.mu.
func (c *checker) addViolation(promise Promise, at time.Time, format string, args ...any) {
	c.violations = append(c.violations, Violation{Promise: promise, At: at.Sub(c.start).Seconds(), Detail: fmt.Sprintf(format, args...)})
}

// recordUnexpectedExit records that a daemon exited without being told to.
func (c *checker) recordUnexpectedExit(vm int, at time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(PromiseNoUnexpectedExit, at, "VM %d ended: %v", vm, cause)
}

// undisturbed reports whether a daemon had no disturbance in the interval that
// begins StabilityTime before from and ends at to. The caller holds c.mu.
func (c *checker) undisturbed(vm int, from, to time.Time) bool {
	from = from.Add(-StabilityTime)
	return !slices.ContainsFunc(c.disturbances[vm], func(i interval) bool { return i.from.Before(to) && i.to.After(from) })
}

// inPlannedStop reports whether a planned stop of a daemon overlaps the interval.
// The caller holds c.mu.
func (c *checker) inPlannedStop(vm int, from, to time.Time) bool {
	return slices.ContainsFunc(c.plannedStops[vm], func(i interval) bool { return i.from.Before(to) && i.to.After(from) })
}

// check checks all promises against the records and returns the violations. Without
// timeBounds it leaves out the promises that depend on the machine's speed.
func (c *checker) check(timeBounds bool) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.attempts, func(a, b attempt) int { return a.startedAt.Compare(b.startedAt) })
	for _, a := range c.attempts {
		c.checkOutcome(a)
		c.checkTiming(a)
	}
	c.checkConfigRollback()
	c.checkRecovery()
	if timeBounds {
		return c.violations
	}
	return slices.DeleteFunc(c.violations, func(v Violation) bool { return slices.Contains(timeBoundPromises, v.Promise) })
}

// checkOutcome checks the result that a caller saw against the executions at the
// targets.
func (c *checker) checkOutcome(a attempt) {
	runs := c.runs[a.id]
	if a.atMostOnce && len(runs) > 1 {
		c.addViolation(PromiseAtMostOnce, runs[1].at, "request %s through VM %d ran %d times", a.id, a.vm, len(runs))
	}
	if promisesNotRun(a.status) && len(runs) > 0 {
		c.addViolation(PromiseNotRun, a.endedAt, "request %s through VM %d got status %d, which promises that it has not run, but ran at %s", a.id, a.vm, a.status, runs[0].target)
	}
	if a.wrongResponse {
		c.addViolation(PromiseCompleteResponse, a.endedAt, "request %s through VM %d got an incomplete response or the response to another request", a.id, a.vm)
	}
}

// checkTiming checks the time-bound promises for one request.
func (c *checker) checkTiming(a attempt) {
	if c.cutByStop(a) {
		c.addViolation(PromisePlannedStop, a.endedAt, "request %s was cut by the planned stop of VM %d", a.id, a.vm)
	}
	if !c.undisturbed(a.vm, a.startedAt, a.endedAt) || c.inPlannedStop(a.vm, a.startedAt, a.endedAt) {
		return
	}
	if late := a.endedAt.Sub(a.startedAt) - a.timeout; late > responseBound+scheduleSlack {
		c.addViolation(PromiseResponseInTime, a.endedAt, "request %s through VM %d ended %v after its timeout", a.id, a.vm, late)
	}
	c.checkVersion(a)
	for _, r := range c.runs[a.id] {
		if at, ok := c.drainedAt[r.target]; ok && r.at.After(at.Add(drainBound+scheduleSlack)) {
			c.addViolation(PromiseDrain, r.at, "request %s reached draining target %s through VM %d %v after the drain bound", a.id, r.target, a.vm, r.at.Sub(at)-drainBound)
		}
	}
}

// checkVersion checks that a request was handled by a version that may be in force.
// Each version has routes of its own and drops those of the previous version, so
// the status shows which version the daemon uses.
func (c *checker) checkVersion(a attempt) {
	known, next := c.publishedAt[a.version], c.publishedAt[a.version+1]
	slack := configBound + scheduleSlack
	if a.status == statusNoRoute && a.startedAt.After(known.Add(slack)) && (next.IsZero() || a.endedAt.Before(next)) {
		c.addViolation(PromiseConfigInForce, a.endedAt, "VM %d has no route of version %d %v after it was published", a.vm, a.version, a.startedAt.Sub(known))
	}
	if a.status == statusServed && !next.IsZero() && a.startedAt.After(next.Add(slack)) {
		c.addViolation(PromiseConfigInForce, a.endedAt, "VM %d still serves by version %d %v after the next version was published", a.vm, a.version, a.startedAt.Sub(next))
	}
}

// cutByStop reports whether a planned stop broke off a request that had reached a
// target. Requests hit by other faults of the daemon or of the target don't count.
func (c *checker) cutByStop(a attempt) bool {
	if a.status != 0 || !c.undisturbed(a.vm, a.startedAt, a.endedAt) {
		return false
	}
	runs := c.runs[a.id]
	if len(runs) != 1 || runs[0].targetFaulty || a.endedAt.Sub(a.startedAt) >= a.timeout*7/10 {
		return false
	}
	return c.inPlannedStop(a.vm, a.startedAt, a.endedAt)
}

// checkConfigRollback checks that no daemon process serves by an older version once it
// has served by a newer one.
func (c *checker) checkConfigRollback() {
	type newest struct {
		version uint64
		at      time.Time
	}
	newestServed := make(map[int]newest)
	for _, a := range c.attempts {
		if a.status != statusServed {
			continue
		}
		before := newestServed[a.vm]
		if a.version < before.version && a.startedAt.After(before.at.Add(rollbackSlack+scheduleSlack)) && c.undisturbed(a.vm, before.at, a.endedAt) && !c.inPlannedStop(a.vm, before.at, a.endedAt) {
			c.addViolation(PromiseNoConfigRollback, a.endedAt, "VM %d served by version %d after version %d", a.vm, a.version, before.version)
		}
		if a.version > before.version {
			newestServed[a.vm] = newest{a.version, a.endedAt}
		}
	}
}

// checkRecovery checks that at least minServedShare of the requests are served once
// recoveryTime has passed after the last fault.
func (c *checker) checkRecovery() {
	from := c.lastFaultEnd.Add(recoveryTime)
	requests, served := 0, 0
	for _, a := range c.attempts {
		if a.startedAt.Before(from) || a.status == statusNoRoute {
			continue
		}
		requests++
		if a.status == statusServed {
			served++
		}
	}
	if requests == 0 || float64(served) < minServedShare*float64(requests) {
		c.addViolation(PromiseRecovered, from, "%d of %d requests were served after the last fault", served, requests)
	}
}
