package breaker

import "time"

const (
	// connectFailuresToCheck is the number of targets to which no connection opened, and
	// none to others since, after which the path is checked.
	connectFailuresToCheck = 2
	// lossesToOpen is the number of targets that lost requests without a response to this VM,
	// after which the breaker opens if other VMs are answered, or, if requests are only late,
	// the path is checked; lossesToDoubt the number from which the path is in doubt.
	lossesToOpen, lossesToDoubt = 3, 2
	// lossesInRowToOpen is the number of losses in a row that open the breaker, too, when they
	// are of lossesToDoubt targets: requests go mostly to the targets that look best, so a VM
	// with few requests may not lose one at a third target for long.
	lossesInRowToOpen = 5
	// failureLifetime is how long a failure counts.
	failureLifetime = 2 * time.Second
	// checkInterval is the minimum time between two checks of the path.
	checkInterval = 500 * time.Millisecond
	// reconnectsToFail is the number of failed reconnects in a row from which connections
	// count as failing.
	reconnectsToFail = 3
	// liveTime is how long after a response over an open connection the others are used
	// while the breaker is open.
	liveTime = 500 * time.Millisecond
	// firstTrialPause is the time from a failed trial until the next connection makes the
	// breaker half-open; it doubles with each further failure, up to maxTrialPause. Each trial
	// may cost a request one attempt.
	firstTrialPause, maxTrialPause = 400 * time.Millisecond, 1600 * time.Millisecond
	// trialTimeout bounds the time that the result of a trial is awaited.
	trialTimeout = time.Second
	// onceTrialDelay is how long a half-open breaker waits for an idempotent request before
	// any other may be the trial, settleTime how long it waits for any request.
	onceTrialDelay, settleTime = 500 * time.Millisecond, time.Second
	// onceTrialDelayOfLosses and settleTimeOfLosses are the same where connections opened
	// all the while and requests were lost on them: that one opens shows little then.
	onceTrialDelayOfLosses, settleTimeOfLosses = 5 * time.Second, 6 * time.Second
)

// State is the state of a breaker.
type State int

// The states.
const (
	Closed State = iota
	Open
	HalfOpen
)

// String returns the state as it is logged.
func (s State) String() string { return [...]string{"closed", "open", "half_open"}[s] }

// Admission is how a request may take the path.
type Admission int

// The admissions.
const (
	// Pass lets the request pass on any connection.
	Pass Admission = iota
	// PassAsTrial lets the request pass; its result decides the breaker's state.
	PassAsTrial
	// PassOnOpenConnection lets the request pass on a connection that is already open.
	PassOnOpenConnection
	// Block lets the request not pass.
	Block
)

// Breaker is the circuit breaker of the path to the targets of one service. The zero value
// is closed.
type Breaker struct {
	state State
	// unconnected holds, by target, the uptime of the latest failed connect, lost the first
	// lost request that still counts.
	unconnected map[string]time.Duration
	lost        map[string]Loss
	// lossesInRow counts the attempts that were lost since the latest response, without those
	// that are only late.
	lossesInRow int
	// answeredAt is the uptime of the latest response of any target; zero before the first.
	answeredAt time.Duration
	// changedAt is the uptime of the latest change of the state, checkedAt that of the
	// latest check, zero before the first.
	changedAt, checkedAt time.Duration
	// byLosses is true when lost requests opened the breaker and connections open all the
	// while, unproven when it closed without a response.
	byLosses, unproven bool
	// reconnectsFailed counts the failed reconnects since the latest one that succeeded.
	reconnectsFailed int
	// liveUntil is the uptime until which open connections are used while the breaker is
	// open, trialUntil that until which the result of a trial is awaited.
	liveUntil, trialUntil time.Duration
	// trialPause is the pause after the latest failed trial since the breaker was closed, zero
	// for none; pausedUntil is when it ends.
	trialPause, pausedUntil time.Duration
}

// State returns the breaker's state.
func (b *Breaker) State() State { return b.state }

// InDoubt reports whether the path may be at fault for failures of targets.
func (b *Breaker) InDoubt(now time.Duration) bool {
	return b.state != Closed || countRecent(b.unconnected, now) >= connectFailuresToCheck || len(b.Losses(now)) >= lossesToDoubt
}

// ConnectFailed records that no connection to a target opened. It reports whether the path
// should be checked now.
func (b *Breaker) ConnectFailed(target string, now time.Duration) (check bool) {
	b.endTrial(now)
	if b.unconnected == nil {
		b.unconnected = make(map[string]time.Duration)
	}
	b.unconnected[target] = now
	if b.state != Closed || countRecent(b.unconnected, now) < connectFailuresToCheck {
		return false
	}
	if b.checkedAt > 0 && now-b.checkedAt < checkInterval {
		return false
	}
	b.checkedAt = now
	return true
}

// Checked records the result of a check of the path and reports whether it opened the
// breaker.
func (b *Breaker) Checked(reached bool, now time.Duration) (opened bool) {
	if reached {
		clear(b.unconnected)
		return false
	}
	if b.state != Closed || countRecent(b.unconnected, now) < connectFailuresToCheck {
		return false
	}
	b.open(false, now)
	return true
}

// OpenByLosses opens the breaker, since other VMs are answered.
func (b *Breaker) OpenByLosses(now time.Duration) { b.open(true, now) }

// ReconnectFailed records that no connection to a target opened that was not known to be
// unreachable. Several in a row show that connections fail, too.
func (b *Breaker) ReconnectFailed() {
	b.reconnectsFailed++
	if b.reconnectsFailed >= reconnectsToFail {
		b.byLosses = false
	}
}

func (b *Breaker) open(byLosses bool, now time.Duration) {
	b.set(Open, now)
	b.byLosses, b.reconnectsFailed = byLosses, 0
}

// Answered records a response of any target. It reports whether that closed the breaker:
// over a connection that was open before, a response shows only that such connections live.
func (b *Breaker) Answered(onNewConnection bool, now time.Duration) (closed bool) {
	clear(b.lost)
	b.unproven, b.lossesInRow, b.answeredAt = false, 0, now
	if onNewConnection {
		clear(b.unconnected)
	}
	if b.state == Open && !onNewConnection {
		b.liveUntil = now + liveTime
		return false
	}
	if b.state == Closed {
		return false
	}
	b.set(Closed, now)
	return true
}

// Connected records that a connection to a target opened, which makes an open breaker
// half-open.
func (b *Breaker) Connected(now time.Duration) {
	b.reconnectsFailed = 0
	clear(b.unconnected)
	if b.state == Open && now >= b.pausedUntil {
		b.set(HalfOpen, now)
	}
}

// Settle closes a half-open breaker that no request has tried for long: a connection opened,
// and callers come only to a VM that says that it reaches targets. It reports whether it did.
func (b *Breaker) Settle(now time.Duration) (closed bool) {
	wait := settleTime
	if b.byLosses {
		wait = settleTimeOfLosses
	}
	if b.state != HalfOpen || now-b.changedAt < wait || now < b.trialUntil {
		return false
	}
	b.set(Closed, now)
	b.unproven = true
	return true
}

// Admit decides how a request may take the path. A request that another VM forwarded is no
// trial: it came to this VM since that VM can't, or shouldn't, serve it, and isn't forwarded
// again.
func (b *Breaker) Admit(idempotent, isForwarded bool, now time.Duration) Admission {
	onceDelay := onceTrialDelay
	if b.byLosses {
		onceDelay = onceTrialDelayOfLosses
	}
	switch {
	case b.state == Closed:
		return Pass
	case b.state == HalfOpen && !isForwarded && now >= b.trialUntil && (idempotent || now-b.changedAt >= onceDelay):
		b.trialUntil = now + trialTimeout
		return PassAsTrial
	case now < b.liveUntil:
		return PassOnOpenConnection
	}
	return Block
}

// Blocks reports whether the breaker is open and responses don't come over open connections
// either.
func (b *Breaker) Blocks(now time.Duration) bool { return b.state == Open && now >= b.liveUntil }

// endTrial opens a half-open breaker whose trial failed.
func (b *Breaker) endTrial(now time.Duration) {
	if b.state != HalfOpen {
		return
	}
	b.set(Open, now)
	b.trialPause = min(max(2*b.trialPause, firstTrialPause), maxTrialPause)
	b.pausedUntil = now + b.trialPause
}

func (b *Breaker) set(state State, now time.Duration) {
	if state == Closed {
		b.trialPause, b.pausedUntil = 0, 0
	}
	b.state, b.changedAt, b.trialUntil, b.liveUntil = state, now, 0, 0
	b.lossesInRow = 0
	clear(b.unconnected)
	clear(b.lost)
}

// countRecent returns the number of targets with a failure that still counts.
func countRecent(failures map[string]time.Duration, now time.Duration) int {
	recent := 0
	for _, at := range failures {
		if now-at < failureLifetime {
			recent++
		}
	}
	return recent
}
