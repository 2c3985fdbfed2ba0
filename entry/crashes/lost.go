package crashes

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/liveness"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// LostAttempt is an attempt that ended, or has been waiting for long, without a
// complete response after the request was written.
type LostAttempt struct {
	Request quarantine.Identity
	// Target is the process that ran the request, as it was published.
	Target roster.Target
	// FromSuspect is true when the target was suspected of a fault before the attempt.
	FromSuspect bool
	// InProgress is true when the attempt has only been waiting for long.
	InProgress bool
	// MuchSent is true when the target held much of other requests right before, which may
	// have ended it instead of the request.
	MuchSent bool
}

// process identifies one process of a target.
type process struct {
	id          string
	incarnation int64
}

func processOf(target roster.Target) process {
	if target.StartedAt.IsZero() {
		return process{id: target.ID}
	}
	return process{id: target.ID, incarnation: target.StartedAt.UnixMilli()}
}

// checkedProcess is the state of a process with lost attempts.
type checkedProcess struct {
	target roster.Target
	// lost holds the latest lost attempt of each request.
	lost     map[quarantine.Identity]lostState
	checking bool
	finding  liveness.Finding
	// startedAt is when the connection attempts that led to the finding began.
	startedAt time.Duration
}

// lostState is a lost attempt of one request at one process.
type lostState struct {
	at time.Duration
	// mayCountSurvived is true until the attempt has counted as a crash that the process
	// survived; false from the beginning for a process that was suspected of a fault, and while
	// the attempt is in progress: a process that lives may still work on it.
	mayCountSurvived bool
	// muchSent is LostAttempt.MuchSent.
	muchSent bool
}
