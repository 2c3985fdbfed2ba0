package hedge_test

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// judge adds the evidence of an attempt's time, which is the least time when it lost.
func (m *model) judge(a *modelAttempt, lost bool) {
	t, elapsed := m.targets[a.target], m.now-a.began
	isSuspect := placement.IsSuspect(t.failing.Probability(m.now), t.slow.Probability(m.now))
	if !isSuspect && !a.isHedge {
		m.durations.Add(elapsed)
	}
	nats := m.reference.SlowNats(elapsed)
	if lost && nats > 0 {
		t.lastServed = false
	}
	if a.overdue || a.waited || lost && nats <= 0 {
		return
	}
	if !isSuspect {
		m.reference.Add(elapsed)
	}
	if !m.isHidden {
		t.slow.Observe(nats, m.now)
	}
}

func (m *model) respond(a *modelAttempt) {
	if a.ended || a.released {
		return
	}
	a.ended = true
	m.judge(a, false)
	t := m.targets[a.target]
	t.lastServed = true
	t.failing.Observe(suspicion.FailureNats(suspicion.ResultServed), m.now)
	m.release(a)
	if a.trial {
		m.share.Refund()
	}
	r := a.request
	r.done = true
	m.record(r, true)
	for _, loser := range []*modelAttempt{r.first, r.second} {
		if loser != nil && !loser.ended {
			m.cancel(loser)
		}
	}
}

// cancel ends the attempt that lost.
func (m *model) cancel(a *modelAttempt) {
	a.ended = true
	m.judge(a, true)
	if a.trial {
		m.share.Refund()
	}
	m.at(m.now+modelCancelSeen, func() { m.release(a) })
}

func (m *model) timeOut(r *modelRequest) {
	if r.done {
		return
	}
	r.done = true
	m.record(r, false)
	for _, a := range []*modelAttempt{r.first, r.second} {
		if a != nil && !a.ended {
			a.ended = true
			m.targets[a.target].failing.Observe(suspicion.FailureNats(suspicion.ResultTimedOut), m.now)
			m.targets[a.target].lastServed = false
			m.release(a)
		}
	}
}

func (m *model) record(r *modelRequest, served bool) {
	if !m.isMeasured(r) {
		return
	}
	k := r.kind
	k.latencies = append(k.latencies, m.now-r.arrived)
	if r.second != nil {
		k.hedges++
	}
	if served {
		k.served++
	}
	if served && m.now-r.arrived <= k.useful {
		k.inTime++
	}
}

// consider begins the second attempt of a request if that is allowed now.
func (m *model) consider(r *modelRequest) {
	if r.done {
		return
	}
	reason, again := m.hedgeReason(r)
	if reason == hedge.Allowed {
		return
	}
	if again > 0 {
		m.at(m.now+again, func() { m.consider(r) })
	}
	if reason != hedge.TooEarly && m.measured > 0 {
		m.notMade[reason]++
	}
}

func (m *model) hedgeReason(r *modelRequest) (hedge.Reason, time.Duration) {
	t := m.targets[r.first.target]
	moment := hedge.Moment{
		Elapsed: m.now - r.first.began, Remaining: r.arrived + r.kind.timeout - m.now,
		TargetSuspect: placement.IsSuspect(t.failing.Probability(m.now), t.slow.Probability(m.now)),
	}
	reason, again := hedge.Due(m.settings, &m.durations, moment)
	if reason != hedge.Allowed {
		return reason, again
	}
	room := m.room()
	if reason, again = hedge.Fits(room); reason != hedge.Allowed {
		return reason, again
	}
	choice := placement.Choose(m.candidates(r.first), placement.AttemptRequest{
		Idempotent: true, Retry: true, ServiceTime: modelMean, QueueServiceTime: modelMean,
		Remaining: r.arrived + r.kind.timeout - m.now, UsefulTime: r.kind.useful, Priority: r.kind.priority,
	}, m.random)
	switch {
	case choice.Reason != placement.ReasonNone:
		return hedge.NoTarget, hedge.Later()
	case !m.budget.Available(hedge.UsableRatio(m.settings, &m.durations, moment, room), m.now):
		return hedge.BudgetSpent, hedge.Later()
	case !m.share.SpendSurplus(m.now):
		return hedge.RetryBudget, hedge.Later()
	}
	m.budget.Spend(m.settings.Ratio, m.now)
	r.second = m.begin(r, choice.Index)
	r.second.isHedge = true
	return hedge.Allowed, 0
}

func (m *model) room() hedge.Room {
	room := hedge.Room{}
	for _, c := range m.candidates(nil) {
		room.Slots += c.Slots
		if c.IsSuspect() {
			room.HasSuspects = true
			continue
		}
		room.Free += max(c.Slots-c.InUse, 0)
		room.Waiting = room.Waiting || c.InUse > c.Slots
	}
	return room
}
