package quarantine

import "time"

// entry is what is known of one request.
type entry struct {
	fingerprint Fingerprint
	service     string
	crashes     crashList
	// quarantinedUntil is the end of the quarantine; zero for a suspect.
	quarantinedUntil time.Duration
	// reportedUntil is the end of a quarantine that another VM reported without its
	// crashes; zero for none.
	reportedUntil time.Duration
	// contestedUntil is the time until which a response that outweighs reported
	// crashes is part of the evidence for other VMs; zero for none.
	contestedUntil time.Duration
	// liftedAt is the uptime at which an operator lifted the quarantine; zero for never.
	// It is remembered until liftKnownUntil, since other VMs may still report what was
	// lifted.
	liftedAt, liftKnownUntil time.Duration
	// localUntil and remoteUntil are the times until which an attempt of this VM
	// or of another VM is assumed to run.
	localUntil, remoteUntil time.Duration
}

// isSuspect reports whether anything counts against the request.
func (e *entry) isSuspect() bool { return len(e.crashes) > 0 || e.quarantinedUntil > 0 }

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

// update removes what has expired and derives the end of the quarantine.
func (e *entry) update(now time.Duration) {
	if now >= e.quarantinedUntil {
		e.crashes.dropExpired(now)
	}
	if now >= e.reportedUntil {
		e.reportedUntil = 0
	}
	e.quarantinedUntil = max(e.reportedUntil, e.crashes.quarantineEnd())
	if now >= e.quarantinedUntil {
		e.quarantinedUntil = 0
	}
}

// row returns the entry as a row of the list for operators.
func (e *entry) row() Entry {
	row := Entry{Fingerprint: e.fingerprint, Service: e.service, Quarantined: e.quarantinedUntil > 0, ExpiresAt: e.expiresAt()}
	if row.Quarantined {
		row.ExpiresAt = e.quarantinedUntil
	}
	row.Presumed = len(e.crashes) > 0
	for _, crash := range e.crashes {
		row.Targets = append(row.Targets, crash.Target)
		row.Presumed = row.Presumed && (crash.Presumed || crash.Survived)
	}
	return row
}
