package targetset

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/breaker"
	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// cancelSeenTime is how long after its cancellation the slot of an attempt counts as in use
// besides: the closed connection must reach the target, which then ends the work.
const cancelSeenTime = 50 * time.Millisecond

// minHedgeDelay is the least time after which a second attempt is considered.
const minHedgeDelay = time.Millisecond

// hedging is what a service needs for second attempts.
type hedging struct {
	budget hedge.Budget
	// durations holds, by route, those of recent first attempts.
	durations map[string]*hedge.Durations
}

// of returns the recent durations of a route.
func (h *hedging) of(route string) *hedge.Durations {
	d, ok := h.durations[route]
	if !ok {
		d = &hedge.Durations{}
		if h.durations == nil {
			h.durations = make(map[string]*hedge.Durations)
		}
		h.durations[route] = d
	}
	return d
}

// HedgeAnswer is the answer to whether an attempt gets a hedge.
type HedgeAnswer struct {
	// Second is the attempt to make; nil unless Reason is hedge.Allowed.
	Second *Attempt
	Reason hedge.Reason
	// Again is the time after which to ask again; zero for never.
	Again time.Duration
}

// SetHedging changes the settings of second attempts.
func (m *Manager) SetHedging(settings hedge.Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Hedging = settings
}

// HedgeAfter returns the time after which a second attempt may be due beside one that has just
// begun; zero when there are none, or too little is known of the route.
func (m *Manager) HedgeAfter(first *Attempt) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.options.Hedging.Ratio <= 0 {
		return 0
	}
	durations := first.service.hedging.of(first.route)
	if !durations.Known() {
		return 0
	}
	return max(durations.Delay(m.options.Hedging.MinDelay, true), minHedgeDelay)
}

// Hedge decides whether a request whose first attempt is in progress gets a second one now,
// chooses its target and counts it as in progress there. The caller has checked that the
// request may be hedged at all.
func (m *Manager) Hedge(first *Attempt, wanted AttemptRequest) HedgeAnswer {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := first.service
	moment := hedge.Moment{Elapsed: now - first.startedAt, Remaining: wanted.Remaining, TargetSuspect: first.target.suspect(now)}
	durations := s.hedging.of(first.route)
	reason, again := hedge.Due(m.options.Hedging, durations, moment)
	if reason != hedge.Allowed {
		return HedgeAnswer{Reason: reason, Again: again}
	}
	if s.breaker.State() != breaker.Closed {
		return HedgeAnswer{Reason: hedge.PathInDoubt, Again: hedge.Later()}
	}
	room := m.room(s, now)
	if reason, again = hedge.Fits(room); reason != hedge.Allowed {
		return HedgeAnswer{Reason: reason, Again: again}
	}
	return m.beginHedge(first, wanted, hedge.UsableRatio(m.options.Hedging, durations, moment, room), now)
}

// room returns what is free in a service; the lock is held.
func (m *Manager) room(s *service, now time.Duration) hedge.Room {
	room := hedge.Room{}
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		c := t.candidate(m.options.Zone, false, now)
		room.Slots += c.Slots
		room.HasSuspects = room.HasSuspects || c.IsSuspect()
		if !isSound(c) {
			continue
		}
		room.Free += max(c.Slots-c.InUse, 0)
		room.Waiting = room.Waiting || c.InUse > c.Slots || now-t.loadAt < maxLoadAge && t.load.Waiting > 0
	}
	return room
}

// isSound reports whether nothing is known against a target.
func isSound(c placement.Candidate) bool {
	return !c.Blocked && !c.Cold && !c.IsSuspect() && !placement.IsSuspect(c.Shedding, 0)
}

// beginHedge begins a hedge at a sound target with a free slot, if the budgets allow it; the
// lock is held.
func (m *Manager) beginHedge(first *Attempt, wanted AttemptRequest, usableRatio float64, now time.Duration) HedgeAnswer {
	s := first.service
	wanted.Attempted = append(slices.Clone(wanted.Attempted), first.info.ID)
	candidate, t := m.hedgeTarget(s, wanted, now)
	switch {
	case t == nil:
		return HedgeAnswer{Reason: hedge.NoTarget, Again: hedge.Later()}
	case !s.hedging.budget.Available(usableRatio, now):
		return HedgeAnswer{Reason: hedge.BudgetSpent, Again: hedge.Later()}
	case !s.budget.SpendSurplus(now):
		return HedgeAnswer{Reason: hedge.RetryBudget, Again: hedge.Later()}
	}
	s.hedging.budget.Spend(usableRatio, now)
	second := m.start(s, t, candidate, wanted, now)
	second.isHedge = true
	second.expectWait(0, s.overall.MeanServiceTime(defaultAttemptDuration), wanted.Route.Objective)
	return HedgeAnswer{Second: second, Reason: hedge.Allowed}
}

// hedgeTarget returns the best target for a hedge, or nil; the lock is held. Of the sound ones
// with a free slot it is the one that a retry would get, so the own zone comes first: a zone
// whose targets are slow has few sound ones.
func (m *Manager) hedgeTarget(s *service, wanted AttemptRequest, now time.Duration) (placement.Candidate, *target) {
	candidates, targets, _ := m.candidates(s, wanted, false, now)
	var free []placement.Candidate
	var freeTargets []*target
	for i, c := range candidates {
		if isSound(c) && c.InUse < c.Slots {
			free, freeTargets = append(free, c), append(freeTargets, targets[i])
		}
	}
	overall := s.overall.MeanServiceTime(defaultAttemptDuration)
	choice := placement.Choose(free, placement.AttemptRequest{
		Idempotent: true, Retry: true, Bytes: wanted.Bytes, Remaining: wanted.Remaining, UsefulTime: wanted.Useful, Priority: wanted.Priority,
		ServiceTime: s.reference(wanted.Route.Name).MeanServiceTime(overall), QueueServiceTime: overall,
	}, m.random)
	if choice.Reason != placement.ReasonNone {
		return placement.Candidate{}, nil
	}
	return free[choice.Index], freeTargets[choice.Index]
}

// Supersede records that the other attempt of the request responded first and that this one is
// now cancelled. It has no effect on an attempt that has ended.
func (a *Attempt) Supersede() {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if !a.ended {
		a.supersededAt = m.options.Uptime()
	}
}

// MayRetry reports whether the retry budget of a service has room for another attempt.
func (m *Manager) MayRetry(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.service(service).budget.Available(m.options.Uptime()) >= 1
}

// IsHedge reports whether the attempt runs beside an earlier one of its request.
func (a *Attempt) IsHedge() bool { return a.isHedge }

// isSuperseded reports whether the attempt ended because the other one of its request won, so that
// the target was not known to be at fault; the lock is held.
func (a *Attempt) isSuperseded(result Result) bool {
	return a.supersededAt > 0 && result.End == suspicion.ResultNeutral
}

// evaluateSuperseded returns the evidence of slowness in the time until the attempt was outrun, which
// is the least that its response would have taken; the lock is held. A time that is not slow says
// nothing.
func (a *Attempt) evaluateSuperseded(load *dialect.Load) float64 {
	if a.overdueReported || a.service.reference(a.route).SlowNats(a.supersededAt-a.startedAt) <= 0 {
		return 0
	}
	return a.evaluateDuration(a.supersededAt, load)
}

// releaseSlot ends the use of the target's slot, when the target of a cancelled attempt has
// seen that; the lock is held.
func (a *Attempt) releaseSlot(result Result) {
	if !a.isSuperseded(result) || !result.Sent {
		a.target.ownAttempts--
		return
	}
	m := a.manager
	time.AfterFunc(cancelSeenTime, func() {
		m.mu.Lock()
		a.target.ownAttempts--
		m.mu.Unlock()
		m.notifier.InProgressChanged()
	})
}

// recordDuration adds the duration of a first attempt to those that determine when requests of
// its route are hedged; the lock is held. Suspects are left out, so that some slow targets don't
// delay the hedges of their requests.
func (a *Attempt) recordDuration(result Result, now time.Duration) {
	isComplete := result.End == suspicion.ResultServed
	if a.manager.options.Hedging.Ratio <= 0 || a.isHedge || a.target.suspect(now) || !isComplete && !a.isSuperseded(result) {
		return
	}
	a.service.hedging.of(a.route).Add(now - a.startedAt)
}

// mayBeSuperseded reports whether evidence may be that of an attempt that was slow and lost
// against its hedge. Its target has not succeeded, so that its next trial waits for the trial
// interval: trials that are cut short would otherwise follow one another at once.
func (m *Manager) mayBeSuperseded(outcome evidence.AttemptEvidence) bool {
	return m.options.Hedging.Ratio > 0 && outcome.SlowNats > 0 && outcome.FailureNats == 0
}
