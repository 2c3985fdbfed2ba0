package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// minRetryTime is the minimum remaining time for which another attempt is useful.
const minRetryTime = 20 * time.Millisecond

// onceMaxIdle is the maximum idle time of a reused connection on which a request
// that must not run twice is sent. A connection that was idle for longer may have
// been lost without notice, and a request written to it may or may not have run.
const onceMaxIdle = 3 * time.Second

// errAbandoned ends an attempt because the path to its target is at fault.
var errAbandoned = errors.New("the path to the target is at fault")

// decision is what the result of one attempt means for its request.
type decision struct {
	result targetset.Result
	// response is the target's response when it can be passed on.
	response *targetResponse
	// notRun is true when the request certainly did not run at the target.
	notRun bool
	// lost is true when the attempt got no complete response, and the target may have
	// crashed on it.
	lost   bool
	reason outcome.Reason
	step   outcome.Step
}

// isServed reports whether the attempt's response serves the request.
func (d decision) isServed() bool {
	return d.response != nil && d.result.End == suspicion.ResultServed
}

// run makes attempts until a target serves the request or another attempt is not
// allowed or not useful.
func (q *request) run(ctx context.Context) (*targetResponse, *outcome.Refusal) {
	if remaining, as := q.gateway.options.Crashes.Refused(q.identity); remaining > 0 {
		q.refusedAs = as
		return q.refuseCrashing(remaining)
	}
	if !q.reserveResponse() {
		return q.withoutMemory(ctx)
	}
	if got, refusal, ok := q.forwardToPrimary(ctx); ok {
		return got, refusal
	}
	if q.keysNotCurrent {
		return q.forwardToCurrent(ctx)
	}
	if refusal := q.charge(); refusal != nil {
		return nil, refusal
	}
	for {
		if remaining, as := q.gateway.options.Crashes.Refused(q.identity); remaining > 0 {
			q.refusedAs = as
			return q.refuseCrashing(remaining)
		}
		if !q.reserveResponse() {
			return q.withoutMemory(ctx)
		}
		body := q.body.open()
		if body == nil {
			return q.withoutBody()
		}
		attempt, err := q.gateway.options.Targets.Begin(q.placementRequest())
		if isCutOff(err) {
			return q.forward(ctx)
		}
		if err != nil {
			return q.giveUp(err)
		}
		attempt, d := q.runHedged(ctx, attempt, body)
		if d.isServed() {
			q.keepFailure(nil)
			if d.response.rest == nil {
				q.gateway.options.Crashes.Answered(q.identity)
			}
			return d.response, nil
		}
		q.recordFailedAttempt(attempt, d)
		if ctx.Err() != nil || !q.shouldRetry(d) {
			return q.finish(attempt.ID(), d)
		}
	}
}

// withoutBody returns the response or refusal of a request that no attempt can serve any more: an
// earlier one has got a part of the body that is not held.
func (q *request) withoutBody() (*targetResponse, *outcome.Refusal) {
	return q.afterForward(&outcome.Refusal{Outcome: q.outcome(), Reason: outcome.ReasonForwardFailed, Step: outcome.StepForward, Peer: q.service, RetryAfter: noTargetWait})
}

// isCutOff reports whether an attempt was refused because this VM reaches no target.
func isCutOff(err error) bool {
	var refusal *targetset.Refusal
	return errors.As(err, &refusal) && refusal.Reason == targetset.ReasonCutOff
}

func (q *request) placementRequest() targetset.AttemptRequest {
	remaining := q.remaining()
	useful := remaining
	if q.route.Objective > 0 {
		useful = q.route.Objective - time.Since(q.start)
	}
	return targetset.AttemptRequest{
		Service:      q.service,
		Route:        q.route,
		Priority:     q.priority(),
		Customer:     q.customerName(),
		Bytes:        q.body.size(),
		Remaining:    remaining,
		Useful:       useful,
		Attempted:    q.attempted,
		SentAttempts: q.sentAttempts,
		IsForwarded:  q.isForwarded,
		RetryPaid:    q.retryPaid,
	}
}

// recordFailedAttempt updates the request after an attempt that did not serve it.
func (q *request) recordFailedAttempt(attempt *targetset.Attempt, d decision) {
	q.attempted = append(q.attempted, attempt.ID())
	q.retryPaid = attempt.Trial()
	if d.result.Sent {
		q.sentAttempts++
	}
	if !d.notRun {
		q.mayHaveRun = true
	}
	if d.response != nil {
		q.keepFailure(d.response)
	}
	q.gateway.metrics.failed(d.reason)
	chosen := attempt.Candidate()
	events.AttemptFailed.Log(q.gateway.options.Logger, "request", q.metadata.AttemptID, "target", attempt.ID(),
		"reason", d.reason, "not_run", d.notRun, "fingerprint", q.fingerprint, "caller", q.caller.RemoteAddr, "resource", q.identity.ResourceText(), "query", q.identity.Query, "trial", attempt.Trial(), "service", q.service, "failing", percent(chosen.Failing), "slow", percent(chosen.Slow), "shedding", percent(chosen.Shedding),
		"in_use", chosen.InUse, "slots", chosen.Slots, "after_ms", time.Since(q.start).Milliseconds(), "at_target_ms", attempt.SinceWrite().Milliseconds(), "cause", d.result.Err)
}

// keepFailure replaces the failure response that is passed on when no target serves
// the request, and discards the previous one.
func (q *request) keepFailure(failure *targetResponse) {
	if q.failure != nil {
		q.failure.discard()
	}
	q.failure = failure
}

// percent converts a probability to a percentage for a log line.
func percent(p float64) int { return int(100*p + 0.5) }

// shouldRetry reports whether another attempt is allowed and useful.
func (q *request) shouldRetry(d decision) bool {
	reason := retry.Decide(retry.Failure{
		Attempts:        q.sentAttempts,
		AttemptsAllowed: q.route.MaxAttempts,
		NotRun:          d.notRun,
		Idempotent:      q.route.Kind.Idempotent(),
		TargetCrashed:   d.lost && q.gateway.options.Crashes.Suspected(q.identity),
		Replayable:      q.body.replayable(),
		Remaining:       q.remaining(),
		Expected:        minRetryTime,
		OtherTargets:    1,
	})
	if reason != retry.Allowed {
		q.notRetried = string(reason)
		q.gateway.metrics.notRetried(reason)
		return false
	}
	q.gateway.metrics.retried(d.reason)
	return true
}

// giveUp returns the response or refusal of a request for which no target is
// available.
func (q *request) giveUp(err error) (*targetResponse, *outcome.Refusal) {
	var refusal *targetset.Refusal
	if !errors.As(err, &refusal) {
		return nil, &outcome.Refusal{Outcome: q.outcome(), Reason: outcome.ReasonNoTarget, Step: outcome.StepChoose, Cause: err}
	}
	if q.failure != nil {
		q.notRetried = string(refusal.Reason)
		return q.failure, nil
	}
	return nil, &outcome.Refusal{
		Outcome:    q.outcome(),
		Reason:     outcome.Reason(refusal.Reason),
		Step:       outcome.StepChoose,
		Peer:       q.service,
		RetryAfter: retryAfterFor(refusal),
	}
}

// finish returns the response or refusal of a request after its last attempt.
func (q *request) finish(target string, d decision) (*targetResponse, *outcome.Refusal) {
	if q.failure != nil && q.mayHaveRun {
		return q.failure, nil
	}
	return nil, &outcome.Refusal{
		Outcome:    q.outcome(),
		Reason:     d.reason,
		Step:       d.step,
		Peer:       target,
		RetryAfter: shedWait,
		Cause:      d.result.Err,
	}
}

// logFailure logs why a target's failure response is passed on to the caller.
func (q *request) logFailure() {
	events.FailurePassedOn.Log(q.gateway.options.Logger, "request", q.metadata.AttemptID, "route", q.route.Name, "kind", q.route.Kind,
		"status", q.failure.status, "tried", strings.Join(q.attempted, ","), "not_retried", q.notRetried,
		"after_ms", time.Since(q.start).Milliseconds())
}

func (q *request) outcome() outcome.Outcome {
	if q.mayHaveRun {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

// runAttempt sends the request to one target and evaluates the result. It ends the body with the
// attempt.
func (q *request) runAttempt(ctx context.Context, attempt *targetset.Attempt, body *bodyReader) decision {
	q.moveTo(attempt.ID())
	trip := &contract.RoundTrip{RequestID: q.metadata.AttemptID, HoldHead: q.holdHead()}
	if !q.route.Kind.Idempotent() {
		trip.MaxIdle = onceMaxIdle
	}
	ctx, abandon := context.WithCancelCause(ctx)
	attempt.OnAbandoned(func() { abandon(errAbandoned) }, q.anotherMayFollow(attempt))
	outgoing := q.outgoing(contract.WithRoundTrip(ctx, trip), attempt)
	body.attach(outgoing)
	body.closeAfter(ctx)
	end := func() {
		abandon(nil)
		_ = body.Close() // never fails
	}
	defer q.watchSilence(attempt, trip)()
	response, err := attempt.Send(outgoing)
	var d decision
	if err != nil {
		d = q.evaluateError(ctx, err, trip)
	} else {
		d = q.evaluateResponse(ctx, attempt, response, trip)
		d.result.Sent = true
		d.result.Reuse = d.result.Reuse && body.allSent()
	}
	if d.response != nil && d.response.rest != nil {
		d.response.finish = func(err error) {
			defer end()
			result := d.result
			result.Reuse = result.Reuse && err == nil
			result.End = q.streamResult(result.End, err)
			attempt.Done(result)
			q.streamEnded(attempt, result.End, err)
		}
		return d
	}
	end()
	attempt.Done(d.result)
	if d.lost {
		q.reportLost(attempt, false)
	}
	return d
}

// anotherMayFollow returns a function that reports whether the request can be forwarded to another
// VM if an attempt is given up because this VM reaches no target. Otherwise the caller would get a
// failure for a response that may still arrive. The function may be called from any goroutine while
// the attempt is in progress. The other VM spends its own retry budget, which this VM doesn't know;
// this VM's budget of the service stands in for it.
func (q *request) anotherMayFollow(attempt *targetset.Attempt) func() bool {
	inProgress := 1
	if attempt.IsHedge() {
		inProgress = 2
	}
	isAllowed := !q.isForwarded && q.body.rest == nil && q.sentAttempts+inProgress < q.route.MaxAttempts
	service, deadline, carriers, targets := q.service, q.deadline, q.gateway.options.Carriers, q.gateway.options.Targets
	return func() bool {
		if !isAllowed || time.Until(deadline) < minRetryTime || !targets.MayRetry(service) {
			return false
		}
		_, _, found := carriers.Carrier(service, nil)
		return found
	}
}

// outgoing builds the request to the target.
func (q *request) outgoing(ctx context.Context, attempt *targetset.Attempt) *http.Request {
	out := q.caller.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", attempt.Address()
	out.Host = q.caller.Host
	out.Close = false
	removeHopByHopHeaders(out.Header)
	out.TransferEncoding = nil
	if _, named := out.Header["User-Agent"]; !named {
		out.Header["User-Agent"] = nil
	}
	q.gateway.options.Dialect.WriteAttempt(out.Header, dialect.Attempt{
		Remaining: q.remaining(), TargetID: attempt.ID(), ReplacesCredentials: q.authenticates, Customer: q.customerName(),
	})
	return out
}

// evaluateError returns the decision for an attempt that ended without a response.
func (q *request) evaluateError(ctx context.Context, err error, trip *contract.RoundTrip) decision {
	d := decision{
		result: targetset.Result{End: suspicion.ResultFailed, Err: err, Sent: trip.Written()},
		notRun: !trip.Written(),
		reason: outcome.ReasonTargetReset,
		step:   outcome.StepRead,
	}
	if d.notRun {
		d.reason, d.step = outcome.ReasonTargetRefused, outcome.StepConnect
	}
	var failure *contract.RoundTripError
	if !errors.As(err, &failure) {
		return d
	}
	d.lost = q.endedByTarget(failure, trip)
	switch failure.Kind {
	case contract.AttemptTimedOut:
		d.reason = outcome.ReasonTargetTimeout
		d.result.End = q.evaluateTimeout(trip)
	case contract.AttemptCanceled:
		d.result.End = suspicion.ResultNeutral
		d.reason = outcome.ReasonCallerGone
		if errors.Is(err, errAbandoned) {
			d.reason = outcome.ReasonCutOff
		}
	case contract.AttemptWrong:
		d.reason = outcome.ReasonTargetWrongAnswer
	}
	if q.caller.Context().Err() != nil {
		d.result.End = suspicion.ResultNeutral
	}
	return d
}

// evaluateTimeout returns the evidence of an attempt that timed out. It counts
// against the target only when the request had ample time.
func (q *request) evaluateTimeout(trip *contract.RoundTrip) suspicion.Result {
	if trip.Written() && q.hadAmpleTime() {
		return suspicion.ResultTimedOut
	}
	return suspicion.ResultNeutral
}

// hadAmpleTime reports whether the request's time limit is long enough for a timeout
// to say something about the target.
func (q *request) hadAmpleTime() bool {
	const ampleTime = 250 * time.Millisecond
	return q.deadline.Sub(q.start) >= ampleTime
}
