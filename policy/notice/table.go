package notice

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times for which a table keeps what it knows.
const (
	// memory is how long the notices of a target are kept after its last word.
	memory = 10 * time.Minute
	// liftedMemory is how long other VMs are told that a limit was lifted.
	liftedMemory = 10 * time.Second
	// lateWord is the time by which a report must be later than the known word to replace
	// it. Ages are rounded and reports take time, so without it a word would become ever
	// later on its way round the VMs.
	lateWord = 50 * time.Millisecond
)

// record is what is known of one process.
type record struct {
	process Process
	state   State
	// hasLimitWord is true once a limit was named; limitAt is when the latest word on it
	// was received.
	hasLimitWord bool
	limitAt      time.Duration
	// leavingAt is when the latest response was received that said that the target leaves.
	leavingAt time.Duration
	// changedAt is when the limit or the leaving last changed.
	changedAt time.Duration
}

// Table holds the notices by target. It is not safe for concurrent use.
type Table struct {
	records map[string]*record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record)} }

// Record applies the notice of a response to a request that was sent at an uptime.
func (t *Table) Record(process Process, notice Notice, sentAt, now time.Duration) Change {
	r, ok := t.recordOf(process, notice != Notice{})
	if !ok {
		return Change{}
	}
	change := Change{}
	if notice.IsLimited || r.state.IsLimited && sentAt > r.limitAt {
		change.Limit = r.setLimit(notice.IsLimited, notice.RateLimit, now)
	}
	if notice.IsLeaving {
		change.Leaving = r.setLeaving(now)
	}
	if until := now + notice.Pause; notice.Pause > 0 && until > r.state.PausedUntil {
		change.Paused = r.state.PausedUntil <= now
		r.state.PausedUntil = until
	}
	if change.Limit || change.Leaving {
		r.changedAt = now
	}
	return change
}

// Merge applies another VM's report.
func (t *Table) Merge(report Report, now time.Duration) Change {
	r, ok := t.recordOf(report.Process, true)
	if !ok {
		return Change{}
	}
	change := Change{}
	if report.HasLimitWord && (!r.hasLimitWord || report.LimitAt > r.limitAt+lateWord) {
		change.Limit = r.setLimit(report.IsLimited, report.RateLimit, report.LimitAt)
	}
	if report.IsLeaving && (!r.state.IsLeaving || report.LeavingAt > r.leavingAt+lateWord) {
		change.Leaving = r.setLeaving(report.LeavingAt)
	}
	if !change.IsZero() {
		r.changedAt = now
	}
	return change
}

// setLimit applies a word on the limit and reports whether it changes the limit.
func (r *record) setLimit(isLimited bool, rateLimit float64, at time.Duration) bool {
	if !isLimited {
		rateLimit = 0
	}
	changed := r.state.IsLimited != isLimited || r.state.RateLimit != rateLimit
	r.state.IsLimited, r.state.RateLimit = isLimited, rateLimit
	r.hasLimitWord, r.limitAt = true, at
	return changed
}

// setLeaving applies the word that the target leaves and reports whether it is new.
func (r *record) setLeaving(at time.Duration) bool {
	isNew := !r.state.IsLeaving
	r.state.IsLeaving, r.leavingAt = true, at
	return isNew
}

// recordOf returns the record of a process, a new one if create is set. ok is false when
// there is none, or only one of a later start.
func (t *Table) recordOf(process Process, create bool) (r *record, ok bool) {
	r, ok = t.records[process.Target]
	if ok && r.process.follows(process) {
		return nil, false
	}
	if ok && !process.follows(r.process) {
		r.process.Incarnation = max(r.process.Incarnation, process.Incarnation)
		return r, true
	}
	if !create {
		return nil, false
	}
	r = &record{process: process}
	t.records[process.Target] = r
	return r, true
}

// StateOf returns what is known of a process. It is empty for a later start than the one
// that the notices came from.
func (t *Table) StateOf(process Process) State {
	r, ok := t.records[process.Target]
	if !ok || process.follows(r.process) {
		return State{}
	}
	return r.state
}

// Reports returns what other VMs should know, sorted by target: all limits and leaving
// targets and the limits that were lifted lately, or, with since, what has changed since
// that uptime.
func (t *Table) Reports(since, now time.Duration) []Report {
	var reports []Report
	for _, r := range t.records {
		isKnown := r.state.IsLimited || r.state.IsLeaving || r.hasLimitWord && now-r.limitAt < liftedMemory
		if !isKnown || r.changedAt < since {
			continue
		}
		reports = append(reports, Report{
			Process: r.process, HasLimitWord: r.hasLimitWord, IsLimited: r.state.IsLimited, RateLimit: r.state.RateLimit,
			LimitAt: r.limitAt, IsLeaving: r.state.IsLeaving, LeavingAt: r.leavingAt,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Process.Target, b.Process.Target) })
	return reports
}

// Expire forgets targets that have said nothing of themselves for long.
func (t *Table) Expire(now time.Duration) {
	maps.DeleteFunc(t.records, func(_ string, r *record) bool {
		isOld := (!r.hasLimitWord || now-r.limitAt >= memory) && (!r.state.IsLeaving || now-r.leavingAt >= memory)
		return isOld && now >= r.state.PausedUntil
	})
}
