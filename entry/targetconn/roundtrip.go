package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// Exchange is one request sent over one connection, and its response.
type Exchange struct {
	pool   *Pool
	target string
	conn   *connection
	cancel context.CancelCauseFunc
	ctx    context.Context
	body   *responseBody
	// requestID is that of the round trip.
	requestID string
}

// Send writes the request to a connection of the pool and reads the head of the
// response. It sends the request at most once.
func Send(p *Pool, target string, request *http.Request) (*Exchange, *http.Response, error) {
	trip := contract.RoundTripFrom(request.Context())
	conn, err := p.take(request.Context(), trip)
	if err != nil {
		closeBody(request)
		return nil, nil, connectError(request.Context(), target, err)
	}
	limit := trip.StallLimit
	if conn.usedBefore {
		trip.MarkReused()
		limit = trip.ReusedStallLimit
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	x := &Exchange{pool: p, target: target, conn: conn, cancel: cancel, ctx: ctx, requestID: trip.RequestID}
	conn.watch.startAttempt(trip, limit, cancel)
	outgoing := request.WithContext(ctx)
	outgoing.GetBody = nil
	response, err := conn.client.RoundTrip(outgoing)
	if err != nil {
		failure := x.classify(err, false)
		x.Finish(false)
		return nil, nil, failure
	}
	if err := checkHead(response, trip, conn.watch); err != nil {
		_ = response.Body.Close() // after a switch of protocols it is the connection
		x.Finish(false)
		return nil, nil, &contract.RoundTripError{Kind: contract.AttemptWrong, Target: target, Cause: err}
	}
	x.body = &responseBody{ReadCloser: response.Body, exchange: x, complete: response.Body == http.NoBody}
	response.Body = x.body
	return x, response, nil
}

// MarkRefused records that the response says that the request was not run. It must be called
// before Finish.
func (x *Exchange) MarkRefused() {
	x.conn.refused = append(x.conn.refused, x.pool.hashOf(x.requestID))
}

// Finish ends the exchange. The connection is kept only when the response was
// read to its end and trusted is true.
func (x *Exchange) Finish(trusted bool) {
	complete := x.body != nil && x.body.complete
	if !complete {
		x.cancel(context.Canceled)
	}
	x.conn.watch.endAttempt()
	x.pool.put(x.conn, trusted && complete)
	x.cancel(nil)
}

// classify returns the attempt error for err. headRead is true when the head of
// the response had been read.
func (x *Exchange) classify(err error, headRead bool) *contract.RoundTripError {
	failure := &contract.RoundTripError{Kind: contract.AttemptReset, Target: x.target, Cause: err}
	cause := context.Cause(x.ctx)
	switch {
	case x.conn.watch.writeRefusal() != nil:
		failure.Kind, failure.Cause = contract.AttemptCanceled, x.conn.watch.writeRefusal()
	case errors.Is(cause, errStalled), errors.Is(cause, context.DeadlineExceeded):
		failure.Kind, failure.Cause = contract.AttemptTimedOut, cause
	case cause != nil:
		failure.Kind, failure.Cause = contract.AttemptCanceled, cause
	case headRead:
		failure.Kind = contract.AttemptTruncated
	case x.conn.watch.headFault() != nil, isMalformed(err):
		failure.Kind = contract.AttemptWrong
	}
	return failure
}

// isMalformed reports whether err means that the response was not valid HTTP or
// that its head was too large.
func isMalformed(err error) bool {
	text := err.Error()
	return strings.Contains(text, "malformed") || strings.Contains(text, "server response headers exceeded")
}

func connectError(ctx context.Context, target string, err error) *contract.RoundTripError {
	failure := &contract.RoundTripError{Kind: contract.AttemptRefused, Target: target, Cause: err}
	switch {
	case errors.Is(err, errConnectionLimit), errors.Is(err, errNoOpenConnection):
		failure.Kind = contract.AttemptCanceled
	case ctx.Err() == nil:
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Kind = contract.AttemptTimedOut
	default:
		failure.Kind = contract.AttemptCanceled
	}
	return failure
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

// responseBody records whether a response was read to its end.
type responseBody struct {
	io.ReadCloser
	exchange *Exchange
	complete bool
}

// Read reads from the body and classifies the error that truncated it, if any.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.complete = true
	default:
		err = b.exchange.classify(err, true)
	}
	return n, err
}

// IsConnectionLimit reports whether an attempt failed because all connections of
// this VM's share of the target's connections are in use.
func IsConnectionLimit(err error) bool { return errors.Is(err, errConnectionLimit) }
