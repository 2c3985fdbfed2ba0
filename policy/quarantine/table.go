package quarantine

import "time"

// QuarantineTime is how long a quarantined request is refused.
const QuarantineTime = 10 * time.Minute

// FirstFormQuarantineTime is how long a form that leaves parts of the request out is refused
// at first; each further crash doubles it, up to QuarantineTime.
const FirstFormQuarantineTime = 2 * time.Minute

// SuspectTime is how long a suspect is remembered without a second crash.
const SuspectTime = 10 * time.Minute

// PresumedTime is how long a presumed crash counts unless it is confirmed.
const PresumedTime = 10 * time.Second

// SurvivedTime is how long a crash counts that the target survived, unless the end of the
// whole target is found.
const SurvivedTime = 2 * time.Minute

// survivedSpacing is the time between two survived crashes below which they may have one
// cause outside the targets, so that only one counts.
const survivedSpacing = 300 * time.Millisecond

// Weights of crashes. A survived crash counts half, since a network fault ends connections
// of sound targets, too; a request needs four of them, at targets that are not suspected
// of faults and without any answer, to be quarantined.
const (
	crashWeight      = 2
	survivedWeight   = 1
	quarantineWeight = CrashesToQuarantine * crashWeight
)

// AnswerValidity is how long after a complete response the crashes of a request
// don't count.
const AnswerValidity = 5 * time.Second

// answerResolution is the time by which a reported response must be later than the
// known one to replace it. Without it, the delay of each report would make a
// response that VMs report to one another in turn ever later.
const answerResolution = time.Second

// RemoteAttemptTimeout bounds how long another VM's attempt is assumed to run
// when no message about its end arrives.
const RemoteAttemptTimeout = 5 * time.Second

// CrashesToQuarantine is the number of crashes after which a request is
// quarantined; a target that crashes twice counts twice.
const CrashesToQuarantine = 2

// requestsToQuarantineForm is the number of different requests that must have crashed their
// targets for a form that leaves parts out to be quarantined, besides those that a form with
// more parts explains. One of them may be sound and have been in progress on a crashed target.
const requestsToQuarantineForm = 2

// CrashDedupTime is how long further reports about one target count as the same
// crash.
const CrashDedupTime = 500 * time.Millisecond

// Limits bound the table's memory; each form of a request counts.
const (
	MaxSuspects    = 4096
	MaxQuarantines = 1024
)

// Table holds the suspects and quarantines. It is not safe for concurrent use.
// Times are the instance's uptime.
type Table struct {
	entries map[Fingerprint]*entry
	answers *recentAnswers
	// digest is the sum of the entries' digests; expiries holds when entries next change without
	// new evidence. Both are kept up to date because computing the digest for each datagram is
	// too expensive with many suspects.
	digest   uint64
	expiries expiryHeap
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Fingerprint]*entry), answers: newRecentAnswers()}
}

// Len returns the number of suspects and quarantines.
func (t *Table) Len() int { return len(t.entries) }

// lookup returns the entry of a fingerprint unless it has expired.
func (t *Table) lookup(fingerprint Fingerprint, now time.Duration) (*entry, bool) {
	e, ok := t.entries[fingerprint]
	if !ok {
		return nil, false
	}
	changed := now >= e.changesAt
	e.update(now)
	if now >= e.expiresAt() {
		t.remove(e)
		return nil, false
	}
	if changed {
		t.account(e)
	}
	return e, true
}

// RecordCrash records that a target crashed while it ran the request, and returns the forms
// of the request for which that changed anything, the exact one first.
func (t *Table) RecordCrash(request Identity, service string, crash Crash, now time.Duration) []Recorded {
	return t.merge(Evidence{Fingerprint: request.Exact(), Request: request, Crashes: []Crash{crash}}, service, now)
}

// Merge adds what another VM knows of a request and returns the forms of the request for
// which that changed anything.
func (t *Table) Merge(evidence Evidence, now time.Duration) []Recorded {
	return t.merge(evidence, "", now)
}

func (t *Table) merge(evidence Evidence, service string, now time.Duration) []Recorded {
	exact := form{fingerprint: evidence.Fingerprint}
	change := t.mergeResponse(evidence, now)
	recorded := t.addCrashes(nil, exact, service, evidence.Crashes, change, now)
	if !evidence.Request.IsKnown() {
		return recorded
	}
	if e, ok := t.lookup(evidence.Fingerprint, now); ok {
		e.request = evidence.Request
	}
	forms := evidence.Request.forms()
	for _, f := range forms[1:] {
		recorded = t.addCrashes(recorded, f, service, evidence.Crashes, Change{}, now)
	}
	return recorded
}

// mergeResponse adds a reported response or lift.
func (t *Table) mergeResponse(evidence Evidence, now time.Duration) Change {
	change := Change{}
	if evidence.Answered {
		change.Cleared = t.recordAnswer(evidence.Fingerprint, evidence.AnsweredAt, now)
	}
	if evidence.Lifted {
		change.Cleared = t.lift(evidence.Fingerprint, evidence.LiftedAt, now) || change.Cleared
	}
	return change
}

// addCrashes adds crashes to one form of a request and appends what that changed, together
// with an earlier change.
func (t *Table) addCrashes(recorded []Recorded, f form, service string, crashes []Crash, change Change, now time.Duration) []Recorded {
	var latest Crash
	for _, crash := range crashes {
		crash.LeftOut = f.leftOut
		t.addCrash(f.fingerprint, service, crash, now, &change)
		latest = crash
	}
	if change == (Change{}) {
		return recorded
	}
	return append(recorded, Recorded{Fingerprint: f.fingerprint, Crash: latest, Change: change})
}

// addCrash adds one crash unless a response outweighs it.
func (t *Table) addCrash(fingerprint Fingerprint, service string, crash Crash, now time.Duration, change *Change) {
	if now >= crash.expiresAt() {
		return
	}
	answered, ok := t.answers.latest(fingerprint)
	outweighed := ok && crash.At <= answered+AnswerValidity
	e, known := t.lookup(fingerprint, now)
	if !known {
		e = t.add(fingerprint, service)
	}
	if e.isLifted(crash.At) {
		return
	}
	if outweighed {
		e.contestedUntil = now + AnswerValidity
		return
	}
	before := e.quarantinedUntil > 0
	change.Recorded = e.crashes.add(crash) || change.Recorded
	t.changed(e, now)
	if e.quarantinedUntil > 0 && !before {
		change.Quarantined = true
		t.boundQuarantines(e)
	}
}

// AddRemoteSuspect adds a suspect that another VM reported, unless the request is
// already known.
func (t *Table) AddRemoteSuspect(request Identity, service string, crash Crash, now time.Duration) {
	if _, known := t.lookup(request.Exact(), now); !known {
		t.RecordCrash(request, service, crash, now)
	}
}

// AddRemoteQuarantine adds another VM's quarantine with its remaining time and the time
// since the latest crash behind it. It reports false when a recent response outweighs it or
// it was lifted.
func (t *Table) AddRemoteQuarantine(fingerprint Fingerprint, service string, remaining, age, now time.Duration) bool {
	remaining = min(remaining, QuarantineTime)
	since := now - age
	if answered, ok := t.answers.latest(fingerprint); ok && since <= answered+AnswerValidity {
		return false
	}
	e, ok := t.lookup(fingerprint, now)
	if !ok {
		e = t.add(fingerprint, service)
	}
	if e.isLifted(since) {
		return false
	}
	if e.quarantinedUntil == 0 {
		e.reportedSince, e.reportedUntil = since, now+remaining
		t.changed(e, now)
		t.boundQuarantines(e)
	}
	return true
}

// RecordResponse records a complete response to the request. It clears the suspects and
// lifts the quarantines among the request's forms and returns their fingerprints.
func (t *Table) RecordResponse(request Identity, now time.Duration) []Fingerprint {
	var cleared []Fingerprint
	for _, f := range request.forms() {
		if t.recordAnswer(f.fingerprint, now, now) {
			cleared = append(cleared, f.fingerprint)
		}
	}
	return cleared
}

// recordAnswer records a complete response at an uptime.
func (t *Table) recordAnswer(fingerprint Fingerprint, at, now time.Duration) bool {
	if known, ok := t.answers.latest(fingerprint); !ok || at > known+answerResolution {
		t.answers.add(fingerprint, at, now)
	}
	e, ok := t.lookup(fingerprint, now)
	if !ok || !e.isSuspect() {
		return false
	}
	e.crashes.dropUntil(at + AnswerValidity)
	if e.reportedUntil > 0 && e.reportedSince <= at+AnswerValidity {
		e.reportedUntil = 0
	}
	e.contestedUntil = now + AnswerValidity
	t.changed(e, now)
	return !e.isSuspect()
}

// add returns a new entry and, when there are too many suspects, drops one.
func (t *Table) add(fingerprint Fingerprint, service string) *entry {
	if len(t.entries) >= MaxSuspects {
		t.boundSuspects()
	}
	e := &entry{fingerprint: fingerprint, service: service}
	t.entries[fingerprint] = e
	return e
}

// boundSuspects drops the weakest suspect when there are as many as may be.
func (t *Table) boundSuspects() {
	var weakest *entry
	suspects := 0
	for _, e := range t.entries {
		if e.quarantinedUntil > 0 {
			continue
		}
		suspects++
		if weakest == nil || e.weakerThan(weakest) {
			weakest = e
		}
	}
	if suspects >= MaxSuspects {
		t.remove(weakest)
	}
}

// boundQuarantines drops the quarantine that ends first, other than the newest,
// when there are too many.
func (t *Table) boundQuarantines(newest *entry) {
	var first *entry
	quarantines := 0
	for _, e := range t.entries {
		if e.quarantinedUntil == 0 {
			continue
		}
		quarantines++
		if e != newest && (first == nil || e.quarantinedUntil < first.quarantinedUntil) {
			first = e
		}
	}
	if quarantines > MaxQuarantines && first != nil {
		t.remove(first)
	}
}

// Lift ends a quarantine or suspicion and reports whether there was one. Reports of
// earlier crashes that arrive later don't count.
func (t *Table) Lift(fingerprint Fingerprint, now time.Duration) bool {
	return t.lift(fingerprint, now, now)
}

// lift applies a lift at an uptime.
func (t *Table) lift(fingerprint Fingerprint, at, now time.Duration) bool {
	if now >= at+SuspectTime {
		return false
	}
	e, ok := t.lookup(fingerprint, now)
	if !ok {
		e = t.add(fingerprint, "")
	}
	if e.liftKnownUntil > 0 && at <= e.liftedAt+answerResolution {
		return false
	}
	wasSuspect := e.isSuspect()
	e.liftedAt, e.liftKnownUntil = at, at+SuspectTime
	e.crashes.dropUntil(at)
	e.reportedUntil = 0
	t.changed(e, now)
	return wasSuspect && !e.isSuspect()
}
