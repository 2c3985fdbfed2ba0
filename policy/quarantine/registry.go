package quarantine

import (
	"strconv"
	"time"
)

// Fingerprint identifies a request.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as operators name it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

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
	// Request is the identity behind an exact fingerprint; zero when it is not known.
	Request Identity
	Service string
	// Crashes are the crashes that count, the oldest first.
	Crashes []Crash
	// Quarantined is false for a suspect.
	Quarantined bool
	// Presumed is true when only silence points to each of the crashes.
	Presumed bool
	// ExpiresAt is the uptime at which the row is dropped, on the clock of the
	// times that the caller passes.
	ExpiresAt time.Duration
	// QuarantinedSince is the uptime of the latest crash behind a quarantine.
	QuarantinedSince time.Duration
}

// LeftOut returns the parts of the request that the fingerprint leaves out, by its first
// crash.
func (e Entry) LeftOut() LeftOut {
	if len(e.Crashes) == 0 {
		return LeftOut{}
	}
	return e.Crashes[0].LeftOut
}

// IsExact reports whether the fingerprint includes all parts of the request.
func (e Entry) IsExact() bool { return e.LeftOut().IsExact() }

// Recorded is what a crash changed for one form of its request.
type Recorded struct {
	Fingerprint Fingerprint
	Crash       Crash
	Change      Change
}

// Registry tracks the suspects and quarantines.
type Registry interface {
	// Admit decides about an attempt that ends by the deadline.
	Admit(request Identity, deadline, now time.Duration) Decision
	// Quarantine returns the remaining time of the quarantine of one fingerprint, zero when
	// it is not quarantined, and the time since the latest crash behind it.
	Quarantine(fingerprint Fingerprint, now time.Duration) (remaining, age time.Duration)
	// RecordCrash records that a target crashed while it ran the request, and returns the
	// forms of the request for which that changed anything.
	RecordCrash(request Identity, service string, crash Crash, now time.Duration) []Recorded
	// AddRemoteSuspect adds a suspect that another VM reported, unless the request
	// is already known.
	AddRemoteSuspect(request Identity, service string, crash Crash, now time.Duration)
	// AddRemoteQuarantine adds another VM's quarantine with its remaining time and the time
	// since the latest crash behind it. It reports false when a recent response outweighs it
	// or it was lifted.
	AddRemoteQuarantine(fingerprint Fingerprint, service string, remaining, age, now time.Duration) bool
	// RecordResponse records a complete response and returns the forms of the request that
	// it cleared of suspicion or quarantine.
	RecordResponse(request Identity, now time.Duration) []Fingerprint
	// EndAttempt records the end of a suspect's attempt on this VM.
	EndAttempt(fingerprint Fingerprint)
	// StartRemoteAttempt records that another VM started an attempt of a suspect.
	StartRemoteAttempt(fingerprint Fingerprint, now time.Duration)
	// EndRemoteAttempt records that another VM's attempt of a suspect has ended.
	EndRemoteAttempt(fingerprint Fingerprint)
	// Lift ends a quarantine or suspicion and reports whether there was one. Reports
	// of earlier crashes that arrive later don't count.
	Lift(fingerprint Fingerprint, now time.Duration) bool
	// List returns the suspects and quarantines for operators; a suspect by its exact form
	// only.
	List(now time.Duration) []Entry
	// Known returns all suspects and quarantines.
	Known(now time.Duration) []Entry
	// Len returns the number of suspects and quarantines.
	Len() int
}
