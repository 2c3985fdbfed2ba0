package targetset

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/cursor"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// noticeNewTime is how long each datagram tells of a changed notice, since datagrams
	// may be lost.
	noticeNewTime = 300 * time.Millisecond
	// maxNoticesPerHeartbeat bounds the notices that a heartbeat repeats.
	maxNoticesPerHeartbeat = 12
	// maxNewNotices bounds the changed notices in one datagram; as many targets may leave at once as a zone has.
	maxNewNotices = 64
)

// processOf returns the process that an entry describes.
func processOf(info roster.Target) notice.Process {
	process := notice.Process{Target: info.ID}
	if !info.StartedAt.IsZero() {
		process.Incarnation = info.StartedAt.UnixMilli()
	}
	return process
}

// Noticed records what the target says of itself in the response to the attempt. It is
// called as soon as the head of the response is known.
func (a *Attempt) Noticed(said notice.Notice) {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	process := processOf(a.info)
	change := m.notices.Record(process, said, a.startedAt, m.options.Uptime())
	m.logNotice(process, change, "")
	if change.Limit || change.Leaving {
		m.notifier.NoticesChanged()
	}
	if change.Paused {
		events.TargetPauses.Log(m.options.Logger, "target", process.Target, "service", a.info.Service, "pause", said.Pause)
	}
}

// logNotice logs and counts what a notice changed; reporter is the VM that told it, empty
// for this one. The lock is held.
func (m *Manager) logNotice(process notice.Process, change notice.Change, reporter string) {
	state := m.notices.StateOf(process)
	if change.Limit {
		m.options.Scope.Counter("limit_changes").Inc(1)
		events.TargetLimited.Log(m.options.Logger, "target", process.Target, "limited", state.IsLimited, "per_second", state.RateLimit, "reporter", reporter)
	}
	if change.Leaving {
		m.options.Scope.Counter("leaving_notices").Inc(1)
		events.TargetLeaves.Log(m.options.Logger, "target", process.Target, "reporter", reporter)
	}
}

// MergeNotice applies what another VM knows of what a target says of itself.
func (m *Manager) MergeNotice(vm string, report notice.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logNotice(report.Process, m.notices.Merge(report, m.options.Uptime()), vm)
}

// NextNotices returns the notices for the next datagram: those that have changed lately
// or, for a heartbeat, the next part of all, each a part in turn.
func (m *Manager) NextNotices(isHeartbeat bool) []notice.Report {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !isHeartbeat {
		return cursor.Take(&m.told, m.notices.Reports(now-noticeNewTime, now), maxNewNotices)
	}
	return cursor.Take(&m.repeated, m.notices.Reports(0, now), maxNoticesPerHeartbeat)
}
