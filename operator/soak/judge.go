package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Bounds of the time-bound promises.
const (
	// StabilityTime is how long a daemon must have been undisturbed for them to hold.
	StabilityTime = 3 * time.Second
	// configBound is the time in which a published version is in force.
	configBound = 2 * time.Second
	// goBackSlack is how long after a newer version's effect an older one may show.
	goBackSlack = 250 * time.Millisecond
	// drainBound is the time after which a leaving target gets no new work.
	drainBound = 2 * time.Second
	// answerBound is how long after a request's time its final answer may come.
	answerBound = 500 * time.Millisecond
	// recoveryTime is how long after the last fault the fleet may take to serve again.
	recoveryTime = 6 * time.Second
	// leastServedAfter is the share of requests served after that.
	leastServedAfter = 0.95
	// scheduleSlack is what the machine's own scheduling may add to any bound.
	scheduleSlack = 400 * time.Millisecond
)

// Promise names what a violation breaks.
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

// timeBound holds the promises that depend on how fast the machine is.
var timeBound = []Promise{PromiseConfigInForce, PromiseNoConfigRollback, PromiseDrain, PromisePlannedStop, PromiseResponseInTime, PromiseRecovered}

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	// At is the time since the start of the run, in seconds.
	At     float64 `json:"at_s"`
	Detail string  `json:"detail"`
}

// attempt is one request of a caller and what it was told.
type attempt struct {
	id string
	// vm is the daemon that was asked.
	vm      int
	version uint64
	once    bool
	sent    time.Time
	ended   time.Time
	// status is zero when the connection ended without a whole answer.
	status int
	// broken is true when the answer is not the target's whole answer to it.
	broken  bool
	timeout time.Duration
}

// run is one execution at a target.
type run struct {
	attempt, target string
	at              time.Time
	// failed is true when the target broke the run off or answered wrongly on purpose.
	failed bool
}

// span is a time in which something was disturbed or held.
type span struct{ from, to time.Time }

// judge notes what callers and targets see.
type judge struct {
	start time.Time

	mu       sync.Mutex
	attempts []attempt
	runs     map[string][]run
	// disturbed holds, by daemon, the times of its faults and those of its links.
	disturbed map[int][]span
	// stops holds, by daemon, its planned stops.
	stops     map[int][]span
	published map[uint64]time.Time
	drained   map[string]time.Time
	// lastFault is when the last fault ended.
	lastFault  time.Time
	violations []Violation
}

func newJudge(start time.Time) *judge {
	return &judge{
		start: start, runs: make(map[string][]run), disturbed: make(map[int][]span), stops: make(map[int][]span),
		published: make(map[uint64]time.Time), drained: make(map[string]time.Time),
	}
}

func (j *judge) ended(a attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts = append(j.attempts, a)
}

// latestVM returns the daemon of the latest attempt that ended.
func (j *judge) latestVM() (vm int, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.attempts) == 0 {
		return 0, false
	}
	return j.attempts[len(j.attempts)-1].vm, true
}

func (j *judge) ran(r run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.attempt] = append(j.runs[r.attempt], r)
}

func (j *judge) disturb(vm int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.disturbed[vm] = append(j.disturbed[vm], span{from, to})
}

func (j *judge) stopped(vm int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stops[vm] = append(j.stops[vm], span{from, to})
}

func (j *judge) publishedVersion(version uint64, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.published[version] = at
}

func (j *judge) draining(target string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drained[target] = at
}

func (j *judge) faultsEnded(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastFault = at
}

// violate notes a broken promise; the lock is held.
func (j *judge) violate(promise Promise, at time.Time, format string, args ...any) {
	j.violations = append(j.violations, Violation{Promise: promise, At: at.Sub(j.start).Seconds(), Detail: fmt.Sprintf(format, args...)})
}

// exited notes a daemon that ended by itself.
func (j *judge) exited(vm int, at time.Time, cause error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(PromiseNoUnexpectedExit, at, "VM %d ended: %v", vm, cause)
}

// calm reports whether a daemon was undisturbed from StabilityTime before a time
// on, until another; the lock is held.
func (j *judge) calm(vm int, from, to time.Time) bool {
	from = from.Add(-StabilityTime)
	return !slices.ContainsFunc(j.disturbed[vm], func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// stopping reports whether a daemon was in a planned stop; the lock is held.
func (j *judge) stopping(vm int, from, to time.Time) bool {
	return slices.ContainsFunc(j.stops[vm], func(s span) bool { return s.from.Before(to) && s.to.After(from) })
}

// judge compares everything and returns the violations. Without bounds, only the
// promises that hold whatever the machine's speed are judged.
func (j *judge) judge(bounds bool) []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	slices.SortFunc(j.attempts, func(a, b attempt) int { return a.sent.Compare(b.sent) })
	for _, a := range j.attempts {
		j.judgeOutcome(a)
		j.judgeTimes(a)
	}
	j.judgeGoingBack()
	j.judgeRecovery()
	if bounds {
		return j.violations
	}
	return slices.DeleteFunc(j.violations, func(v Violation) bool { return slices.Contains(timeBound, v.Promise) })
}

// judgeOutcome checks what a caller was told against what ran.
func (j *judge) judgeOutcome(a attempt) {
	runs := j.runs[a.id]
	if a.once && len(runs) > 1 {
		j.violate(PromiseAtMostOnce, runs[1].at, "request %s through VM %d ran %d times", a.id, a.vm, len(runs))
	}
	if promisesNotRun(a.status) && len(runs) > 0 {
		j.violate(PromiseNotRun, a.ended, "request %s through VM %d was told %d and ran at %s", a.id, a.vm, a.status, runs[0].target)
	}
	if a.broken {
		j.violate(PromiseCompleteResponse, a.ended, "request %s through VM %d got an answer that is not its own or not whole", a.id, a.vm)
	}
}

// judgeTimes checks the bounds on one request.
func (j *judge) judgeTimes(a attempt) {
	if j.cutByStop(a) {
		j.violate(PromisePlannedStop, a.ended, "request %s was cut by the planned stop of VM %d", a.id, a.vm)
	}
	if !j.calm(a.vm, a.sent, a.ended) || j.stopping(a.vm, a.sent, a.ended) {
		return
	}
	if late := a.ended.Sub(a.sent) - a.timeout; late > answerBound+scheduleSlack {
		j.violate(PromiseResponseInTime, a.ended, "request %s through VM %d was answered %v after its time", a.id, a.vm, late)
	}
	j.judgeVersion(a)
	for _, r := range j.runs[a.id] {
		if at, ok := j.drained[r.target]; ok && r.at.After(at.Add(drainBound+scheduleSlack)) {
			j.violate(PromiseDrain, r.at, "request %s reached leaving target %s through VM %d %v late", a.id, r.target, a.vm, r.at.Sub(at)-drainBound)
		}
	}
}

// judgeVersion checks that a request was handled by a version that may be in
// force: each version has a route of its own and drops that of the one before.
func (j *judge) judgeVersion(a attempt) {
	known, next := j.published[a.version], j.published[a.version+1]
	slack := configBound + scheduleSlack
	if a.status == statusNoRoute && a.sent.After(known.Add(slack)) && (next.IsZero() || a.ended.Before(next)) {
		j.violate(PromiseConfigInForce, a.ended, "VM %d has no route of version %d %v after it was published", a.vm, a.version, a.sent.Sub(known))
	}
	if a.status == statusServed && !next.IsZero() && a.sent.After(next.Add(slack)) {
		j.violate(PromiseConfigInForce, a.ended, "VM %d serves by version %d %v after the next was published", a.vm, a.version, a.sent.Sub(next))
	}
}

// cutByStop reports whether a planned stop cut a request that was passed on; the
// daemon's other faults and those of the target excuse it.
func (j *judge) cutByStop(a attempt) bool {
	if a.status != 0 || !j.calm(a.vm, a.sent, a.ended) {
		return false
	}
	runs := j.runs[a.id]
	if len(runs) != 1 || runs[0].failed || a.ended.Sub(a.sent) >= a.timeout*7/10 {
		return false
	}
	return j.stopping(a.vm, a.sent, a.ended)
}

// judgeGoingBack checks that no daemon serves by an older version once it has
// served by a newer one, within one process.
func (j *judge) judgeGoingBack() {
	type newest struct {
		version uint64
		at      time.Time
	}
	shown := make(map[int]newest)
	for _, a := range j.attempts {
		if a.status != statusServed {
			continue
		}
		before := shown[a.vm]
		if a.version < before.version && a.sent.After(before.at.Add(goBackSlack+scheduleSlack)) && j.calm(a.vm, before.at, a.ended) && !j.stopping(a.vm, before.at, a.ended) {
			j.violate(PromiseNoConfigRollback, a.ended, "VM %d served by version %d after version %d", a.vm, a.version, before.version)
		}
		if a.version > before.version {
			shown[a.vm] = newest{a.version, a.ended}
		}
	}
}

// judgeRecovery checks that nearly all is served once the faults are over.
func (j *judge) judgeRecovery() {
	from := j.lastFault.Add(recoveryTime)
	asked, served := 0, 0
	for _, a := range j.attempts {
		if a.sent.Before(from) || a.status == statusNoRoute {
			continue
		}
		asked++
		if a.status == statusServed {
			served++
		}
	}
	if asked == 0 || float64(served) < leastServedAfter*float64(asked) {
		j.violate(PromiseRecovered, from, "%d of %d requests were served after the last fault", served, asked)
	}
}
