package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/readahead"
)

// minProgressTimeout is how long a caller may read nothing of its response; callers whose time
// limit is later have until then.
const minProgressTimeout = 10 * time.Second

// errSlowCaller ends a response of which its caller reads nothing.
var errSlowCaller = errors.New("the caller does not read its response")

// delivery writes one response to its caller.
type delivery struct {
	gateway    *Gateway
	writer     http.ResponseWriter
	controller *http.ResponseController
	ctx        context.Context
	// progressTimeout is how long the caller may read nothing; isLarge is true when the response
	// shares a part of the link with other large ones.
	progressTimeout time.Duration
	isLarge         bool
}

// deliver writes a response to the caller. When the response ends early, the
// caller's connection is aborted, so that the caller cannot take it for complete.
func (g *Gateway) deliver(w http.ResponseWriter, q *request, got *targetResponse) {
	header := w.Header()
	for name, values := range got.header {
		header[name] = values
	}
	removeHopByHopHeaders(header)
	g.announceClose(header, q.caller)
	q.leaveBody(w)
	if got.rest == nil && q.caller.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(got.held.size, 10))
	} else if got.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(got.length, 10))
	}
	if got.rest == nil {
		q.body.discard()
	}
	d := &delivery{
		gateway: g, writer: w, controller: http.NewResponseController(w), ctx: q.caller.Context(),
		progressTimeout: max(minProgressTimeout, q.deadline.Sub(q.start)), isLarge: got.rest != nil || got.held.size > largePart,
	}
	w.WriteHeader(got.status)
	err := got.held.deliver(d.write)
	if got.rest != nil {
		err = d.stream(got, err)
		if err == nil { // one that broke off doesn't tell what the route's responses need
			g.memory.observe(q.route.Name, got.needed)
		}
	}
	err = d.end(err)
	g.metrics.answered(q.route.Kind, got.status, q.start)
	if err != nil {
		g.aborted(q, err)
		panic(http.ErrAbortHandler)
	}
}

// leaveBody makes net/http's server leave the rest of the caller's body to its one reader. By default
// the server discards a part of it when the head of a response is written, or waits for a read in
// progress, while an attempt may still send the body. What follows on the connection may be the rest
// of the body, so that it ends with the response.
func (q *request) leaveBody(w http.ResponseWriter) {
	if q.body.rest == nil || q.body.rest.hasEnded() {
		return
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		return // not supported: the caller is another VM, of whose body nothing is discarded
	}
	if q.caller.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}

// aborted logs and counts a response that was not passed on completely. For a caller of HTTP/1.0
// a response without a length ends with its connection, which therefore is reset.
func (g *Gateway) aborted(q *request, err error) {
	if !q.caller.ProtoAtLeast(1, 1) {
		readahead.ResetOnClose(q.caller.Context())
	}
	if errors.Is(err, errSlowCaller) {
		g.metrics.slowCaller()
		events.SlowCallerEnded.Log(g.options.Logger, "request", q.metadata.AttemptID, "caller", q.caller.RemoteAddr, "cause", err)
		return
	}
	events.ResponseAborted.Log(g.options.Logger, "request", q.metadata.AttemptID, "cause", err)
}

// write writes a part of the response. Within a budget, parts of large responses wait for
// their turn on the link, and the caller must take something within its progressTimeout.
func (d *delivery) write(part []byte) error {
	if d.gateway.memory == nil {
		_, err := d.writer.Write(part)
		return err
	}
	if err := d.awaitTurn(int64(len(part))); err != nil {
		return err
	}
	_ = d.controller.SetWriteDeadline(time.Now().Add(d.progressTimeout)) // not supported: the caller is another VM, which reads
	_, err := d.writer.Write(part)
	d.gateway.memory.sent.addAmount(float64(len(part)), time.Now())
	return slowCaller(err)
}

// awaitTurn waits until the link has room for a part of a large response.
func (d *delivery) awaitTurn(bytes int64) error {
	if !d.isLarge {
		d.gateway.memory.paceSmall(bytes)
		return nil
	}
	wait := d.gateway.memory.paceLarge(bytes)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-d.ctx.Done():
		return context.Cause(d.ctx)
	}
}

// slowCaller returns errSlowCaller for the error of a write that ended at its deadline.
func slowCaller(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", errSlowCaller, err)
	}
	return err
}

// stream copies the rest of a large response to the caller and ends its attempt.
func (d *delivery) stream(got *targetResponse, err error) error {
	if err == nil {
		err = d.copyRest(got.rest)
	}
	_ = got.rest.Close()
	got.finish(err)
	return err
}

// copyRest copies the rest of a response to the caller.
func (d *delivery) copyRest(rest io.Reader) error {
	if d.gateway.memory == nil {
		_, err := io.Copy(d.writer, rest)
		return err
	}
	buffer := partPool.Get().(*[largePart]byte)
	for {
		n, err := rest.Read(buffer[:])
		if n > 0 {
			if failed := d.write(buffer[:n]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			partPool.Put(buffer)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// end writes what is still buffered, within the caller's progressTimeout, and removes the deadline
// for the connection's next response.
func (d *delivery) end(err error) error {
	if d.gateway.memory == nil || err != nil {
		return err
	}
	if err := d.controller.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return slowCaller(err)
	}
	_ = d.controller.SetWriteDeadline(time.Time{}) // not supported: there is no deadline
	return nil
}
