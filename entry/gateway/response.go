package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// maxBufferedResponseBytes is the size up to which a response is buffered until it
// is complete, so that a truncated one is never passed on.
const maxBufferedResponseBytes = 1 << 20

// Faults of a response.
var (
	errOtherRequest = errors.New("the response belongs to another request")
	errUnsigned     = errors.New("the response lacks the target's signature")
	errDiscarded    = errors.New("the response is not passed on")
	errContradicts  = errors.New("the response says that the request was not run, its status that it was")
	errEncoded      = errors.New("the response has a Content-Encoding that was not requested")
)

// targetResponse is a target's response that can be passed on to the caller.
type targetResponse struct {
	status int
	header http.Header
	// held is the response, or its begin.
	held parts
	// rest follows the held part; nil when the complete response is held. needed is how many bytes
	// would have to be reserved to hold all of it, at most maxBufferedResponseBytes.
	rest   io.ReadCloser
	needed int64
	length int64
	// finish ends the attempt of a streamed response; the error is why it was not
	// passed on completely.
	finish func(err error)
}

// discard ends the attempt of a response that is not passed on.
func (r *targetResponse) discard() {
	r.held.release()
	if r.rest != nil {
		_ = r.rest.Close()
		r.finish(errDiscarded)
	}
}

// evaluateResponse reads a response and decides what it means for the request.
func (q *request) evaluateResponse(ctx context.Context, attempt *targetset.Attempt, response *http.Response, trip *contract.RoundTrip) decision {
	metadata := q.gateway.options.Dialect.ReadResponse(response)
	if err := q.checkResponseHead(response, metadata, trip); err != nil {
		return wrongResponse(err)
	}
	attempt.Noticed(metadata.Notice)
	got, err := q.readResponse(response)
	if err != nil {
		return q.truncatedResponse(ctx, err)
	}
	d := decision{result: targetset.Result{End: suspicion.ResultServed, Reuse: !metadata.ClosesConnection, Load: metadata.Load, KeepIdle: metadata.KeepIdle}, response: got, step: outcome.StepRead}
	switch {
	case metadata.NotRun:
		return q.refusedByTarget(d, metadata)
	case response.StatusCode == http.StatusGatewayTimeout:
		d.result.End, d.reason = suspicion.ResultNeutral, outcome.ReasonTargetTimeout
	case response.StatusCode >= http.StatusInternalServerError:
		d.result.End, d.reason = suspicion.ResultFailed, outcome.ReasonTargetWrongAnswer
	}
	return d
}

// readResponse reads a response. Of a long one, or one that the budget has no room for, it
// reads the begin.
func (q *request) readResponse(response *http.Response) (*targetResponse, error) {
	got := &targetResponse{status: response.StatusCode, header: response.Header, length: response.ContentLength, held: parts{hold: q.takeSpare()}}
	expected := response.ContentLength
	if q.caller.Method == http.MethodHead || response.StatusCode == http.StatusNotModified {
		expected = 0 // the stated length is that of another response
	}
	complete, err := got.held.read(response.Body, expected, maxBufferedResponseBytes)
	if err == nil && !complete {
		got.rest = response.Body
		got.needed = min(max(got.length, got.held.held), maxBufferedResponseBytes)
		if got.held.size <= maxBufferedResponseBytes {
			q.gateway.metrics.streamed()
		}
		return got, nil
	}
	_ = response.Body.Close()
	if err != nil {
		got.held.release()
		return nil, err
	}
	q.gateway.memory.observe(q.route.Name, got.held.held)
	return got, nil
}

// checkResponseHead returns an error when the response belongs to another request, contradicts
// itself, has an unrequested Content-Encoding or is unsigned. A response by which the target
// proves that the request did not run needs no signature.
func (q *request) checkResponseHead(response *http.Response, metadata dialect.ResponseMetadata, trip *contract.RoundTrip) error {
	if metadata.AttemptID != q.metadata.AttemptID && (metadata.AttemptID != "" || trip.Reused()) {
		return fmt.Errorf("%w: its request identifier is %q", errOtherRequest, metadata.AttemptID)
	}
	if metadata.NotRun && response.StatusCode < http.StatusBadRequest {
		return errContradicts
	}
	if metadata.NotRun {
		return nil
	}
	if response.Header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	if !metadata.Signed {
		return errUnsigned
	}
	return nil
}

// wrongResponse returns the decision for a response that belongs to another
// request or cannot be trusted.
func wrongResponse(err error) decision {
	return decision{
		result: targetset.Result{End: suspicion.ResultFailed, Err: err},
		lost:   true,
		reason: outcome.ReasonTargetWrongAnswer,
		step:   outcome.StepRead,
	}
}

// truncatedResponse returns the decision for a response that ended early.
func (q *request) truncatedResponse(ctx context.Context, err error) decision {
	d := wrongResponse(err)
	d.reason = outcome.ReasonTargetTruncated
	if ctx.Err() != nil {
		d.result.End, d.reason = suspicion.ResultNeutral, outcome.ReasonTargetTimeout
		d.lost = !callerLeft(ctx)
	}
	return d
}

// refusedByTarget returns the decision for a response by which the target proves
// that it did not run the request. Such a response is not passed on.
func (q *request) refusedByTarget(d decision, metadata dialect.ResponseMetadata) decision {
	d.response.held.release()
	d.response, d.notRun, d.reason = nil, true, outcome.ReasonTargetShed
	d.result.End, d.result.Refused = suspicion.ResultNeutral, true
	d.result.Misplaced = metadata.WrongTarget
	if metadata.Load == nil || metadata.Load.Running+metadata.Load.Waiting < metadata.Load.Slots {
		d.result.End = suspicion.ResultShed
	}
	d.result.RefusedFull = d.result.End == suspicion.ResultNeutral
	return d
}
