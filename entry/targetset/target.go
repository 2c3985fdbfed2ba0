package targetset

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Bounds on connections to one target.
const (
	// connectTimeout is a few round trips; another target is near.
	connectTimeout = 120 * time.Millisecond
	// connectionIdle is how long an idle connection is kept while the target
	// has not said how long it keeps it itself.
	connectionIdle = 4 * time.Second
	// idleShare is the part of the target's own time for which it is kept.
	idleShare = 0.7
	// connectionShare is the part of a target's connections that one VM may use.
	connectionShare = 0.1
	// leastConnections is what a VM may open whatever the share says.
	leastConnections = 4
	// loadAge is how long a target's own report of its load counts.
	loadAge = 100 * time.Millisecond
)

// target is one published target and what is known of it; the manager's lock
// guards it.
type target struct {
	info    roster.Target
	pool    *targetconn.Pool
	failing suspicion.Fault
	slow    suspicion.Fault
	// shedding is the fault of refusing requests although slots are free.
	shedding suspicion.Fault
	// mine and others are the attempts in progress from here and from other VMs.
	mine, others int
	load         dialect.Load
	loadAt       time.Duration
	// attempted is when an attempt of any VM was last known.
	attempted time.Duration
	// recovering is true when the last attempt known did not fail.
	recovering bool
	// tried is true once an attempt was made, here or on another VM.
	tried bool
	// unreachable is true while no connection opens from here.
	unreachable bool
	// misplaced is true once another instance answered at its address.
	misplaced bool
	// removed is true once the target is no longer published.
	removed bool
}

// usable reports whether new attempts may go to the target.
func (t *target) usable() bool {
	return t.info.State == roster.StateReady && !t.removed && !t.misplaced
}

// candidate renders the target for the choice.
func (t *target) candidate(zone string, now time.Duration) placement.Candidate {
	inUse := t.mine + t.others
	if now-t.loadAt < loadAge {
		inUse = max(inUse, t.load.Running+t.load.Waiting)
	}
	return placement.Candidate{
		ID:           t.info.ID,
		SameZone:     t.info.Zone == zone,
		Slots:        t.info.Slots,
		InUse:        inUse,
		Failing:      t.failing.Probability(now),
		Slow:         t.slow.Probability(now),
		Shedding:     t.shedding.Probability(now),
		Cold:         now < t.info.WarmAt,
		Blocked:      t.unreachable,
		Unused:       !t.tried,
		SinceAttempt: now - t.attempted,
		Recovering:   t.recovering,
	}
}

// suspect reports whether the target is under suspicion.
func (t *target) suspect(now time.Duration) bool {
	return placement.IsSuspect(t.failing.Probability(now), t.slow.Probability(now))
}
