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

// leastRetryTime is the time without which another attempt is of no use.
const leastRetryTime = 20 * time.Millisecond

// onceMaxIdle is the idle time up to which a request that must not run twice
// goes over a used connection. One that was idle for longer may be gone without
// a word, and what is written to it may or may not have run.
const onceMaxIdle = 3 * time.Second

// verdict is what one attempt's end means for its request.
type verdict struct {
	result targetset.Result
	// answer is the target's answer when it can be passed on.
	answer *answer
	// notRun is true when the request surely did not run there.
	notRun bool
	reason outcome.Reason
	step   outcome.Step
}

// run makes attempts until there is an answer or no use in another.
func (q *request) run(ctx context.Context) (*answer, *outcome.Refusal) {
	for {
		attempt, err := q.gateway.options.Targets.Begin(q.ask())
		if err != nil {
			return q.giveUp(err)
		}
		v := q.attempt(ctx, attempt)
		if v.answer != nil && v.result.End == suspicion.EndServed {
			q.keepFailure(nil)
			q.gateway.options.Crashes.ReportResponse(q.print)
			return v.answer, nil
		}
		q.note(attempt, v)
		if ctx.Err() != nil || !q.again(v) {
			return q.end(attempt.ID(), v)
		}
	}
}

func (q *request) ask() targetset.Ask {
	remaining := q.remaining()
	useful := remaining
	if q.route.Objective > 0 {
		useful = q.route.Objective - time.Since(q.began)
	}
	return targetset.Ask{
		Service:   q.service,
		Route:     q.route,
		Bytes:     q.body.size(),
		Remaining: remaining,
		Useful:    useful,
		Tried:     q.tried,
		Sent:      q.sent,
		Paid:      q.paid,
	}
}

// note keeps what an attempt that did not serve the request has shown.
func (q *request) note(attempt *targetset.Attempt, v verdict) {
	q.tried = append(q.tried, attempt.ID())
	q.paid = attempt.Trial()
	if v.result.Sent {
		q.sent++
	}
	if !v.notRun {
		q.mayHaveRun = true
	}
	if v.answer != nil {
		q.keepFailure(v.answer)
	}
	q.gateway.metrics.failed(v.reason)
	knew := attempt.Chosen()
	events.AttemptFailed.Log(q.gateway.options.Logger, "request", q.told.AttemptID, "target", attempt.ID(),
		"reason", v.reason, "not_run", v.notRun, "trial", attempt.Trial(), "service", q.service, "failing", percent(knew.Failing), "slow", percent(knew.Slow), "shedding", percent(knew.Shedding),
		"in_use", knew.InUse, "slots", knew.Slots, "after_ms", time.Since(q.began).Milliseconds(), "cause", v.result.Err)
}

// keepFailure replaces the failure that is passed on when nothing serves the
// request; the one before it is ended.
func (q *request) keepFailure(failure *answer) {
	if q.failure != nil {
		q.failure.discard()
	}
	q.failure = failure
}

// percent renders a probability for a log line.
func percent(p float64) int { return int(100*p + 0.5) }

// again reports whether another attempt is allowed and of use.
func (q *request) again(v verdict) bool {
	decision := retry.Decide(retry.Failure{
		Attempts:        q.sent,
		AttemptsAllowed: q.route.MaxAttempts,
		NotRun:          v.notRun,
		Idempotent:      q.route.Kind.Repeatable(),
		Replayable:      q.body.replayable(),
		Remaining:       q.remaining(),
		Expected:        leastRetryTime,
		OtherTargets:    1,
	})
	if decision != retry.Allowed {
		q.notRetried = string(decision)
		q.gateway.metrics.notRetried(decision)
		return false
	}
	q.gateway.metrics.retried(v.reason)
	return true
}

// giveUp ends a request for which there is no target.
func (q *request) giveUp(err error) (*answer, *outcome.Refusal) {
	var refusal *targetset.Refusal
	if !errors.As(err, &refusal) {
		return nil, &outcome.Refusal{Outcome: q.outcome(), Reason: outcome.ReasonNoTarget, Step: outcome.StepChoose, Cause: err}
	}
	if q.failure != nil {
		q.notRetried = string(refusal.Reason)
		q.logFailure()
		return q.failure, nil
	}
	return nil, &outcome.Refusal{
		Outcome:    q.outcome(),
		Reason:     outcome.Reason(refusal.Reason),
		Step:       outcome.StepChoose,
		Peer:       q.service,
		RetryAfter: returnTime(refusal),
	}
}

// end ends a request after its last attempt.
func (q *request) end(target string, v verdict) (*answer, *outcome.Refusal) {
	if q.failure != nil && q.mayHaveRun {
		q.logFailure()
		return q.failure, nil
	}
	return nil, &outcome.Refusal{
		Outcome:    q.outcome(),
		Reason:     v.reason,
		Step:       v.step,
		Peer:       target,
		RetryAfter: shedWait,
		Cause:      v.result.Err,
	}
}

// logFailure tells why a target's failure is the request's answer.
func (q *request) logFailure() {
	events.FailurePassedOn.Log(q.gateway.options.Logger, "request", q.told.AttemptID, "route", q.route.Name, "kind", q.route.Kind,
		"status", q.failure.status, "tried", strings.Join(q.tried, ","), "not_retried", q.notRetried,
		"after_ms", time.Since(q.began).Milliseconds())
}

func (q *request) outcome() outcome.Outcome {
	if q.mayHaveRun {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

// attempt sends the request to one target and judges the end.
func (q *request) attempt(ctx context.Context, attempt *targetset.Attempt) verdict {
	trip := &contract.RoundTrip{}
	if !q.route.Kind.Repeatable() {
		trip.MaxIdle = onceMaxIdle
	}
	outgoing := q.outgoing(contract.WithRoundTrip(ctx, trip), attempt)
	allSent := q.body.attach(outgoing)
	response, err := attempt.Send(outgoing)
	var v verdict
	if err != nil {
		v = q.judgeError(ctx, err, trip)
	} else {
		v = q.judgeAnswer(ctx, response, trip)
		v.result.Sent = true
		v.result.Reuse = v.result.Reuse && allSent()
	}
	if v.answer != nil && v.answer.rest != nil {
		v.answer.finish = func(whole bool) {
			result := v.result
			result.Reuse = result.Reuse && whole
			attempt.Done(result)
		}
		return v
	}
	attempt.Done(v.result)
	q.reportCrash(attempt.ID(), v)
	return v
}

// outgoing builds the request to the target.
func (q *request) outgoing(ctx context.Context, attempt *targetset.Attempt) *http.Request {
	out := q.caller.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", attempt.Address()
	out.Host = q.caller.Host
	out.Close = false
	removeConnectionHeaders(out.Header)
	out.TransferEncoding = nil
	if _, named := out.Header["User-Agent"]; !named {
		out.Header["User-Agent"] = nil
	}
	q.gateway.options.Dialect.WriteAttempt(out.Header, dialect.Attempt{Remaining: q.remaining(), TargetID: attempt.ID()})
	return out
}

// judgeError names the end of an attempt without an answer.
func (q *request) judgeError(ctx context.Context, err error, trip *contract.RoundTrip) verdict {
	v := verdict{
		result: targetset.Result{End: suspicion.EndFailed, Err: err, Sent: trip.Written()},
		notRun: !trip.Written(),
		reason: outcome.ReasonTargetReset,
		step:   outcome.StepRead,
	}
	if v.notRun {
		v.reason, v.step = outcome.ReasonTargetRefused, outcome.StepConnect
	}
	var failure *contract.RoundTripError
	if !errors.As(err, &failure) {
		return v
	}
	switch failure.Kind {
	case contract.AttemptTimedOut:
		v.reason = outcome.ReasonTargetTimeout
		v.result.End = q.silence(trip)
	case contract.AttemptCanceled:
		v.result.End = suspicion.EndNeutral
		v.reason = outcome.ReasonCallerGone
	case contract.AttemptWrong:
		v.reason = outcome.ReasonTargetWrongAnswer
	}
	if q.caller.Context().Err() != nil {
		v.result.End = suspicion.EndNeutral
	}
	return v
}

// silence judges an attempt that got no answer in its time: with ample time
// the target is to blame.
func (q *request) silence(trip *contract.RoundTrip) suspicion.End {
	const ample = 250 * time.Millisecond
	if trip.Written() && q.due.Sub(q.began) >= ample {
		return suspicion.EndSilent
	}
	return suspicion.EndNeutral
}
