package quarantine

import "time"

// Refused returns the remaining time of the longest quarantine of a request in any of its
// forms, and that form's fingerprint; zero when it is not quarantined.
func (t *Table) Refused(request Identity, now time.Duration) (remaining time.Duration, as Fingerprint) {
	for _, f := range request.forms() {
		if ofForm, _ := t.Quarantine(f.fingerprint, now); ofForm > remaining {
			remaining, as = ofForm, f.fingerprint
		}
	}
	return remaining, as
}

// Quarantine returns the remaining time of the quarantine of one fingerprint, zero when it is
// not quarantined, and the time since the latest crash behind it.
func (t *Table) Quarantine(fingerprint Fingerprint, now time.Duration) (remaining, age time.Duration) {
	e, ok := t.lookup(fingerprint, now)
	if !ok || e.quarantinedUntil == 0 {
		return 0, 0
	}
	return e.quarantinedUntil - now, now - e.quarantinedSince
}

// Suspected reports whether the end of a target counts against the request in any of its
// forms, quarantined or not; crashes that their targets survived don't suffice.
func (t *Table) Suspected(request Identity, now time.Duration) bool {
	for _, f := range request.forms() {
		if e, ok := t.lookup(f.fingerprint, now); ok && e.isSuspectForEnd() {
			return true
		}
	}
	return false
}

// Admit decides about an attempt of a request that ends by the deadline.
func (t *Table) Admit(request Identity, deadline, now time.Duration) Decision {
	if remaining, _ := t.Refused(request, now); remaining > 0 {
		return Decision{Action: ActionRefuse, RetryAfter: remaining}
	}
	return t.admitForm(request.Exact(), deadline, now)
}

// admitForm decides about an attempt by the evidence of one fingerprint.
func (t *Table) admitForm(fingerprint Fingerprint, deadline, now time.Duration) Decision {
	e, ok := t.lookup(fingerprint, now)
	if !ok || !e.isSuspect() {
		return Decision{Action: ActionRun}
	}
	if e.quarantinedUntil > 0 {
		return Decision{Action: ActionRefuse, RetryAfter: e.quarantinedUntil - now}
	}
	if runningUntil := max(e.localUntil, e.remoteUntil); now < runningUntil {
		return Decision{Action: ActionWait, RetryAfter: runningUntil - now}
	}
	e.localUntil = deadline
	return Decision{Action: ActionRun, Suspect: true}
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
