package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/liveness"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// reportDelay bounds how long the report of a response is on its way to this VM.
	reportDelay = 200 * time.Millisecond
	// confirmTime is how long after the end of an attempt a newer start of the target,
	// or the end of its entry, confirms a crash.
	confirmTime = 8 * time.Second
	// servedOnTime is how long after a lost attempt it is examined whether its target has
	// answered requests since.
	servedOnTime = time.Second
	// servingTime is how long before a lost attempt a target that lives on must have
	// answered another request for the loss to count against the request.
	servingTime = 2 * time.Second
	// maxChecked bounds the processes that are checked or watched, maxLostPerProcess the
	// requests that are kept for each.
	maxChecked, maxLostPerProcess = 256, 64
)

// checker finds out whether the targets of lost attempts crashed.
type checker struct {
	tracker *Tracker
	scope   tally.Scope

	mu        sync.Mutex
	processes map[process]*checkedProcess
	// published holds the published targets by identifier.
	published map[string]roster.Target
	// started passes the processes to be checked to Run.
	started chan process
}

func newChecker(tracker *Tracker) *checker {
	return &checker{
		tracker: tracker, scope: tracker.options.Scope, processes: make(map[process]*checkedProcess),
		published: make(map[string]roster.Target), started: make(chan process, maxChecked),
	}
}

// Run checks the targets of lost attempts, and compares what this VM knows with the others,
// until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	defer checks.Wait()
	reconcile := time.NewTicker(reconcileInterval / 3)
	defer reconcile.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-reconcile.C:
			checks.Go(func() { t.reconcileDue(ctx) })
		case key := <-t.checker.started:
			checks.Go(func() { t.checker.check(ctx, key) })
		}
	}
}

// add records a lost attempt and starts to check its target unless that is being
// done.
func (c *checker) add(lost LostAttempt) {
	now := c.tracker.options.Uptime()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	key := processOf(lost.Target)
	state := c.processes[key]
	if state == nil {
		if len(c.processes) >= maxChecked {
			c.scope.Counter("lost_attempts_not_checked").Inc(1)
			return
		}
		state = &checkedProcess{target: lost.Target, lost: make(map[quarantine.Identity]lostState)}
		c.processes[key] = state
	}
	if len(state.lost) < maxLostPerProcess {
		state.lost[lost.Request] = lostState{at: now, mayCountSurvived: !lost.FromSuspect && !lost.InProgress, muchSent: lost.MuchSent}
	}
	time.AfterFunc(servedOnTime, func() { c.forgetServedOn(key) })
	if !state.checking {
		state.checking, state.startedAt = true, now
		c.started <- key // never blocks: it has room for all processes
	}
}

// forgetServedOn forgets the lost attempts of a process that accepts connections and has
// answered requests since: it did not end on them, whatever becomes of it later.
func (c *checker) forgetServedOn(key process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.processes[key]
	if state == nil || state.finding != liveness.Alive || c.isConfirmed(state) {
		return
	}
	for request, lost := range state.lost {
		if c.tracker.options.ServedSince(key.id, lost.at+reportDelay) {
			delete(state.lost, request)
		}
	}
}

// dropExpired forgets lost attempts that nothing can confirm any more; the lock is
// held.
func (c *checker) dropExpired(now time.Duration) {
	for key, state := range c.processes {
		for request, lost := range state.lost {
			if now-lost.at >= confirmTime {
				delete(state.lost, request)
			}
		}
		if len(state.lost) == 0 && !state.checking {
			delete(c.processes, key)
		}
	}
}

// check connects to a target until it is clear whether its process lives.
func (c *checker) check(ctx context.Context, key process) {
	c.mu.Lock()
	state := c.processes[key]
	c.mu.Unlock()
	for {
		found := liveness.Check(ctx, c.tracker.options.Network, state.target.Address, c.controls(state.target))
		c.conclude(key, state, found)
		if !pause.For(ctx, liveness.Interval) || c.finish(state) {
			return
		}
	}
}

// finish ends the check of a process unless an attempt was lost after it began,
// to which the finding may not apply.
func (c *checker) finish(state *checkedProcess) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, lost := range state.lost {
		if lost.at > state.startedAt {
			state.startedAt = c.tracker.options.Uptime()
			return false
		}
	}
	state.checking = false
	return true
}

// controls returns the addresses of some other published targets.
func (c *checker) controls(target roster.Target) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []string
	for id, other := range c.published { // in random order
		if id != target.ID && other.Address != target.Address && len(others) < liveness.MaxControls {
			others = append(others, other.Address)
		}
	}
	return others
}

// conclude applies a finding to the lost attempts of a process.
func (c *checker) conclude(key process, state *checkedProcess, found liveness.Finding) {
	c.mu.Lock()
	state.finding = found
	crashes := c.crashesOf(key, state)
	c.mu.Unlock()
	c.scope.Tagged(map[string]string{"finding": found.String()}).Counter("findings").Inc(1)
	events.TargetChecked.Log(c.tracker.options.Logger, "target", key.id, "address", state.target.Address, "finding", found, "crashed_on", len(crashes))
	c.record(crashes)
}

// requestCrash is one crash and the request that the target ran.
type requestCrash struct {
	request quarantine.Identity
	crash   quarantine.Crash
}

// crashesOf returns the crashes that the finding and the published targets show, and
// forgets the lost attempts behind confirmed ones; the lock is held. A crash of a target
// that held many bytes of other requests is weak evidence: those bytes may have ended it.
func (c *checker) crashesOf(key process, state *checkedProcess) []requestCrash {
	ended := c.isConfirmed(state)
	confirmed := ended || state.finding == liveness.Crashed
	if !confirmed && state.finding == liveness.Alive {
		return c.survivedCrashes(key, state)
	}
	if !confirmed && state.finding != liveness.Silent {
		return nil
	}
	var crashes []requestCrash
	for request, lost := range state.lost {
		if !ended && c.tracker.options.ServedSince(key.id, lost.at+reportDelay) {
			continue // other VMs reach the process
		}
		crashes = append(crashes, requestCrash{request, quarantine.Crash{
			Target: key.id, Incarnation: key.incarnation, At: lost.at, Presumed: !confirmed && !lost.muchSent, Survived: lost.muchSent,
		}})
		if confirmed {
			delete(state.lost, request)
		}
	}
	return crashes
}

// survivedCrashes returns the lost attempts of a process that lives on. They count only if
// the process was not suspected of a fault and has answered another request shortly before
// or since, and if this VM gets answers of targets; the lock is held.
func (c *checker) survivedCrashes(key process, state *checkedProcess) []requestCrash {
	var crashes []requestCrash
	for request, lost := range state.lost {
		since := lost.at - servingTime
		if !lost.mayCountSurvived || !c.tracker.options.ServedSince(key.id, since) || !c.tracker.options.AnsweredSince(since) {
			continue
		}
		state.lost[request] = lostState{at: lost.at, muchSent: lost.muchSent}
		crashes = append(crashes, requestCrash{request, quarantine.Crash{
			Target: key.id, Incarnation: key.incarnation, At: lost.at, Survived: true,
		}})
	}
	return crashes
}

// isConfirmed reports whether the published targets show that a process has ended: a
// newer process uses its identifier or its address, or a silent one has no entry any
// more; the lock is held.
func (c *checker) isConfirmed(state *checkedProcess) bool {
	known, ok := c.published[state.target.ID]
	if ok {
		return known.StartedAt.After(state.target.StartedAt)
	}
	if state.finding == liveness.Silent {
		return true
	}
	for _, other := range c.published {
		if other.Address == state.target.Address && other.Service == state.target.Service && other.StartedAt.After(state.target.StartedAt) {
			return true
		}
	}
	return false
}

// TargetsChanged applies the published targets, which may confirm that the targets
// of lost attempts crashed.
func (t *Tracker) TargetsChanged(targets []roster.Target) { t.checker.targetsChanged(targets) }

func (c *checker) targetsChanged(targets []roster.Target) {
	var crashes []requestCrash
	c.mu.Lock()
	c.dropExpired(c.tracker.options.Uptime())
	c.published = make(map[string]roster.Target, len(targets))
	for _, target := range targets {
		c.published[target.ID] = target
	}
	for key, state := range c.processes {
		if c.published[key.id].State == roster.StateDraining {
			clear(state.lost) // it leaves as planned
		}
		if c.isConfirmed(state) {
			crashes = append(crashes, c.crashesOf(key, state)...)
		}
	}
	c.mu.Unlock()
	c.record(crashes)
}

// record passes crashes to the tracker.
func (c *checker) record(crashes []requestCrash) {
	for _, r := range crashes {
		c.tracker.recordCrash(r.request, r.crash)
	}
}
