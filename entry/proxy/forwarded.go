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

// Forward serves a keyed request that another VM forwards to this one as its
// dispatcher. It returns FailedPrecondition when the request is meant for
// another instance of this VM.
func (p *Proxy) Forward(ctx context.Context, stream *dispatcherStream) (err error) {
	p.forwardedRequests.Add(1)
	defer p.forwardedRequests.Add(-1)
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
			err = abortError(cause)
		}
	}()
	reply := &replyWriter{ResponseWriter: writer, stallTimeout: p.limits.StallTimeout}
	if refusal := p.serveForwarded(reply, request, head); refusal != nil {
		p.sendRefusal(reply, request, refusal)
	}
	return writer.finish()
}

// abortError turns the panic of an aborted response into the stream's error;
// it panics again with any other cause.
func abortError(cause any) error {
	if failure, ok := cause.(error); ok && errors.Is(failure, http.ErrAbortHandler) {
		return connect.NewError(connect.CodeAborted, errors.New("the answer broke off"))
	}
	panic(cause)
}

// serveForwarded dispatches a request whose customer the forwarding VM has
// identified.
func (p *Proxy) serveForwarded(w *replyWriter, r *http.Request, head *primroseloomv1.ForwardHead) error {
	snap := p.options.Configuration.Current()
	if snap == nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonNoConfiguration, outcome.StepForward, head.GetFromVm(), nil)
	}
	service, ok := snap.Service(head.GetService())
	if !ok {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonRouteNotAllowed, outcome.StepForward, head.GetFromVm(), nil)
	}
	c, err := p.newCall(r, head.GetCustomer(), service, time.Duration(head.GetDeadlineMs())*time.Millisecond)
	if err != nil {
		return uncertainIfKeyed(r, err)
	}
	defer c.cancel()
	defer c.upload.stop()
	if body, ok := r.Body.(*forwardedUpload); ok {
		defer body.cancelReads()
		c.upload.setReadDeadline = body.setReadDeadline
	}
	if c.key == nil || !p.isDispatcher(c.key) {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, head.GetFromVm(), nil)
	}
	if err := c.upload.readPrefix(); err != nil {
		return uncertainIfKeyed(r, uploadRefusal(err, head.GetFromVm()))
	}
	return p.dispatchKeyed(c, w)
}

// forwardedRequest rebuilds the caller's request from the stream.
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
		Header:        toHeader(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		RemoteAddr:    head.GetFromVm(),
		Body:          http.NoBody,
	}
	if request.ContentLength != 0 {
		request.Body = newForwardedUpload(stream, request.ContentLength)
	}
	return request.WithContext(ctx), nil
}

// forwardedUpload reads the request's body from the forwarding VM's messages. A
// separate goroutine receives them, so that a read can be canceled.
type forwardedUpload struct {
	stream         *dispatcherStream
	length         int64
	readBytes      int64
	pending        []byte
	received       chan bodyMessage
	startReceiving sync.Once
	canceled       chan struct{}
	cancelReads    func()
}

type bodyMessage struct {
	body []byte
	err  error
}

func newForwardedUpload(stream *dispatcherStream, length int64) *forwardedUpload {
	u := &forwardedUpload{stream: stream, length: length, received: make(chan bodyMessage), canceled: make(chan struct{})}
	u.cancelReads = sync.OnceFunc(func() { close(u.canceled) })
	return u
}

// setReadDeadline cancels all reads if the time has passed; a later or zero time
// has no effect.
func (u *forwardedUpload) setReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		u.cancelReads()
	}
	return nil
}

// receive delivers messages until the stream ends or reads are canceled.
func (u *forwardedUpload) receive() {
	for {
		message, err := u.stream.Receive()
		select {
		case u.received <- bodyMessage{message.GetBody(), err}:
		case <-u.canceled:
			return
		}
		if err != nil {
			return
		}
	}
}

func (u *forwardedUpload) nextMessage() bodyMessage {
	u.startReceiving.Do(func() { go u.receive() })
	select {
	case message := <-u.received:
		return message
	case <-u.canceled:
		return bodyMessage{err: errUploadStopped}
	}
}

// Read returns io.EOF only when the sender has ended the stream and the body has
// the length that was declared, if any.
func (u *forwardedUpload) Read(p []byte) (int, error) {
	for len(u.pending) == 0 {
		message := u.nextMessage()
		if errors.Is(message.err, io.EOF) && (u.length < 0 || u.readBytes == u.length) {
			return 0, io.EOF
		}
		if message.err != nil {
			return 0, fmt.Errorf("receive body after %d bytes: %w: %v", u.readBytes, errUploadTruncated, message.err)
		}
		u.pending = message.body
	}
	n := copy(p, u.pending)
	u.pending = u.pending[n:]
	u.readBytes += int64(n)
	return n, nil
}

// Close does nothing; the stream is closed by its owner.
func (u *forwardedUpload) Close() error { return nil }

// forwardWriter sends a response as messages to the VM that forwarded the
// request.
type forwardWriter struct {
	stream  *dispatcherStream
	header  http.Header
	started bool
}

// Header returns the fields to be sent with the head. A field named in Trailer
// is sent at the end if it is set after the head.
func (w *forwardWriter) Header() http.Header { return w.header }

// WriteHeader sends the head.
func (w *forwardWriter) WriteHeader(status int) {
	if w.started {
		return
	}
	w.started = true
	length := int64(-1)
	if stated, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		length = stated
	}
	head := &primroseloomv1.ForwardResponseHead{Status: uint32(status), Headers: toHeaderFields(w.header), ContentLength: length}
	_ = w.stream.Send(&primroseloomv1.ForwardResponse{Head: head})
}

// Write sends a part of the body.
func (w *forwardWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for start := 0; start < len(p); start += maxForwardMessageBytes {
		chunk := p[start:min(start+maxForwardMessageBytes, len(p))]
		if err := w.stream.Send(&primroseloomv1.ForwardResponse{Body: chunk}); err != nil {
			return start, fmt.Errorf("send answer to forwarding VM: %w", err)
		}
	}
	return len(p), nil
}

// Flush does nothing; each message is sent at once.
func (w *forwardWriter) Flush() {}

// finish sends the fields that the Trailer header names.
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
	return w.stream.Send(&primroseloomv1.ForwardResponse{Trailers: toHeaderFields(trailer)})
}
