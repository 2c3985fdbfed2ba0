package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

type dispatcherStream = connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]

// Forward runs a request that another VM hands to its dispatcher. It refuses
// with FailedPrecondition when this instance is not that dispatcher.
func (p *Proxy) Forward(ctx context.Context, stream *dispatcherStream) (err error) {
	p.forwarded.Add(1)
	defer p.forwarded.Add(-1)
	first, err := stream.Receive()
	if err != nil {
		return fmt.Errorf("receive head: %w", err)
	}
	head := first.GetHead()
	if head == nil || head.GetFleet() != p.options.Fleet {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("no head, or another fleet's"))
	}
	if head.GetInstance() != p.options.Members.Self().GetInstance() {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the dispatcher has been replaced"))
	}
	request, err := forwardedRequest(ctx, head, stream)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	writer := &forwardWriter{stream: stream, header: make(http.Header)}
	defer func() {
		if cause := recover(); cause != nil {
			err = abortOf(cause)
		}
	}()
	out := &replyWriter{ResponseWriter: writer, progress: p.limits.StallTimeout}
	if refused := p.serveForwarded(out, request, head); refused != nil {
		p.fail(out, request, refused)
	}
	return writer.finish()
}

// abortOf turns an aborted reply into the stream's error; other panics go on.
func abortOf(cause any) error {
	if failure, ok := cause.(error); ok && errors.Is(failure, http.ErrAbortHandler) {
		return connect.NewError(connect.CodeAborted, errors.New("the answer broke off"))
	}
	panic(cause)
}

// serveForwarded dispatches a request whose customer the sending VM identified.
func (p *Proxy) serveForwarded(w *replyWriter, r *http.Request, head *primroseloomv1.ForwardHead) error {
	snap := p.options.Configuration.Current()
	if snap == nil {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonNoConfiguration, outcome.StepForward, head.GetFromVm(), nil)
	}
	service, ok := snap.Service(head.GetService())
	if !ok {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonRouteNotAllowed, outcome.StepForward, head.GetFromVm(), nil)
	}
	c, err := p.newCall(r, head.GetCustomer(), service, time.Duration(head.GetDeadlineMs())*time.Millisecond)
	if err != nil {
		return unlessKeyed(r, err)
	}
	defer c.cancel()
	defer c.upload.stop()
	if body, ok := r.Body.(*forwardedUpload); ok {
		defer body.giveUp()
		c.upload.setRead = body.setReadDeadline
	}
	if c.key == nil || !p.isDispatcher(c.key) {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, head.GetFromVm(), nil)
	}
	if err := c.upload.fill(); err != nil {
		return unlessKeyed(r, uploadRefusal(err, head.GetFromVm()))
	}
	return p.dispatchKeyed(c, w)
}

// forwardedRequest rebuilds the caller's request.
func forwardedRequest(ctx context.Context, head *primroseloomv1.ForwardHead, stream *dispatcherStream) (*http.Request, error) {
	target, err := url.ParseRequestURI(head.GetRequestUri())
	if err != nil {
		return nil, fmt.Errorf("request target of VM %s: %w", head.GetFromVm(), err)
	}
	request := &http.Request{
		Method:        head.GetMethod(),
		URL:           target,
		RequestURI:    head.GetRequestUri(),
		Host:          head.GetHost(),
		Header:        headerOf(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		RemoteAddr:    head.GetFromVm(),
		Body:          http.NoBody,
	}
	if request.ContentLength != 0 {
		request.Body = newForwardedUpload(stream, request.ContentLength)
	}
	return request.WithContext(ctx), nil
}

// forwardedUpload reads the request's body from the sending VM's messages. A
// reader of its own receives them, so that a read can be given up.
type forwardedUpload struct {
	stream   *dispatcherStream
	length   int64
	total    int64
	pending  []byte
	received chan forwardedPiece
	once     sync.Once
	given    chan struct{}
	giveUp   func()
}

type forwardedPiece struct {
	body []byte
	err  error
}

func newForwardedUpload(stream *dispatcherStream, length int64) *forwardedUpload {
	u := &forwardedUpload{stream: stream, length: length, received: make(chan forwardedPiece), given: make(chan struct{})}
	u.giveUp = sync.OnceFunc(func() { close(u.given) })
	return u
}

// setReadDeadline gives up reads at once when the time has passed.
func (u *forwardedUpload) setReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		u.giveUp()
	}
	return nil
}

// receive hands over messages until the stream ends or reads are given up.
func (u *forwardedUpload) receive() {
	for {
		message, err := u.stream.Receive()
		select {
		case u.received <- forwardedPiece{message.GetBody(), err}:
		case <-u.given:
			return
		}
		if err != nil {
			return
		}
	}
}

func (u *forwardedUpload) next() forwardedPiece {
	u.once.Do(func() { go u.receive() })
	select {
	case piece := <-u.received:
		return piece
	case <-u.given:
		return forwardedPiece{err: errUploadStopped}
	}
}

// Read returns io.EOF only when the sender has ended a body of the length it stated.
func (u *forwardedUpload) Read(p []byte) (int, error) {
	for len(u.pending) == 0 {
		piece := u.next()
		if errors.Is(piece.err, io.EOF) && (u.length < 0 || u.total == u.length) {
			return 0, io.EOF
		}
		if piece.err != nil {
			return 0, fmt.Errorf("receive body after %d bytes: %w: %v", u.total, errUploadBroken, piece.err)
		}
		u.pending = piece.body
	}
	n := copy(p, u.pending)
	u.pending = u.pending[n:]
	u.total += int64(n)
	return n, nil
}

// Close does nothing; the stream is closed by its owner.
func (u *forwardedUpload) Close() error { return nil }

// forwardWriter sends a reply as messages to the VM that forwarded the request.
type forwardWriter struct {
	stream *dispatcherStream
	header http.Header
	begun  bool
}

// Header returns the fields to be sent with the head; those named in Trailer
// are sent at the end.
func (w *forwardWriter) Header() http.Header { return w.header }

// WriteHeader sends the head.
func (w *forwardWriter) WriteHeader(status int) {
	if w.begun {
		return
	}
	w.begun = true
	length := int64(-1)
	if stated, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		length = stated
	}
	head := &primroseloomv1.ForwardResponseHead{Status: uint32(status), Headers: fieldsOf(w.header), ContentLength: length}
	_ = w.stream.Send(&primroseloomv1.ForwardResponse{Head: head})
}

// Write sends a part of the body.
func (w *forwardWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for start := 0; start < len(p); start += forwardBytes {
		piece := p[start:min(start+forwardBytes, len(p))]
		if err := w.stream.Send(&primroseloomv1.ForwardResponse{Body: piece}); err != nil {
			return start, fmt.Errorf("send answer to forwarding VM: %w", err)
		}
	}
	return len(p), nil
}

// Flush does nothing; each message is sent at once.
func (w *forwardWriter) Flush() {}

// finish sends the trailers that were announced.
func (w *forwardWriter) finish() error {
	trailer := make(http.Header)
	for _, name := range w.header.Values("Trailer") {
		if values := w.header.Values(name); len(values) > 0 {
			trailer[name] = values
		}
	}
	if len(trailer) == 0 {
		return nil
	}
	return w.stream.Send(&primroseloomv1.ForwardResponse{Trailers: fieldsOf(trailer)})
}
