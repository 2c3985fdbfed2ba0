package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
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
	errEncoded      = errors.New("the response has a Content-Encoding that was not requested")
)

// targetResponse is a target's response that can be passed on to the caller.
type targetResponse struct {
	status   int
	header   http.Header
	buffered []byte
	// rest follows the buffered part; nil when the complete response is buffered.
	rest   io.ReadCloser
	length int64
	// finish ends the attempt of a streamed response; the error is why it was not
	// passed on completely.
	finish func(err error)
}

// discard ends the attempt of a response that is not passed on.
func (r *targetResponse) discard() {
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
	got, err := readResponse(response)
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

// readResponse reads a response, or the beginning of a long one.
func readResponse(response *http.Response) (*targetResponse, error) {
	got := &targetResponse{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	buffered, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedResponseBytes+1))
	got.buffered = buffered
	if len(buffered) > maxBufferedResponseBytes && err == nil {
		got.rest = response.Body
		return got, nil
	}
	_ = response.Body.Close()
	return got, err
}

// checkResponseHead returns an error when the response belongs to another request,
// has an unrequested Content-Encoding or is unsigned. A response by which the target
// proves that the request did not run needs no signature.
func (q *request) checkResponseHead(response *http.Response, metadata dialect.ResponseMetadata, trip *contract.RoundTrip) error {
	if metadata.AttemptID != q.metadata.AttemptID && (metadata.AttemptID != "" || trip.Reused()) {
		return fmt.Errorf("%w: its request identifier is %q", errOtherRequest, metadata.AttemptID)
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
	d.response, d.notRun, d.reason = nil, true, outcome.ReasonTargetShed
	d.result.End = suspicion.ResultNeutral
	d.result.Misplaced = metadata.WrongTarget
	if metadata.Load == nil || metadata.Load.Running+metadata.Load.Waiting < metadata.Load.Slots {
		d.result.End = suspicion.ResultShed
	}
	d.result.RefusedFull = d.result.End == suspicion.ResultNeutral
	return d
}

// deliver writes a response to the caller. When the response ends early, the
// caller's connection is aborted, so that the caller cannot take it for complete.
func (g *Gateway) deliver(w http.ResponseWriter, q *request, got *targetResponse) {
	header := w.Header()
	for name, values := range got.header {
		header[name] = values
	}
	closeConnection := header.Get("Connection") == "close" && !g.options.Stopping()
	removeHopByHopHeaders(header)
	if closeConnection || g.options.Stopping() {
		header.Set("Connection", "close")
	}
	if got.rest == nil && q.caller.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(got.buffered)))
	} else if got.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(got.length, 10))
	}
	w.WriteHeader(got.status)
	_, err := io.Copy(w, bytes.NewReader(got.buffered))
	if got.rest != nil {
		err = g.stream(w, got, err)
	}
	g.metrics.answered(q.route.Kind, got.status, q.start)
	if err != nil {
		events.ResponseAborted.Log(g.options.Logger, "request", q.metadata.AttemptID, "cause", err)
		panic(http.ErrAbortHandler)
	}
}

// stream copies the rest of a large response to the caller and ends its attempt.
func (g *Gateway) stream(w http.ResponseWriter, got *targetResponse, err error) error {
	if err == nil {
		_, err = io.Copy(w, got.rest)
	}
	_ = got.rest.Close()
	got.finish(err)
	return err
}
