package crashes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// connectTimeout bounds one connection attempt.
	connectTimeout = 250 * time.Millisecond
	// checkInterval is the pause between two connection attempts to one target.
	checkInterval = 250 * time.Millisecond
	// maxConnects is the number of connection attempts without success after which the
	// target counts as crashed or silent. A target with too many connections may refuse
	// a single one.
	maxConnects = 3
	// controlTargets is the number of other targets, one of which must accept a
	// connection before a finding counts against a target and not against this VM's own
	// network path.
	controlTargets = 3
	// reportDelay bounds how long the report of a response is on its way to this VM.
	reportDelay = 200 * time.Millisecond
	// confirmTime is how long after the end of an attempt a newer start of the target,
	// or the end of its entry, confirms a crash.
	confirmTime = 8 * time.Second
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

// Run checks the targets of lost attempts until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
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
		state = &checkedProcess{target: lost.Target, lost: make(map[quarantine.Fingerprint]time.Duration)}
		c.processes[key] = state
	}
	if len(state.lost) < maxLostPerProcess {
		state.lost[lost.Fingerprint] = now
	}
	if !state.checking {
		state.checking, state.startedAt = true, now
		c.started <- key // never blocks: it has room for all processes
	}
}

// dropExpired forgets lost attempts that nothing can confirm any more; the lock is
// held.
func (c *checker) dropExpired(now time.Duration) {
	for key, state := range c.processes {
		for fingerprint, at := range state.lost {
			if now-at >= confirmTime {
				delete(state.lost, fingerprint)
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
		found := c.examine(ctx, state.target)
		c.conclude(key, state, found)
		if !pause.For(ctx, checkInterval) || c.finish(state) {
			return
		}
	}
}

// finish ends the check of a process unless an attempt was lost after it began,
// to which the finding may not apply.
func (c *checker) finish(state *checkedProcess) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range state.lost {
		if at > state.startedAt {
			state.startedAt = c.tracker.options.Uptime()
			return false
		}
	}
	state.checking = false
	return true
}

// examine makes up to maxConnects connection attempts to a target.
func (c *checker) examine(ctx context.Context, target roster.Target) finding {
	refusals := 0
	for i := range maxConnects {
		if i > 0 && !pause.For(ctx, checkInterval) {
			return findingNone
		}
		err := c.connect(ctx, target.Address)
		if err == nil {
			return findingAlive
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
		}
	}
	switch {
	case !c.reachesOtherTargets(ctx, target):
		return findingNone
	case refusals > 0:
		return findingCrashed
	}
	return findingSilent
}

// connect opens a connection to a target and closes it.
func (c *checker) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c.scope.Counter("connects").Inc(1)
	conn, err := c.tracker.options.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("check target at %s: %w", address, err)
	}
	_ = conn.Close()
	return nil
}

// reachesOtherTargets reports whether another target accepts a connection. When
// there is no other target, it reports true.
func (c *checker) reachesOtherTargets(ctx context.Context, target roster.Target) bool {
	c.mu.Lock()
	var others []string
	for id, other := range c.published { // in random order
		if id != target.ID && other.Address != target.Address && len(others) < controlTargets {
			others = append(others, other.Address)
		}
	}
	c.mu.Unlock()
	for _, address := range others {
		if c.connect(ctx, address) == nil {
			return true
		}
	}
	return len(others) == 0
}

// conclude applies a finding to the lost attempts of a process.
func (c *checker) conclude(key process, state *checkedProcess, found finding) {
	c.mu.Lock()
	state.finding = found
	crashes := c.crashesOf(key, state)
	c.mu.Unlock()
	c.scope.Tagged(map[string]string{"finding": found.String()}).Counter("findings").Inc(1)
	events.TargetChecked.Log(c.tracker.options.Logger, "target", key.id, "address", state.target.Address, "finding", found, "crashed_on", len(crashes))
	c.record(crashes)
}

// recorded is one crash by request.
type recorded struct {
	fingerprint quarantine.Fingerprint
	crash       quarantine.Crash
}

// crashesOf returns the crashes that the finding and the published targets show, and
// forgets the lost attempts behind confirmed ones; the lock is held.
func (c *checker) crashesOf(key process, state *checkedProcess) []recorded {
	ended := c.isConfirmed(state)
	confirmed := ended || state.finding == findingCrashed
	if !confirmed && state.finding != findingSilent {
		return nil
	}
	var crashes []recorded
	for fingerprint, at := range state.lost {
		if !ended && c.tracker.options.ServedSince(key.id, at+reportDelay) {
			continue // other VMs reach the process
		}
		crashes = append(crashes, recorded{fingerprint, quarantine.Crash{
			Target: key.id, Incarnation: key.incarnation, At: at, Presumed: !confirmed,
		}})
		if confirmed {
			delete(state.lost, fingerprint)
		}
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
	if state.finding == findingSilent {
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
	var crashes []recorded
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
func (c *checker) record(crashes []recorded) {
	for _, r := range crashes {
		c.tracker.recordCrash(r.fingerprint, r.crash)
	}
}
