package gateway

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// CrashTracker finds the requests that crash their targets.
type CrashTracker interface {
	// Refused returns how much longer the request must not run; zero when it may run.
	Refused(fingerprint uint64) time.Duration
	// AttemptLost records an attempt whose target closed the connection while it ran
	// the request.
	AttemptLost(lost crashes.LostAttempt)
	// Answered records that a target sent a complete response, which shows that the
	// request does not crash every target that runs it.
	Answered(fingerprint uint64)
}

// reportLost reports an attempt whose target closed the connection without a
// complete response after the request was written.
func (q *request) reportLost(attempt *targetset.Attempt, d decision) {
	if d.result.Err == nil || !d.result.Sent || d.result.End != suspicion.ResultFailed {
		return
	}
	if errors.Is(d.result.Err, io.EOF) || errors.Is(d.result.Err, io.ErrUnexpectedEOF) || errors.Is(d.result.Err, syscall.ECONNRESET) {
		q.gateway.options.Crashes.AttemptLost(crashes.LostAttempt{Fingerprint: q.print, Target: attempt.Target()})
	}
}
