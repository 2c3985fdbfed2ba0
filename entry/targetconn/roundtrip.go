package targetconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// Exchange is one request sent over one connection, and its answer.
type Exchange struct {
	pool   *Pool
	target string
	conn   *connection
	cancel context.CancelCauseFunc
	ctx    context.Context
	body   *answerBody
}

// Send writes the request to a connection of the pool and reads the answer's
// head. It sends the request at most once.
func Send(p *Pool, target string, request *http.Request) (*Exchange, *http.Response, error) {
	trip := contract.RoundTripFrom(request.Context())
	conn, err := p.take(request.Context(), trip)
	if err != nil {
		closeBody(request)
		return nil, nil, connectError(request.Context(), target, err)
	}
	limit := trip.StallLimit
	if conn.used {
		trip.MarkReused()
		limit = trip.ReusedStallLimit
	}
	ctx, cancel := context.WithCancelCause(request.Context())
	x := &Exchange{pool: p, target: target, conn: conn, cancel: cancel, ctx: ctx}
	conn.watch.begin(trip, limit, cancel)
	outgoing := request.WithContext(ctx)
	outgoing.GetBody = nil
	response, err := conn.client.RoundTrip(outgoing)
	if err != nil {
		failure := x.classify(err, false)
		x.Finish(false)
		return nil, nil, failure
	}
	x.body = &answerBody{ReadCloser: response.Body, exchange: x, whole: response.Body == http.NoBody}
	response.Body = x.body
	return x, response, nil
}

// Finish ends the exchange. The connection is kept only when the answer was
// read to its end and the caller has no doubt about it.
func (x *Exchange) Finish(trusted bool) {
	whole := x.body != nil && x.body.whole
	if !whole {
		x.cancel(context.Canceled)
	}
	x.conn.watch.end()
	x.pool.put(x.conn, trusted && whole)
	x.cancel(nil)
}

// classify names the end of an attempt by its error. Begun is true when the
// answer's head was read.
func (x *Exchange) classify(err error, begun bool) *contract.RoundTripError {
	failure := &contract.RoundTripError{Kind: contract.AttemptReset, Target: x.target, Cause: err}
	cause := context.Cause(x.ctx)
	switch {
	case x.conn.watch.refusal() != nil:
		failure.Kind, failure.Cause = contract.AttemptCanceled, x.conn.watch.refusal()
	case errors.Is(cause, errStalled), errors.Is(cause, context.DeadlineExceeded):
		failure.Kind, failure.Cause = contract.AttemptTimedOut, cause
	case cause != nil:
		failure.Kind, failure.Cause = contract.AttemptCanceled, cause
	case begun:
		failure.Kind = contract.AttemptTruncated
	case malformed(err):
		failure.Kind = contract.AttemptWrong
	}
	return failure
}

// malformed reports whether the answer was not HTTP.
func malformed(err error) bool {
	text := err.Error()
	return strings.Contains(text, "malformed") || strings.Contains(text, "server response headers exceeded")
}

func connectError(ctx context.Context, target string, err error) *contract.RoundTripError {
	failure := &contract.RoundTripError{Kind: contract.AttemptRefused, Target: target, Cause: err}
	switch {
	case errors.Is(err, errConnectionLimit):
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

// answerBody notes whether an answer was read to its end.
type answerBody struct {
	io.ReadCloser
	exchange *Exchange
	whole    bool
}

// Read passes on the body and names what broke it off.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.whole = true
	default:
		err = b.exchange.classify(err, true)
	}
	return n, err
}

// IsConnectionLimit reports whether an attempt ended because this VM has used
// up its share of the target's connections.
func IsConnectionLimit(err error) bool { return errors.Is(err, errConnectionLimit) }
