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
	// probeTimeout bounds one connection attempt.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the pause between two connection attempts to one target.
	probeInterval = 250 * time.Millisecond
	// maxProbes is the number of connection attempts without success after which the
	// target counts as crashed or silent. A target with too many connections may refuse
	// a single one.
	maxProbes = 3
	// controlTargets is the number of other targets, one of which must accept a
	// connection before a finding counts against a target and not against this VM's own
	// network path.
	controlTargets = 3
	// reportDelay bounds how long the report of a response is on its way to this VM.
	reportDelay = 200 * time.Millisecond
	// confirmTime is how long after the end of an attempt a newer start of the target,
	// or the end of its entry, confirms a crash.
	confirmTime = 8 * time.Second
	// maxProbed bounds the processes that are probed or watched, maxLostPerProcess the
	// requests that are kept for each.
	maxProbed, maxLostPerProcess = 256, 64
)

// LostAttempt is an attempt that ended, or has been waiting for long, without a
// complete response after the request was written.
type LostAttempt struct {
	Fingerprint quarantine.Fingerprint
	// Target is the process that ran the request, as it was published.
	Target roster.Target
}

// process identifies one process of a target.
type process struct {
	id          string
	incarnation int64
}

func processOf(target roster.Target) process {
	if target.StartedAt.IsZero() {
		return process{id: target.ID}
	}
	return process{id: target.ID, incarnation: target.StartedAt.UnixMilli()}
}

// finding is what probes showed about a process.
type finding int

const (
	// findingNone: the process is still being probed, or this VM reaches no target.
	findingNone finding = iota
	findingAlive
	findingSilent
	findingCrashed
)

// probed is the state of a process with lost attempts.
type probed struct {
	target roster.Target
	// lost holds, by request, when an attempt was lost.
	lost    map[quarantine.Fingerprint]time.Duration
	probing bool
	finding finding
	// startedAt is when the probes that led to the finding began.
	startedAt time.Duration
}

// prober finds out whether the targets of lost attempts crashed.
type prober struct {
	tracker *Tracker
	scope   tally.Scope

	mu        sync.Mutex
	processes map[process]*probed
	// published holds the published targets by identifier.
	published map[string]roster.Target
	// started passes the processes to be probed to Run.
	started chan process
}

func newProber(tracker *Tracker) *prober {
	return &prober{
		tracker: tracker, scope: tracker.options.Scope, processes: make(map[process]*probed),
		published: make(map[string]roster.Target), started: make(chan process, maxProbed),
	}
}

// Run probes the targets of lost attempts until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case key := <-t.prober.started:
			probes.Go(func() { t.prober.probe(ctx, key) })
		}
	}
}

// add records a lost attempt and starts to probe its target unless that is being
// done.
func (p *prober) add(lost LostAttempt) {
	now := p.tracker.options.Uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(now)
	key := processOf(lost.Target)
	state := p.processes[key]
	if state == nil {
		if len(p.processes) >= maxProbed {
			p.scope.Counter("lost_attempts_not_checked").Inc(1)
			return
		}
		state = &probed{target: lost.Target, lost: make(map[quarantine.Fingerprint]time.Duration)}
		p.processes[key] = state
	}
	if len(state.lost) < maxLostPerProcess {
		state.lost[lost.Fingerprint] = now
	}
	if !state.probing {
		state.probing, state.startedAt = true, now
		p.started <- key // never blocks: it has room for all processes
	}
}

// dropExpired forgets lost attempts that nothing can confirm any more; the lock is
// held.
func (p *prober) dropExpired(now time.Duration) {
	for key, state := range p.processes {
		for fingerprint, at := range state.lost {
			if now-at >= confirmTime {
				delete(state.lost, fingerprint)
			}
		}
		if len(state.lost) == 0 && !state.probing {
			delete(p.processes, key)
		}
	}
}

// probe connects to a target until it is clear whether its process lives.
func (p *prober) probe(ctx context.Context, key process) {
	p.mu.Lock()
	state := p.processes[key]
	p.mu.Unlock()
	for {
		found := p.examine(ctx, state.target)
		p.conclude(key, state, found)
		if !pause.For(ctx, probeInterval) || p.finish(state) {
			return
		}
	}
}

// finish ends the probes of a process unless an attempt was lost after they began,
// to which the finding may not apply.
func (p *prober) finish(state *probed) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range state.lost {
		if at > state.startedAt {
			state.startedAt = p.tracker.options.Uptime()
			return false
		}
	}
	state.probing = false
	return true
}

// examine makes up to maxProbes connection attempts to a target.
func (p *prober) examine(ctx context.Context, target roster.Target) finding {
	refusals := 0
	for i := range maxProbes {
		if i > 0 && !pause.For(ctx, probeInterval) {
			return findingNone
		}
		err := p.connect(ctx, target.Address)
		if err == nil {
			return findingAlive
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
		}
	}
	switch {
	case !p.reachesOtherTargets(ctx, target):
		return findingNone
	case refusals > 0:
		return findingCrashed
	}
	return findingSilent
}

// connect opens a connection to a target and closes it.
func (p *prober) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.scope.Counter("probes").Inc(1)
	conn, err := p.tracker.options.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("probe target at %s: %w", address, err)
	}
	_ = conn.Close()
	return nil
}

// reachesOtherTargets reports whether another target accepts a connection. When
// there is no other target, it reports true.
func (p *prober) reachesOtherTargets(ctx context.Context, target roster.Target) bool {
	p.mu.Lock()
	var others []string
	for id, other := range p.published { // in random order
		if id != target.ID && other.Address != target.Address && len(others) < controlTargets {
			others = append(others, other.Address)
		}
	}
	p.mu.Unlock()
	for _, address := range others {
		if p.connect(ctx, address) == nil {
			return true
		}
	}
	return len(others) == 0
}

// conclude applies a finding to the lost attempts of a process.
func (p *prober) conclude(key process, state *probed, found finding) {
	p.mu.Lock()
	state.finding = found
	crashes := p.crashesOf(key, state)
	p.mu.Unlock()
	p.scope.Tagged(map[string]string{"finding": found.String()}).Counter("findings").Inc(1)
	events.TargetProbed.Log(p.tracker.options.Logger, "target", key.id, "address", state.target.Address, "finding", found, "crashed_on", len(crashes))
	p.record(crashes)
}

// recorded is one crash by request.
type recorded struct {
	fingerprint quarantine.Fingerprint
	crash       quarantine.Crash
}

// crashesOf returns the crashes that the finding and the published targets show, and
// forgets the lost attempts behind confirmed ones; the lock is held.
func (p *prober) crashesOf(key process, state *probed) []recorded {
	ended := p.isConfirmed(state)
	confirmed := ended || state.finding == findingCrashed
	if !confirmed && state.finding != findingSilent {
		return nil
	}
	var crashes []recorded
	for fingerprint, at := range state.lost {
		if !ended && p.tracker.options.ServedSince(key.id, at+reportDelay) {
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
func (p *prober) isConfirmed(state *probed) bool {
	known, ok := p.published[state.target.ID]
	if ok {
		return known.StartedAt.After(state.target.StartedAt)
	}
	if state.finding == findingSilent {
		return true
	}
	for _, other := range p.published {
		if other.Address == state.target.Address && other.Service == state.target.Service && other.StartedAt.After(state.target.StartedAt) {
			return true
		}
	}
	return false
}

// TargetsChanged applies the published targets, which may confirm that the targets
// of lost attempts crashed.
func (t *Tracker) TargetsChanged(targets []roster.Target) { t.prober.targetsChanged(targets) }

func (p *prober) targetsChanged(targets []roster.Target) {
	var crashes []recorded
	p.mu.Lock()
	p.dropExpired(p.tracker.options.Uptime())
	p.published = make(map[string]roster.Target, len(targets))
	for _, target := range targets {
		p.published[target.ID] = target
	}
	for key, state := range p.processes {
		if p.published[key.id].State == roster.StateDraining {
			clear(state.lost) // it leaves as planned
		}
		if p.isConfirmed(state) {
			crashes = append(crashes, p.crashesOf(key, state)...)
		}
	}
	p.mu.Unlock()
	p.record(crashes)
}

// record passes crashes to the tracker.
func (p *prober) record(crashes []recorded) {
	for _, r := range crashes {
		p.tracker.recordCrash(r.fingerprint, r.crash)
	}
}

// String returns the finding as a metric label.
func (f finding) String() string {
	return [...]string{"none", "alive", "silent", "crashed"}[f]
}
