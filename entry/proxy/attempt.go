package proxy

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// minTimeoutAsEvidence is the shortest time without a response that counts
// against a target when the request's deadline ended the attempt.
const minTimeoutAsEvidence = time.Second

// returnReserveDivisor sets the part of the remaining time, one over the
// divisor, that the target is not given: it is reserved for passing the
// response back to the caller.
const returnReserveDivisor = 20

// attempt is one slot lease on a target, on which the request is sent once, or a
// second time if the first send lost a reused connection.
type attempt struct {
	proxy   *Proxy
	call    *call
	lease   contract.SlotLease
	history *history
	// freshConnection requires a new connection instead of a pooled one.
	freshConnection bool
	roundTrip       *contract.RoundTrip
	body            *timedBody
	result          contract.AttemptResult
	start           time.Time
}

// failure is why an attempt got no complete response.
type failure struct {
	kind  dispatch.Failure
	cause error
	// pause is how long the target, which shed the request, wants nothing from this VM.
	pause time.Duration
}

// finish releases the slot and reports the result of the last round trip.
func (a *attempt) finish() { a.lease.Done(a.result) }

// send sends the request once and returns the buffered response, or nil when
// the response was streamed.
func (a *attempt) send(w *replyWriter) (*dispatch.Response, dispatch.FailureDecision, error) {
	a.history.sends++
	a.start = time.Now()
	a.result = contract.AttemptResult{Kind: contract.AttemptCanceled}
	ctx, cancel := context.WithCancel(a.call.ctx)
	defer cancel()
	buffered, failed := a.exchange(ctx, w)
	a.result.Total = time.Since(a.start)
	a.result.ReusedConnection = a.roundTrip.Reused()
	if failed == nil {
		if a.result.Kind != contract.AttemptWrong { // a failing target may not have run the request
			a.proxy.suspects.recordAnswer(a.call)
		}
		return buffered, dispatch.FailureDecision{}, nil
	}
	decision, err := a.evaluate(failed)
	return nil, decision, err
}

// exchange writes the request and reads the response.
func (a *attempt) exchange(ctx context.Context, w *replyWriter) (*dispatch.Response, *failure) {
	a.prepare()
	correlation := rand.Text()
	request := a.buildRequest(contract.WithRoundTrip(ctx, a.roundTrip), correlation)
	response, err := a.lease.RoundTrip(request)
	if err != nil {
		return nil, a.classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	a.result.FirstByte = time.Since(a.body.lastRead(a.start))
	if !a.proxy.deciders.Failures.Correlates(correlation, response.Header.Values(CorrelationHeader)) {
		return nil, &failure{kind: dispatch.FailureWrong, cause: errors.New("the answer carries another correlation")}
	}
	if failed := checkResponse(response, a.call.service); failed != nil {
		return nil, failed
	}
	a.result.Kind = attemptKindOf(response, a.call.service)
	buffered, err := a.proxy.bufferOrStream(w, response, a.call)
	if err != nil {
		return nil, a.classifyDelivery(err)
	}
	return buffered, nil
}

// prepare sets the round trip's write check and stall limits.
func (a *attempt) prepare() {
	c := a.call
	a.roundTrip = &contract.RoundTrip{NewConnection: a.freshConnection, HoldHead: c.held.holdHead()}
	a.roundTrip.BeforeWrite = func() error {
		return a.proxy.deciders.Writes.CheckWrite(c.key, c.expiresAtUptime, a.proxy.options.Clock.Uptime())
	}
	if c.idempotent && c.upload.replayable() {
		remaining := time.Until(c.deadline)
		a.roundTrip.StallLimit = remaining / 2
		a.roundTrip.ReusedStallLimit = remaining / 3
	}
}

// buildRequest returns the request to the target.
func (a *attempt) buildRequest(ctx context.Context, correlation string) *http.Request {
	incoming := a.call.request
	a.body = &timedBody{ReadCloser: a.call.upload.open()}
	request := &http.Request{
		Method:        incoming.Method,
		URL:           incoming.URL,
		Host:          incoming.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader(incoming),
		ContentLength: incoming.ContentLength,
		Trailer:       incoming.Trailer,
		Body:          a.body.asRequestBody(),
	}
	target := *incoming.URL
	target.Scheme = "http"
	target.Host = a.lease.Target().Address
	request.URL = &target
	if a.call.upload.fullyBuffered && len(incoming.Trailer) == 0 {
		request.ContentLength = int64(len(a.call.upload.prefix))
	}
	remaining := time.Until(a.call.deadline)
	remaining -= remaining / returnReserveDivisor
	request.Header.Set(TimeoutHeader, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	request.Header.Set(CorrelationHeader, correlation)
	return request.WithContext(ctx)
}

// checkResponse returns the failure behind a response that is not final, or by
// which the target sheds the request or announces that it is draining.
func checkResponse(response *http.Response, service *document.Service) *failure {
	if response.StatusCode < 200 {
		return &failure{kind: dispatch.FailureWrong, cause: errors.New("the answer is not final")}
	}
	if matchesSignal(response, service.Shed) {
		return &failure{kind: dispatch.FailureShed, cause: errors.New("the target shed the request"), pause: pauseOf(response)}
	}
	if response.StatusCode == http.StatusServiceUnavailable && hasHeader(response, service.Drain.Header) {
		return &failure{kind: dispatch.FailureDraining, cause: errors.New("the target is leaving")}
	}
	return nil
}

// matchesSignal reports whether a response has the status and the header that
// the service's configuration defines for a signal.
func matchesSignal(response *http.Response, signal document.Signal) bool {
	return response.StatusCode == signal.Status && hasHeader(response, signal.Header)
}

// pauseOf returns the time that the Retry-After header of a response names, in seconds or
// as a date; zero when there is none.
func pauseOf(response *http.Response) time.Duration {
	value := response.Header.Get("Retry-After")
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	if at, err := http.ParseTime(value); err == nil {
		return max(time.Until(at), 0)
	}
	return 0
}

func hasHeader(response *http.Response, name string) bool {
	return name != "" && len(response.Header.Values(name)) > 0
}

// attemptKindOf classifies a response as evidence about the target's health.
func attemptKindOf(response *http.Response, service *document.Service) contract.AttemptKind {
	switch response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return contract.AttemptWrong
	}
	if hasHeader(response, service.Drain.Header) {
		return contract.AttemptDraining
	}
	return contract.AttemptSucceeded
}

// evaluate decides what follows from a failed attempt and records the evidence
// about the target.
func (a *attempt) evaluate(f *failure) (dispatch.FailureDecision, error) {
	c, target := a.call, a.lease.Target().Name
	switch {
	case a.looksCrashed(f):
		f.kind = dispatch.FailureCrash
		a.proxy.suspects.recordCrash(c, target, false)
	case a.fellSilent(f):
		a.proxy.silent.check(c, a.lease.Target())
	}
	if f.kind == dispatch.FailureReset && !a.roundTrip.Reused() {
		a.recordReset(target)
	}
	decision := a.proxy.deciders.Failures.EvaluateFailure(dispatch.FailedAttempt{
		Failure:    f.kind,
		Written:    a.roundTrip.Written(),
		Idempotent: c.idempotent,
		Suspect:    c.suspect,
		Reused:     a.roundTrip.Reused(),
		Replayable: c.upload.replayable(),
		Resets:     len(a.history.resetTargets),
		Sends:      a.history.sends,
		Remaining:  a.proxy.remainingTime(c),
	})
	a.result.Kind, a.result.Pause = a.attemptKind(f.kind, decision), f.pause
	refusal := contract.NewRefusal(decision.Outcome, decision.Reason, decision.Step, target, f.cause)
	var cause *outcome.Refusal
	if errors.As(f.cause, &cause) && decision.Outcome == outcome.NotRun {
		refusal.Reason, refusal.Step = cause.Reason, cause.Step
	}
	if errors.Is(c.upload.readError(), errUploadTooLarge) {
		refusal.Reason, refusal.Step = outcome.ReasonBodyTooLarge, outcome.StepParse
	}
	return decision, refusal
}

// recordReset records that a target reset a new connection; once
// dispatch.MaxResets resets have occurred, each of these targets is recorded as
// crashed by the request.
func (a *attempt) recordReset(target string) {
	a.history.resetTargets = append(a.history.resetTargets, target)
	if len(a.history.resetTargets) < dispatch.MaxResets {
		return
	}
	for _, name := range a.history.resetTargets {
		a.proxy.suspects.recordCrash(a.call, name, false)
	}
}

// attemptKind translates a failure into evidence about the target's health.
func (a *attempt) attemptKind(kind dispatch.Failure, decision dispatch.FailureDecision) contract.AttemptKind {
	if decision.Blameless {
		return contract.AttemptCanceled
	}
	switch kind {
	case dispatch.FailureConnect:
		return contract.AttemptRefused
	case dispatch.FailureReset, dispatch.FailureCrash:
		return contract.AttemptReset
	case dispatch.FailureTruncated:
		return contract.AttemptTruncated
	case dispatch.FailureWrong:
		return contract.AttemptWrong
	case dispatch.FailureShed:
		return contract.AttemptShed
	case dispatch.FailureDraining:
		return contract.AttemptDraining
	case dispatch.FailureStall:
		return contract.AttemptTimedOut
	case dispatch.FailureDeadline:
		if time.Since(a.start) >= minTimeoutAsEvidence {
			return contract.AttemptTimedOut
		}
	}
	return contract.AttemptCanceled
}
