package targetset

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/room"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Bounds on connections to one target.
const (
	// connectTimeout allows a few round trips; it is short because another target can
	// be attempted instead.
	connectTimeout = 120 * time.Millisecond
	// connectionIdle is how long an idle connection is kept while the target has not
	// announced its own idle timeout.
	connectionIdle = 4 * time.Second
	// idleShare is the part of the announced idle timeout for which it is kept.
	idleShare = 0.7
	// connectionShare is the part of a target's connection limit that one VM may use.
	connectionShare = 0.1
	// minConnections is the number of connections that a VM may open in any case.
	minConnections = 4
	// openConnectionTime is how long after a response of a target open connections to it are
	// used while no new one opens.
	openConnectionTime = 500 * time.Millisecond
	// maxLoadAge is how long a target's own load report is used.
	maxLoadAge = 100 * time.Millisecond
)

// target is one published target and its state on this VM; the manager's lock
// guards it.
type target struct {
	info    roster.Target
	pool    *targetconn.Pool
	failing suspicion.FaultEstimate
	slow    suspicion.FaultEstimate
	// shedding estimates the fault of refusing requests although slots are free.
	shedding suspicion.FaultEstimate
	// limiter is this VM's part in the target's own limit.
	limiter limiter
	// ownAttempts and remoteAttempts count the attempts in progress from this VM and
	// from other VMs.
	ownAttempts, remoteAttempts int
	// bytes counts the bytes of the own attempts' requests.
	bytes  recentBytes
	load   dialect.Load
	loadAt time.Duration
	// held is what it held when it last refused for lack of room.
	held room.Fullness
	// lastAttemptAt is the uptime of the latest known attempt of any VM.
	lastAttemptAt time.Duration
	// lastSucceeded is true when the latest evidence about failing was negative, as
	// after a success; evidence of zero nats leaves it unchanged.
	lastSucceeded bool
	// lastServedAt is the uptime at which a complete response to any VM was last known
	// of; zero before the first.
	lastServedAt time.Duration
	// answeredHereAt is the uptime of the latest response to this VM; zero before the first.
	answeredHereAt time.Duration
	// everAttempted is true once any VM has made an attempt.
	everAttempted bool
	// unreachable is true while this VM cannot open a connection, or none has opened since an
	// attempt reached its time limit; connectFailed is true in the first case.
	unreachable, connectFailed bool
	// misplaced is true once another instance answered at its address.
	misplaced bool
	// removed is true once the target is no longer published.
	removed bool
}

// usable reports whether new attempts may go to the target.
func (t *target) usable() bool {
	return t.info.State == roster.StateReady && !t.removed && !t.misplaced
}

// isBlocked reports whether no attempt of this VM can reach the target. While no connection
// to it opens, an idle one is used as long as the target goes on answering this VM.
func (t *target) isBlocked(openConnectionOnly bool, now time.Duration) bool {
	switch {
	case t.unreachable:
		return t.answeredHereAt == 0 || now-t.answeredHereAt >= openConnectionTime || !t.pool.HasIdle()
	case openConnectionOnly:
		return !t.pool.HasIdle()
	}
	return false
}

// candidate returns the target as a candidate for placement.
func (t *target) candidate(zone string, openConnectionOnly bool, now time.Duration) placement.Candidate {
	inUse := t.ownAttempts + t.remoteAttempts
	if now-t.loadAt < maxLoadAge {
		inUse = max(inUse, t.load.Running+t.load.Waiting)
	}
	return placement.Candidate{
		ID:            t.info.ID,
		SameZone:      t.info.Zone == zone,
		Slots:         t.info.Slots,
		InUse:         inUse,
		Failing:       t.failing.Probability(now),
		Slow:          t.slow.Probability(now),
		Shedding:      t.shedding.Probability(now),
		Cold:          now < t.info.WarmUntil,
		Blocked:       t.isBlocked(openConnectionOnly, now),
		Unused:        !t.everAttempted,
		SinceAttempt:  now - t.lastAttemptAt,
		LastSucceeded: t.lastSucceeded,
	}
}

// suspect reports whether the target is probably failing or slow.
func (t *target) suspect(now time.Duration) bool {
	return placement.IsSuspect(t.failing.Probability(now), t.slow.Probability(now))
}
