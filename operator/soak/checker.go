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
	PromiseAnswered         Promise = "request at a target has a complete answer"
	PromiseResponseInTime   Promise = "final answer in time"
	PromiseRecovered        Promise = "serves again after faults"
	PromiseNoUnexpectedExit Promise = "daemon ends only when told"
	PromiseCrashingStopped  Promise = "request that crashes targets is stopped"
	PromiseSoundNotRefused  Promise = "sound request is not refused for one that crashes targets"
	PromisePartitioned      Promise = "daemon that reaches no target serves like the others"
	PromiseRateLimit        Promise = "target's own limit holds"
	PromisePause            Promise = "target gets the pause that it asks for"
	PromiseCustomer         Promise = "target learns the customer and never the key"
	PromiseKeyWithdrawn     Promise = "withdrawn key runs nowhere"
	PromiseQuota            Promise = "customer's limit holds over all daemons"
)

// timeBoundPromises are the promises that depend on how fast the machine is.
var timeBoundPromises = []Promise{PromiseConfigInForce, PromiseNoConfigRollback, PromiseDrain, PromisePlannedStop, PromiseAnswered, PromiseResponseInTime, PromiseRecovered, PromiseCrashingStopped, PromisePartitioned, PromiseRateLimit, PromisePause}

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// At is the time since the start of the run, in seconds.
	At     float64 `json:"at_s"`
	Detail string  `json:"detail"`
}

// callerRequest is one request of a caller and its result as seen by the caller.
type callerRequest struct {
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
	// timeout is the time after which the response is late, limit that after which the timeout of
	// the route may have ended the request.
	timeout, limit time.Duration
}

// run is one execution of a request at a target.
type run struct {
	requestID, target string
	at                time.Time
	// vm is the daemon that sent the request to the target.
	vm int
	// linkHarmed is true when the target's link had a fault in the StabilityTime before.
	linkHarmed bool
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
	requests []callerRequest
	runs     map[string][]run
	// disturbances holds, by daemon, the intervals of faults of the daemon and of
	// its links, and of its restarts.
	disturbances map[int][]interval
	// interruptions holds, by daemon, those of its disturbances in which its process did
	// not run.
	interruptions map[int][]interval
	// storeDisturbances are the intervals in which the store was down or had not got
	// back all that was written before.
	storeDisturbances []interval
	// plannedStops holds, by daemon, the intervals of its planned stops.
	plannedStops map[int][]interval
	publishedAt  map[uint64]time.Time
	// drainedAt is when each target began to drain, drainPublishedAt when it last
	// published that, which it does again after the store went back.
	drainedAt, drainPublishedAt map[string]time.Time
	// crashes holds, by path, the runs that crashed their targets; crashingVMs holds
	// the daemon that such a request was sent to, by its identifier.
	crashes     map[string][]run
	crashingVMs map[string]int
	// soundRefusals are the refusals of sound requests on the paths of those that crash targets.
	soundRefusals []soundRefusal
	// partitions are the partitions of daemons from all targets.
	partitions []partitionRecord
	// executions holds, by identifier, how the work on requests ended, lastExecution the latest
	// of a known daemon; finishedAcrossStops is the number of those that ended during a planned
	// stop and had to end with a response.
	executions          map[string][]execution
	finishedAcrossStops int
	lastExecution       execution
	// rows are the rows of requests on one connection.
	rows []rowRecord
	// arrivals holds, by process of a target, the requests that reached it.
	arrivals map[string][]arrival
	// keyedRequests are the requests with keys, keyedRuns their executions.
	keyedRequests []keyedRequest
	keyedRuns     []keyedRun
	// lastFaultEnd is when fault injection ended.
	lastFaultEnd time.Time
	violations   []Violation
}

func newChecker(start time.Time) *checker {
	return &checker{
		start: start, runs: make(map[string][]run), disturbances: make(map[int][]interval), interruptions: make(map[int][]interval), plannedStops: make(map[int][]interval),
		publishedAt: make(map[uint64]time.Time), drainedAt: make(map[string]time.Time), drainPublishedAt: make(map[string]time.Time),
		crashes: make(map[string][]run), crashingVMs: make(map[string]int), executions: make(map[string][]execution), arrivals: make(map[string][]arrival),
	}
}

func (c *checker) recordRequest(request callerRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, request)
}

// latestVM returns the index of the daemon that the latest recorded request was
// sent to.
func (c *checker) latestVM() (vm int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.requests) == 0 {
		return 0, false
	}
	return c.requests[len(c.requests)-1].vm, true
}

func (c *checker) recordRun(r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.requestID] = append(c.runs[r.requestID], r)
}

// recordDisturbance records an interval in which a daemon or a link of it is
// disturbed by a fault or a restart.
func (c *checker) recordDisturbance(vm int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances[vm] = append(c.disturbances[vm], interval{from, to})
}

// recordInterruption records a disturbance in which the process of a daemon does not run.
func (c *checker) recordInterruption(vm int, from, to time.Time) {
	c.recordDisturbance(vm, from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptions[vm] = append(c.interruptions[vm], interval{from, to})
}

// recordStoreDisturbance records an interval in which the store was down or had not got
// back all that was written before.
func (c *checker) recordStoreDisturbance(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDisturbances = append(c.storeDisturbances, interval{from, to})
}

// recordStop records a planned stop of a daemon.
func (c *checker) recordStop(vm int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plannedStops[vm] = append(c.plannedStops[vm], interval{from, to})
}

func (c *checker) recordPublication(version uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publishedAt[version] = at
}

// recordDrain records that a target published that it drains, once or again.
func (c *checker) recordDrain(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.drainedAt[target]; !known {
		c.drainedAt[target] = at
	}
	c.drainPublishedAt[target] = at
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

// undisturbed reports whether neither a daemon nor the store had a disturbance in the
// interval that begins StabilityTime before from and ends at to. The caller holds c.mu.
func (c *checker) undisturbed(vm int, from, to time.Time) bool {
	return c.daemonUndisturbed(vm, from, to) && c.storeUndisturbed(from, to)
}

// daemonUndisturbed is undisturbed without regard to the store. The caller holds c.mu.
func (c *checker) daemonUndisturbed(vm int, from, to time.Time) bool {
	return !overlaps(c.disturbances[vm], from.Add(-StabilityTime), to)
}

// storeUndisturbed is undisturbed without regard to the daemons. The caller holds c.mu.
func (c *checker) storeUndisturbed(from, to time.Time) bool {
	return !overlaps(c.storeDisturbances, from.Add(-StabilityTime), to)
}

// overlaps reports whether one of the intervals has a part between two times.
func overlaps(intervals []interval, from, to time.Time) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool { return i.from.Before(to) && i.to.After(from) })
}

// inPlannedStop reports whether a planned stop of a daemon overlaps the interval.
// The caller holds c.mu.
func (c *checker) inPlannedStop(vm int, from, to time.Time) bool {
	return overlaps(c.plannedStops[vm], from, to)
}

// check checks all promises against the records and returns the violations. Without
// timeBounds it leaves out the promises that depend on the machine's speed.
func (c *checker) check(timeBounds bool) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.requests, func(a, b callerRequest) int { return a.startedAt.Compare(b.startedAt) })
	for _, request := range c.requests {
		c.checkOutcome(request)
		c.checkTiming(request)
	}
	c.checkStops()
	c.checkRows()
	c.checkAnswered()
	c.checkConfigRollback()
	c.checkRecovery()
	c.checkCrashes()
	c.checkSoundRefusals()
	c.checkPartitions()
	c.checkNotices()
	c.checkKeys()
	if timeBounds {
		return c.violations
	}
	return slices.DeleteFunc(c.violations, func(v Violation) bool { return slices.Contains(timeBoundPromises, v.Promise) })
}

// checkOutcome checks the result that a caller saw against the executions at the
// targets.
func (c *checker) checkOutcome(request callerRequest) {
	runs := c.runs[request.id]
	if request.atMostOnce && len(runs) > 1 {
		c.addViolation(PromiseAtMostOnce, runs[1].at, "request %s through VM %d ran %d times", request.id, request.vm, len(runs))
	}
	if promisesNotRun(request.status) && len(runs) > 0 {
		c.addViolation(PromiseNotRun, request.endedAt, "request %s through VM %d got status %d, which promises that it has not run, but ran at %s", request.id, request.vm, request.status, runs[0].target)
	}
	if request.wrongResponse {
		c.addViolation(PromiseCompleteResponse, request.endedAt, "request %s through VM %d got an incomplete response or the response to another request", request.id, request.vm)
	}
}

// checkTiming checks the time-bound promises for one request.
func (c *checker) checkTiming(request callerRequest) {
	if c.cutByStop(request) {
		c.addViolation(PromisePlannedStop, request.endedAt, "request %s was cut by the planned stop of VM %d", request.id, request.vm)
	}
	c.checkDrain(request)
	if !c.undisturbed(request.vm, request.startedAt, request.endedAt) || c.inPlannedStop(request.vm, request.startedAt, request.endedAt) {
		return
	}
	if late := request.endedAt.Sub(request.startedAt) - request.timeout; late > responseBound+scheduleSlack {
		c.addViolation(PromiseResponseInTime, request.endedAt, "request %s through VM %d ended %v after its timeout", request.id, request.vm, late)
	}
	c.checkVersion(request)
}

// cutByStop reports whether a planned stop cut off a request that had reached a
// target. Requests hit by other faults of the daemon or of the target don't count,
// nor do requests that lasted 70 % of their timeout or longer, which the timeout
// may have ended.
func (c *checker) cutByStop(request callerRequest) bool {
	if request.status != 0 || !c.undisturbed(request.vm, request.startedAt, request.endedAt) {
		return false
	}
	runs := c.runs[request.id]
	if len(runs) != 1 || runs[0].targetFaulty || request.endedAt.Sub(request.startedAt) >= request.timeout*7/10 {
		return false
	}
	return c.inPlannedStop(request.vm, request.startedAt, request.endedAt)
}

// checkRecovery checks that at least minServedShare of the requests are served once
// recoveryTime has passed after the last fault.
func (c *checker) checkRecovery() {
	from := c.lastFaultEnd.Add(recoveryTime)
	requests, served := 0, 0
	for _, request := range c.requests {
		if request.startedAt.Before(from) || request.status == statusNoRoute {
			continue
		}
		requests++
		if request.status == statusServed {
			served++
		}
	}
	if requests == 0 || float64(served) < minServedShare*float64(requests) {
		c.addViolation(PromiseRecovered, from, "%d of %d requests were served after the last fault", served, requests)
	}
}
