package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// silenceTime is how long an attempt waits for its response before its target is
// checked for a crash, while the attempt goes on.
const silenceTime = 1500 * time.Millisecond

// muchSentBytes is how many bytes of other requests a target holds when they are suspected
// first if it ends.
const muchSentBytes = 1 << 20

// CrashTracker finds the requests that crash their targets.
type CrashTracker interface {
	// Refused returns how much longer the request must not run, zero when it may run, and
	// the fingerprint of the form that is quarantined.
	Refused(request quarantine.Identity) (remaining time.Duration, as quarantine.Fingerprint)
	// Suspected reports whether a target is known to have crashed on the request.
	Suspected(request quarantine.Identity) bool
	// AttemptLost records an attempt that has no complete response after its request
	// was written, so that its target may have crashed.
	AttemptLost(lost crashes.LostAttempt)
	// Answered records that a target sent a complete response, which shows that the
	// request does not crash every target that runs it.
	Answered(request quarantine.Identity)
}

// reportLost reports an attempt without a complete response; inProgress is true while it is
// only late.
func (q *request) reportLost(attempt *targetset.Attempt, inProgress bool) {
	muchSent := q.gateway.memory != nil && attempt.OtherBytes() >= muchSentBytes
	if muchSent && !inProgress {
		attempt.HeldTooMuch()
	}
	q.gateway.options.Crashes.AttemptLost(crashes.LostAttempt{
		Request: q.identity, Target: attempt.Target(), FromSuspect: attempt.Candidate().IsSuspect(),
		InProgress: inProgress, MuchSent: muchSent,
	})
}

// watchSilence reports the attempt as lost when it has no response after
// silenceTime. The returned function ends the watch.
func (q *request) watchSilence(attempt *targetset.Attempt, trip *contract.RoundTrip) (stop func() bool) {
	return time.AfterFunc(silenceTime, func() {
		if trip.Written() {
			q.reportLost(attempt, true)
		}
	}).Stop
}

// endedByTarget reports whether the end of an attempt may be the end of its target:
// the request was written, and neither the caller nor this VM ended the attempt.
func (q *request) endedByTarget(failure *contract.RoundTripError, trip *contract.RoundTrip) bool {
	if !trip.Written() {
		return false
	}
	switch failure.Kind {
	case contract.AttemptCanceled:
		return false
	case contract.AttemptTimedOut:
		return q.hadAmpleTime()
	}
	return true
}

// refuseCrashing returns the response or refusal of a request that must not run, or
// not run again, because it crashes its targets.
func (q *request) refuseCrashing(remaining time.Duration) (*targetResponse, *outcome.Refusal) {
	if q.failure != nil {
		q.notRetried = string(outcome.ReasonQuarantined)
		q.logFailure()
		return q.failure, nil
	}
	return nil, &outcome.Refusal{Outcome: q.outcome(), Reason: outcome.ReasonQuarantined, Step: outcome.StepChoose, Peer: q.service, RetryAfter: remaining}
}

// streamResult returns the evidence of a streamed response that ended with an error, or
// without one, given the evidence of its begin. A target that breaks off has failed. A
// response that was not complete in time, or whose caller stopped reading, says nothing. A failure
// that is discarded remains one.
func (q *request) streamResult(begin suspicion.Result, err error) suspicion.Result {
	switch {
	case err == nil:
		return begin
	case errors.Is(err, errDiscarded) && begin == suspicion.ResultFailed:
		return begin
	case q.brokenOff(err):
		return suspicion.ResultFailed
	}
	return suspicion.ResultNeutral
}

// brokenOff reports whether a streamed response ended with an error because its target
// broke it off.
func (q *request) brokenOff(err error) bool {
	var truncated *contract.RoundTripError
	return errors.As(err, &truncated) && truncated.Kind == contract.AttemptTruncated && q.caller.Context().Err() == nil
}

// streamEnded reports how a streamed response ended, given the result of its attempt.
func (q *request) streamEnded(attempt *targetset.Attempt, result suspicion.Result, err error) {
	switch {
	case err == nil && result == suspicion.ResultServed:
		q.gateway.options.Crashes.Answered(q.identity)
	case q.brokenOff(err):
		q.reportLost(attempt, false)
	}
}

// callerLeft reports whether the caller ended the request.
func callerLeft(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }
