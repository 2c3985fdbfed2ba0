package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// QuarantineTime is how long a quarantined request is refused.
const QuarantineTime = 10 * time.Minute

// SuspectTime is how long a suspect is remembered without a second crash.
const SuspectTime = 10 * time.Minute

// RemoteAttemptTimeout bounds how long another VM's attempt is assumed to run
// when no message about its end arrives.
const RemoteAttemptTimeout = 5 * time.Second

// CrashesToQuarantine is the number of crashes after which a request is
// quarantined; a target that crashes twice counts twice.
const CrashesToQuarantine = 2

// CrashDedupTime is how long further reports about one target count as the same
// crash.
const CrashDedupTime = 500 * time.Millisecond

// Limits bound the table's memory.
const (
	MaxSuspects    = 4096
	MaxQuarantines = 1024
)

// Fingerprint identifies a request.
type Fingerprint uint64

// Action is what to do with a request.
type Action int

// The actions.
const (
	// ActionRun allows the attempt.
	ActionRun Action = iota
	// ActionWait means to wait, because another attempt of the suspect is running.
	ActionWait
	// ActionRefuse means that the request is quarantined.
	ActionRefuse
)

// Decision is what a Registry decides about a request.
type Decision struct {
	Action Action
	// Suspect is true when the end of the attempt must be reported with EndAttempt.
	Suspect bool
	// RetryAfter is the remaining time of the quarantine for ActionRefuse, and the
	// maximum useful wait for ActionWait.
	RetryAfter time.Duration
}

// Entry is one row of the list for operators.
type Entry struct {
	Fingerprint Fingerprint
	Service     string
	// Targets are the crashed targets, one for each crash.
	Targets []string
	// Quarantined is false for a suspect.
	Quarantined bool
	// ExpiresAt is the uptime at which the row is dropped, on the clock of the
	// times that the caller passes.
	ExpiresAt time.Duration
}

type entry struct {
	Entry
	// localUntil and remoteUntil are the times until which an attempt of this VM
	// or of another VM is assumed to run.
	localUntil, remoteUntil time.Duration
	// crashTimes holds the time of each crash in Targets.
	crashTimes []time.Duration
}

// hasCountedCrash reports whether a crash of the target was counted less than
// CrashDedupTime ago.
func (e *entry) hasCountedCrash(target string, now time.Duration) bool {
	for i, crashed := range e.Targets {
		if crashed == target && now < e.crashTimes[i]+CrashDedupTime {
			return true
		}
	}
	return false
}

// Registry tracks the suspects and quarantines.
type Registry interface {
	// Admit decides about an attempt that ends by the deadline.
	Admit(fingerprint Fingerprint, deadline, now time.Duration) Decision
	// RecordCrash records that a target crashed while it ran the request, and
	// reports whether that quarantined it.
	RecordCrash(fingerprint Fingerprint, service, target string, now time.Duration) bool
	// AddRemoteSuspect adds a suspect that another VM reported, unless the request
	// is already known.
	AddRemoteSuspect(fingerprint Fingerprint, service, target string, now time.Duration)
	// AddRemoteQuarantine adds another VM's quarantine with its remaining time.
	AddRemoteQuarantine(fingerprint Fingerprint, service string, remaining, now time.Duration)
	// RecordResponse records a complete response and reports whether it cleared a
	// suspect.
	RecordResponse(fingerprint Fingerprint) bool
	// EndAttempt records the end of a suspect's attempt on this VM.
	EndAttempt(fingerprint Fingerprint)
	// StartRemoteAttempt records that another VM started an attempt of a suspect.
	StartRemoteAttempt(fingerprint Fingerprint, now time.Duration)
	// EndRemoteAttempt records that another VM's attempt of a suspect has ended.
	EndRemoteAttempt(fingerprint Fingerprint)
	// Lift ends a quarantine or suspicion and reports whether there was one.
	Lift(fingerprint Fingerprint) bool
	// List returns the suspects and quarantines.
	List(now time.Duration) []Entry
	// Len returns the number of suspects and quarantines.
	Len() int
}

// Table holds the suspects and quarantines. It is not safe for concurrent use.
type Table struct {
	entries     map[Fingerprint]*entry
	quarantines int
	// crashThreshold is the number of crashes that quarantines a request.
	crashThreshold int
}

// NewTable returns an empty table with the threshold CrashesToQuarantine.
func NewTable() *Table { return NewTableWithThreshold(CrashesToQuarantine) }

// NewTableWithThreshold returns an empty table that quarantines a request after
// the given number of crashes.
func NewTableWithThreshold(crashes int) *Table {
	return &Table{entries: make(map[Fingerprint]*entry), crashThreshold: crashes}
}

// Len returns the number of suspects and quarantines.
func (t *Table) Len() int { return len(t.entries) }

// Admit decides about an attempt of a request that ends by the deadline. Times
// are the instance's uptime.
func (t *Table) Admit(fingerprint Fingerprint, deadline, now time.Duration) Decision {
	e, ok := t.lookup(fingerprint, now)
	if !ok {
		return Decision{Action: ActionRun}
	}
	if e.Quarantined {
		return Decision{Action: ActionRefuse, RetryAfter: e.ExpiresAt - now}
	}
	if runningUntil := max(e.localUntil, e.remoteUntil); now < runningUntil {
		return Decision{Action: ActionWait, RetryAfter: runningUntil - now}
	}
	e.localUntil = deadline
	return Decision{Action: ActionRun, Suspect: true}
}

// lookup returns the entry of a fingerprint unless it has expired.
func (t *Table) lookup(fingerprint Fingerprint, now time.Duration) (*entry, bool) {
	e, ok := t.entries[fingerprint]
	if ok && now >= e.ExpiresAt {
		t.remove(e)
		return nil, false
	}
	return e, ok
}

// RecordCrash records that a target crashed while it ran the request, and reports
// whether that quarantined it.
func (t *Table) RecordCrash(fingerprint Fingerprint, service, target string, now time.Duration) bool {
	e, ok := t.lookup(fingerprint, now)
	if !ok {
		e = t.add(fingerprint, service, now)
	}
	if e.hasCountedCrash(target, now) {
		return false
	}
	if len(e.Targets) < t.crashThreshold {
		e.Targets = append(e.Targets, target)
		e.crashTimes = append(e.crashTimes, now)
	}
	if len(e.Targets) < t.crashThreshold || e.Quarantined {
		return false
	}
	t.quarantine(e, now+QuarantineTime)
	return true
}

// AddRemoteSuspect adds a suspect that another VM reported, unless the request is
// already known.
func (t *Table) AddRemoteSuspect(fingerprint Fingerprint, service, target string, now time.Duration) {
	if _, known := t.lookup(fingerprint, now); !known {
		t.RecordCrash(fingerprint, service, target, now)
	}
}

// AddRemoteQuarantine adds another VM's quarantine with its remaining time.
func (t *Table) AddRemoteQuarantine(fingerprint Fingerprint, service string, remaining, now time.Duration) {
	e, ok := t.lookup(fingerprint, now)
	if !ok {
		e = t.add(fingerprint, service, now)
	}
	if !e.Quarantined {
		t.quarantine(e, now+min(remaining, QuarantineTime))
	}
}

func (t *Table) add(fingerprint Fingerprint, service string, now time.Duration) *entry {
	if len(t.entries)-t.quarantines >= MaxSuspects {
		t.dropFirst(false)
	}
	e := &entry{Entry: Entry{Fingerprint: fingerprint, Service: service, ExpiresAt: now + SuspectTime}}
	t.entries[fingerprint] = e
	return e
}

func (t *Table) quarantine(e *entry, expiresAt time.Duration) {
	if t.quarantines >= MaxQuarantines {
		t.dropFirst(true)
	}
	e.Quarantined = true
	e.ExpiresAt = expiresAt
	t.quarantines++
}

// dropFirst removes the suspect or the quarantine that expires first.
func (t *Table) dropFirst(quarantined bool) {
	var first *entry
	for _, e := range t.entries {
		if e.Quarantined == quarantined && (first == nil || e.ExpiresAt < first.ExpiresAt) {
			first = e
		}
	}
	if first != nil {
		t.remove(first)
	}
}

func (t *Table) remove(e *entry) {
	if e.Quarantined {
		t.quarantines--
	}
	delete(t.entries, e.Fingerprint)
}

// RecordResponse records a complete response to the request. It clears a suspect
// and reports whether there was one. A quarantine stays until it expires or is
// lifted.
func (t *Table) RecordResponse(fingerprint Fingerprint) bool {
	e, ok := t.entries[fingerprint]
	if !ok || e.Quarantined {
		return false
	}
	t.remove(e)
	return true
}

// EndAttempt records the end of a suspect's attempt on this VM.
func (t *Table) EndAttempt(fingerprint Fingerprint) {
	if e, ok := t.entries[fingerprint]; ok {
		e.localUntil = 0
	}
}

// StartRemoteAttempt records that another VM started an attempt of a suspect.
func (t *Table) StartRemoteAttempt(fingerprint Fingerprint, now time.Duration) {
	if e, ok := t.lookup(fingerprint, now); ok {
		e.remoteUntil = now + RemoteAttemptTimeout
	}
}

// EndRemoteAttempt records that another VM's attempt of a suspect has ended.
func (t *Table) EndRemoteAttempt(fingerprint Fingerprint) {
	if e, ok := t.entries[fingerprint]; ok {
		e.remoteUntil = 0
	}
}

// Lift ends a quarantine or suspicion and reports whether there was one.
func (t *Table) Lift(fingerprint Fingerprint) bool {
	e, ok := t.entries[fingerprint]
	if ok {
		t.remove(e)
	}
	return ok
}

// List returns the suspects and quarantines, sorted by fingerprint.
func (t *Table) List(now time.Duration) []Entry {
	rows := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		if now >= e.ExpiresAt {
			continue
		}
		row := e.Entry
		row.Targets = slices.Clone(e.Targets)
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return rows
}
