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

// minTimeoutEvidence is the least time without an answer that counts against a
// target when the deadline was the caller's own.
const minTimeoutEvidence = time.Second

// timeoutShare is the part of the deadline that a target reached by the caller
// gets for its answer: part 1/timeoutShare is kept for the way back.
const timeoutShare = 20

// attempt is one grant used for one attempt, or for two when a reused
// connection was lost.
type attempt struct {
	proxy   *Proxy
	call    *call
	grant   contract.Grant
	history *history
	// fresh asks for a new connection.
	fresh  bool
	trip   *contract.RoundTrip
	body   *timedBody
	result contract.AttemptResult
	start  time.Time
}

// failure is an attempt's end without a whole answer.
type failure struct {
	kind  dispatch.Failure
	cause error
}

// finish returns the slot with the evidence of the last round trip.
func (a *attempt) finish() { a.grant.Done(a.result) }

// do sends the request once and returns the answer, or nil when it was streamed.
func (a *attempt) do(w *replyWriter) (*dispatch.Response, dispatch.FailureDecision, error) {
	a.history.attempts++
	a.start = time.Now()
	a.result = contract.AttemptResult{Kind: contract.AttemptCanceled}
	ctx, cancel := context.WithCancel(a.call.ctx)
	defer cancel()
	answer, failed := a.exchange(ctx, w)
	a.result.Total = time.Since(a.start)
	a.result.ReusedConnection = a.trip.Reused()
	if failed == nil {
		a.succeeded()
		return answer, dispatch.FailureDecision{}, nil
	}
	verdict, err := a.judge(failed)
	return nil, verdict, err
}

// exchange writes the request and reads the answer.
func (a *attempt) exchange(ctx context.Context, w *replyWriter) (*dispatch.Response, *failure) {
	a.prepare()
	correlation := rand.Text()
	request := a.outgoing(contract.WithRoundTrip(ctx, a.trip), correlation)
	response, err := a.grant.RoundTrip(request)
	if err != nil {
		return nil, a.classify(err)
	}
	defer func() { _ = response.Body.Close() }()
	a.result.FirstByte = time.Since(a.body.lastRead(a.start))
	if !a.proxy.deciders.Failures.Correlates(correlation, response.Header.Values(CorrelationHeader)) {
		return nil, &failure{kind: dispatch.FailureWrong, cause: errors.New("the answer carries another correlation")}
	}
	if failed := checkAnswer(response, a.call.service); failed != nil {
		return nil, failed
	}
	a.result.Kind = kindOfAnswer(response, a.call.service)
	answer, err := a.proxy.hold(w, response, a.call.request.Method)
	if err != nil {
		return nil, a.classifyDelivery(err)
	}
	return answer, nil
}

// prepare builds what the round trip is to observe.
func (a *attempt) prepare() {
	c := a.call
	a.trip = &contract.RoundTrip{Fresh: a.fresh}
	a.trip.BeforeWrite = func() error {
		return a.proxy.deciders.Writes.CheckWrite(c.key, c.expires, a.proxy.options.Clock.Uptime())
	}
	if c.idempotent && c.upload.replayable() {
		remaining := time.Until(c.deadline)
		a.trip.StallLimit = remaining / 2
		a.trip.ReusedStallLimit = remaining / 3
	}
}

// outgoing builds the request to the target.
func (a *attempt) outgoing(ctx context.Context, correlation string) *http.Request {
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
		Body:          a.body.forRequest(),
	}
	target := *incoming.URL
	target.Scheme = "http"
	target.Host = a.grant.Target().Address
	request.URL = &target
	if a.call.upload.whole && len(incoming.Trailer) == 0 {
		request.ContentLength = int64(len(a.call.upload.prefix))
	}
	left := time.Until(a.call.deadline)
	left -= left / timeoutShare
	request.Header.Set(TimeoutHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(CorrelationHeader, correlation)
	return request.WithContext(ctx)
}

// checkAnswer tells a usable answer from a wrong one and from a refusal.
func checkAnswer(response *http.Response, service *document.Service) *failure {
	if response.StatusCode < 200 {
		return &failure{kind: dispatch.FailureWrong, cause: errors.New("the answer is not final")}
	}
	if signals(response, service.Shed) {
		return &failure{kind: dispatch.FailureShed, cause: errors.New("the target shed the request")}
	}
	if response.StatusCode == http.StatusServiceUnavailable && has(response, service.Drain.Header) {
		return &failure{kind: dispatch.FailureDraining, cause: errors.New("the target is leaving")}
	}
	return nil
}

// signals reports whether an answer carries an agreed signal.
func signals(response *http.Response, signal document.Signal) bool {
	return response.StatusCode == signal.Status && has(response, signal.Header)
}

func has(response *http.Response, name string) bool {
	return name != "" && len(response.Header.Values(name)) > 0
}

// kindOfAnswer classifies an answer as evidence about the target.
func kindOfAnswer(response *http.Response, service *document.Service) contract.AttemptKind {
	switch response.StatusCode {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return contract.AttemptWrong
	}
	if has(response, service.Drain.Header) {
		return contract.AttemptDraining
	}
	return contract.AttemptSucceeded
}

// succeeded clears the request's fingerprint.
func (a *attempt) succeeded() { a.proxy.suspects.answered(a.call) }

// judge asks the rules what a failed attempt means and records the evidence.
func (a *attempt) judge(failed *failure) (dispatch.FailureDecision, error) {
	c, peer := a.call, a.grant.Target().Name
	if a.looksCrashed(failed) {
		failed.kind = dispatch.FailureCrash
		a.proxy.suspects.crashed(c, peer)
	}
	if failed.kind == dispatch.FailureReset && !a.trip.Reused() {
		a.noteReset(peer)
	}
	verdict := a.proxy.deciders.Failures.EvaluateFailure(dispatch.FailedAttempt{
		Failure:    failed.kind,
		Written:    a.trip.Written(),
		Idempotent: c.idempotent,
		Suspect:    c.suspect,
		Reused:     a.trip.Reused(),
		Replayable: c.upload.replayable(),
		Resets:     len(a.history.resets),
		Attempts:   a.history.attempts,
		Remaining:  a.proxy.remaining(c),
	})
	a.result.Kind = a.evidence(failed.kind, verdict)
	refusal := contract.Refuse(verdict.Outcome, verdict.Reason, verdict.Step, peer, failed.cause)
	var late *outcome.Refusal
	if errors.As(failed.cause, &late) && verdict.Outcome == outcome.NotRun {
		refusal.Reason, refusal.Step = late.Reason, late.Step
	}
	return verdict, refusal
}

// noteReset remembers a reset; the second one marks both targets as crashed.
func (a *attempt) noteReset(peer string) {
	a.history.resets = append(a.history.resets, peer)
	if len(a.history.resets) < dispatch.MaxResets {
		return
	}
	for _, target := range a.history.resets {
		a.proxy.suspects.crashed(a.call, target)
	}
}

// evidence translates a failure into what it says about the target.
func (a *attempt) evidence(kind dispatch.Failure, verdict dispatch.FailureDecision) contract.AttemptKind {
	if verdict.Blameless {
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
		if time.Since(a.start) >= minTimeoutEvidence {
			return contract.AttemptTimedOut
		}
	}
	return contract.AttemptCanceled
}
