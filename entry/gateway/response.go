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

// heldAnswerBytes is the size up to which an answer is held until it is whole,
// so that a broken one is never passed on.
const heldAnswerBytes = 1 << 20

// Faults of an answer.
var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("the answer lacks the target's signature")
	errEncoded      = errors.New("the answer is encoded although nothing asked for that")
)

// answer is a target's answer on its way to the caller.
type answer struct {
	status int
	header http.Header
	held   []byte
	// rest follows the held part; nil when the answer is held whole.
	rest   io.ReadCloser
	length int64
	// finish ends the attempt of an answer that is streamed.
	finish func(whole bool)
}

// discard ends an answer that nobody takes.
func (a *answer) discard() {
	if a.rest != nil {
		_ = a.rest.Close()
		a.finish(false)
	}
}

// judgeAnswer reads an answer and judges it.
func (q *request) judgeAnswer(ctx context.Context, response *http.Response, trip *contract.RoundTrip) verdict {
	said := q.gateway.options.Dialect.ReadAnswer(response)
	if err := q.checkHead(response, said, trip); err != nil {
		return wrong(err)
	}
	got := &answer{status: response.StatusCode, header: response.Header, length: response.ContentLength}
	held, err := io.ReadAll(io.LimitReader(response.Body, heldAnswerBytes+1))
	got.held = held
	if len(held) > heldAnswerBytes && err == nil {
		got.rest = response.Body
	} else {
		_ = response.Body.Close()
	}
	if err != nil {
		return q.broken(ctx, err)
	}
	v := verdict{result: targetset.Result{End: suspicion.EndServed, Reuse: !said.Leaving, Load: said.Load, KeepIdle: said.KeepIdle}, answer: got, step: outcome.StepRead}
	switch {
	case said.NotRun:
		return q.refusedByTarget(v, said)
	case response.StatusCode == http.StatusGatewayTimeout:
		v.result.End, v.reason = suspicion.EndNeutral, outcome.ReasonTargetTimeout
	case response.StatusCode >= http.StatusInternalServerError:
		v.result.End, v.reason = suspicion.EndFailed, outcome.ReasonTargetWrongAnswer
	}
	return v
}

// checkHead refuses an answer that is not the target's word on this request.
func (q *request) checkHead(response *http.Response, said dialect.Answer, trip *contract.RoundTrip) error {
	if said.AttemptID != q.told.AttemptID && (said.AttemptID != "" || trip.Reused()) {
		return fmt.Errorf("%w: it names request %q", errOtherRequest, said.AttemptID)
	}
	if said.NotRun {
		return nil
	}
	if response.Header.Get("Content-Encoding") != "" {
		return errEncoded
	}
	if !said.Sealed {
		return errUnsigned
	}
	return nil
}

// wrong judges an answer that belongs to no request or cannot be trusted.
func wrong(err error) verdict {
	return verdict{
		result: targetset.Result{End: suspicion.EndFailed, Err: err},
		reason: outcome.ReasonTargetWrongAnswer,
		step:   outcome.StepRead,
	}
}

// broken judges an answer that ended early.
func (q *request) broken(ctx context.Context, err error) verdict {
	v := wrong(err)
	v.reason = outcome.ReasonTargetTruncated
	if ctx.Err() != nil {
		v.result.End, v.reason = suspicion.EndNeutral, outcome.ReasonTargetTimeout
	}
	return v
}

// refusedByTarget judges an answer by which the target proves that it did not
// run the request. Such an answer is not passed on.
func (q *request) refusedByTarget(v verdict, said dialect.Answer) verdict {
	v.answer, v.notRun, v.reason = nil, true, outcome.ReasonTargetShed
	v.result.End = suspicion.EndNeutral
	v.result.Misplaced = said.WrongTarget
	if said.Load == nil || said.Load.Running+said.Load.Waiting < said.Load.Slots {
		v.result.End = suspicion.EndShed
	}
	return v
}

// deliver hands an answer to the caller. What breaks off midway breaks off for
// the caller as well, so that it cannot look whole.
func (g *Gateway) deliver(w http.ResponseWriter, q *request, got *answer) {
	header := w.Header()
	for name, values := range got.header {
		header[name] = values
	}
	closing := header.Get("Connection") == "close" && !g.options.Stopping()
	removeConnectionHeaders(header)
	if closing || g.options.Stopping() {
		header.Set("Connection", "close")
	}
	if got.rest == nil && q.caller.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(got.held)))
	} else if got.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(got.length, 10))
	}
	w.WriteHeader(got.status)
	_, err := io.Copy(w, bytes.NewReader(got.held))
	if got.rest != nil {
		err = g.stream(w, got, err)
	}
	g.metrics.answered(q.route.Kind, got.status, q.began)
	if err != nil {
		events.AnswerBroken.Log(g.options.Logger, "request", q.told.AttemptID, "cause", err)
		panic(http.ErrAbortHandler)
	}
}

// stream passes on the rest of a large answer.
func (g *Gateway) stream(w http.ResponseWriter, got *answer, err error) error {
	if err == nil {
		_, err = io.Copy(w, got.rest)
	}
	_ = got.rest.Close()
	got.finish(err == nil)
	return err
}
