package quarantine

import (
	"math"
	"slices"
	"time"
)

// entry is what is known of one request.
type entry struct {
	fingerprint Fingerprint
	// request is the identity behind an exact fingerprint; zero when it is not known.
	request Identity
	service string
	crashes crashList
	// quarantinedUntil is the end of the quarantine, zero for a suspect, and
	// quarantinedSince the uptime of the latest crash behind it.
	quarantinedUntil, quarantinedSince time.Duration
	// reportedUntil is the end of a quarantine that another VM reported without its
	// crashes, zero for none, and reportedSince the uptime of the latest crash behind it.
	reportedUntil, reportedSince time.Duration
	// contestedUntil is the time until which a response that outweighs reported
	// crashes is part of the evidence for other VMs; zero for none.
	contestedUntil time.Duration
	// liftedAt is the uptime at which an operator lifted the quarantine; zero for never.
	// It is remembered until liftKnownUntil, since other VMs may still report what was
	// lifted.
	liftedAt, liftKnownUntil time.Duration
	// changesAt is the uptime from which update may change the entry.
	changesAt time.Duration
	// digest is the part of the entry in the table's digest.
	digest uint64
	// dueAt is the earliest expiry that the table holds for the entry; zero for none.
	dueAt time.Duration
	// localUntil and remoteUntil are the times until which an attempt of this VM
	// or of another VM is assumed to run.
	localUntil, remoteUntil time.Duration
}

// isExact reports whether the fingerprint includes all parts of the request.
func (e *entry) isExact() bool { return len(e.crashes) == 0 || e.crashes[0].LeftOut.IsExact() }

// isSuspect reports whether anything counts against the request.
func (e *entry) isSuspect() bool { return len(e.crashes) > 0 || e.quarantinedUntil > 0 }

// isSuspectForEnd reports whether the request is quarantined or the end of a whole target
// counts against it.
func (e *entry) isSuspectForEnd() bool {
	return e.quarantinedUntil > 0 || slices.ContainsFunc(e.crashes, func(c Crash) bool { return !c.Survived })
}

// weakerThan reports whether the request has fewer crashes than another or, with
// equally many, older ones.
func (e *entry) weakerThan(other *entry) bool {
	if len(e.crashes) != len(other.crashes) || len(e.crashes) == 0 {
		return len(e.crashes) < len(other.crashes)
	}
	return e.crashes[0].At < other.crashes[0].At
}

// isLifted reports whether what counts against the request since an uptime was lifted.
func (e *entry) isLifted(since time.Duration) bool {
	return e.liftKnownUntil > 0 && since <= e.liftedAt
}

// expiresAt returns the uptime from which nothing is left of the entry.
func (e *entry) expiresAt() time.Duration {
	end := max(e.quarantinedUntil, e.contestedUntil, e.liftKnownUntil)
	for _, crash := range e.crashes {
		end = max(end, crash.expiresAt())
	}
	return end
}

// update applies what has expired since the last update.
func (e *entry) update(now time.Duration) {
	if now >= e.changesAt {
		e.recompute(now)
	}
}

// recompute removes what has expired and derives the end of the quarantine; it must be called
// after each change of the evidence.
func (e *entry) recompute(now time.Duration) {
	if now >= e.quarantinedUntil {
		e.crashes.dropExpired(now)
	}
	if now >= e.reportedUntil {
		e.reportedUntil = 0
	}
	e.quarantinedUntil, e.quarantinedSince = e.reportedUntil, e.reportedSince
	if end := e.crashes.quarantineEnd(); end > e.quarantinedUntil {
		e.quarantinedUntil, e.quarantinedSince = end, e.crashes[len(e.crashes)-1].At
	}
	if now >= e.quarantinedUntil {
		e.quarantinedUntil = 0
	}
	e.changesAt = e.nextChange()
}

// nextChange returns the uptime at which something of the entry expires. The crashes of a
// quarantined request are kept until the quarantine ends.
func (e *entry) nextChange() time.Duration {
	next := time.Duration(math.MaxInt64)
	if e.reportedUntil > 0 {
		next = min(next, e.reportedUntil)
	}
	if e.quarantinedUntil > 0 {
		return min(next, e.quarantinedUntil)
	}
	for _, crash := range e.crashes {
		next = min(next, crash.expiresAt())
	}
	return next
}

// hash returns a hash of the crashes that count and of the lift, without their times.
func (e *entry) hash() uint64 {
	sum := uint64(0)
	if e.isExact() {
		for _, crash := range e.crashes {
			sum += crash.hash(e.fingerprint)
		}
	}
	if e.liftKnownUntil > 0 {
		sum += liftHash(e.fingerprint)
	}
	return sum
}

// row returns the entry as a row of the list for operators.
func (e *entry) row() Entry {
	row := Entry{Fingerprint: e.fingerprint, Request: e.request, Service: e.service, Quarantined: e.quarantinedUntil > 0, ExpiresAt: e.expiresAt()}
	if row.Quarantined {
		row.ExpiresAt, row.QuarantinedSince = e.quarantinedUntil, e.quarantinedSince
	}
	row.Presumed = len(e.crashes) > 0
	for _, crash := range e.crashes {
		row.Crashes = append(row.Crashes, crash)
		row.Presumed = row.Presumed && (crash.Presumed || crash.Survived)
	}
	return row
}
