package targetset

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/placement"
)

// start counts an attempt as in progress at its target; the lock is held.
func (m *Manager) start(s *service, t *target, candidate placement.Candidate, wanted AttemptRequest, now time.Duration) *Attempt {
	t.limiter.bucket.Spend()
	t.ownAttempts++
	t.held.Begun(1)
	t.bytes.add(wanted.Bytes, now)
	t.everAttempted = true
	t.lastAttemptAt = now
	m.notifier.InProgressChanged()
	return &Attempt{
		manager: m, service: s, target: t, info: t.info, route: wanted.Route.Name, startedAt: now, bytes: wanted.Bytes, candidate: candidate,
		idempotent: wanted.Route.Kind.Idempotent(), openConnectionOnly: t.unreachable,
	}
}

// expectWait sets the times from which the attempt counts as silent and as slow, given its wait
// for a slot; the lock is held.
func (a *Attempt) expectWait(wait, overallServiceTime, objective time.Duration) {
	reference := a.service.reference(a.route)
	a.silenceLimit = silenceLimit(reference, overallServiceTime, objective) + wait
	if limit := reference.Overdue(wait); limit > 0 {
		a.overdue = time.AfterFunc(limit, a.reportOverdue)
	}
}
