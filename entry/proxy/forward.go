package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// maxForwardMessageBytes is the largest part of a body in one message between
// VMs.
const maxForwardMessageBytes = 32 << 10

// maxForwardAttempts bounds how often a request is sent to its dispatcher. A
// retry is safe: the dispatcher's record makes the second request join the
// first.
const maxForwardAttempts = 2

type forwardStream = connect.BidiStreamForClient[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]

// forward sends a keyed request to its dispatcher on another VM and relays the
// response.
func (p *Proxy) forward(c *call, w *replyWriter) error {
	client, err := p.dispatcherClient(c.key)
	if err != nil {
		return err
	}
	p.counters.forwards.Inc(1)
	for attempt := 1; ; attempt++ {
		err := p.forwardOnce(c, w, client)
		var noReply *noReplyError
		if !errors.As(err, &noReply) {
			return err
		}
		refusal := contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherUnreached, outcome.StepForward, c.key.VM, err)
		if attempt >= maxForwardAttempts || c.ctx.Err() != nil || !c.upload.replayable() {
			return refusal
		}
		p.counters.countRetry(refusal.Reason)
	}
}

// noReplyError is a forward that ended before the dispatcher responded.
type noReplyError struct{ cause error }

// Error returns the error's text.
func (e *noReplyError) Error() string { return fmt.Sprintf("no word of the dispatcher: %v", e.cause) }

// Unwrap returns the underlying error.
func (e *noReplyError) Unwrap() error { return e.cause }

// dispatcherClient returns a client of a key's dispatcher, or a refusal when the
// instance that the key names no longer exists.
func (p *Proxy) dispatcherClient(key *dispatch.Key) (primroseloomv1connect.PeerServiceClient, error) {
	refusal := contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, key.VM, nil)
	for _, member := range p.options.Members.Members() {
		if member.GetVm() == key.VM && member.GetInstance() != key.Instance {
			return nil, refusal
		}
	}
	client, ok := p.options.Members.Client(key.VM)
	if !ok || key.VM == p.options.Members.Self().GetVm() {
		return nil, refusal
	}
	return client, nil
}

// forwardOnce sends the request over one stream to the dispatcher and relays the
// response.
func (p *Proxy) forwardOnce(c *call, w *replyWriter, client primroseloomv1connect.PeerServiceClient) error {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stream := client.Forward(ctx)
	defer func() { _ = stream.CloseResponse() }()
	if err := stream.Send(&primroseloomv1.ForwardRequest{Head: p.forwardHead(c)}); err != nil && !errors.Is(err, io.EOF) {
		return &noReplyError{err}
	}
	bodySent := make(chan struct{})
	go func() {
		defer close(bodySent)
		if err := streamBody(stream, c.upload.open()); err != nil {
			cancel()
		}
	}()
	err := p.relayResponse(c, w, stream)
	cancel()
	c.upload.stopAndWait(bodySent)
	return err
}

func (p *Proxy) forwardHead(c *call) *primroseloomv1.ForwardHead {
	r := c.request
	head := &primroseloomv1.ForwardHead{
		Fleet:         p.options.Fleet,
		FromVm:        p.options.Members.Self().GetVm(),
		Instance:      c.key.Instance,
		Service:       c.service.Name,
		Customer:      c.customer,
		Method:        r.Method,
		Host:          r.Host,
		RequestUri:    r.URL.RequestURI(),
		DeadlineMs:    uint32(max(1, time.Until(c.deadline).Milliseconds())),
		ContentLength: r.ContentLength,
	}
	header := requestHeader(r)
	head.Headers = toHeaderFields(header)
	return head
}

// streamBody sends a body in parts and then closes the sending side of the
// stream. It leaves that side open after a read error, so that the dispatcher
// doesn't take a truncated body for a complete one.
func streamBody(stream *forwardStream, body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buffer := make([]byte, maxForwardMessageBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if sendErr := stream.Send(&primroseloomv1.ForwardRequest{Body: buffer[:n]}); sendErr != nil {
				return nil
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.CloseRequest()
		}
		if err != nil {
			return err
		}
	}
}

// relayResponse passes the dispatcher's response on to the caller.
func (p *Proxy) relayResponse(c *call, w *replyWriter, stream *forwardStream) error {
	first, err := stream.Receive()
	if err != nil {
		return p.forwardFailure(c, err)
	}
	head := first.GetHead()
	if head == nil {
		return &noReplyError{errors.New("the answer does not start with a head")}
	}
	header := toHeader(head.GetHeaders())
	reported := outcome.Outcome(header.Get(OutcomeHeader))
	response := &http.Response{
		StatusCode:       int(head.GetStatus()),
		Header:           header,
		ContentLength:    head.GetContentLength(),
		TransferEncoding: []string{"chunked"},
		Trailer:          make(http.Header),
	}
	response.Body = &forwardedBody{receive: stream.Receive, trailer: response.Trailer, pending: first.GetBody()}
	buffered, err := p.bufferOrStream(w, response, c.request.Method)
	if err != nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherUnreached, outcome.StepForward, c.key.VM, err)
	}
	return sendBuffered(w, buffered, c.request.Method, reported)
}

// forwardFailure returns the error for a stream that ended before the dispatcher
// responded.
func (p *Proxy) forwardFailure(c *call, err error) error {
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, c.key.VM, err)
	}
	if bodyErr := c.upload.readError(); bodyErr != nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonCallerGone, outcome.StepForward, c.request.RemoteAddr, bodyErr)
	}
	return &noReplyError{err}
}

// forwardedBody reads the response's body from the dispatcher's messages.
type forwardedBody struct {
	receive func() (*primroseloomv1.ForwardResponse, error)
	trailer http.Header
	pending []byte
}

// Read returns io.EOF only after the dispatcher has closed the stream without an
// error.
func (b *forwardedBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		message, err := b.receive()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, fmt.Errorf("receive answer from dispatcher: %w", err)
		}
		for name, values := range toHeader(message.GetTrailers()) {
			b.trailer[name] = values
		}
		b.pending = message.GetBody()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close does nothing; the stream is closed by its owner.
func (b *forwardedBody) Close() error { return nil }

func toHeaderFields(header http.Header) []*primroseloomv1.HeaderField {
	var fields []*primroseloomv1.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &primroseloomv1.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func toHeader(fields []*primroseloomv1.HeaderField) http.Header {
	header := make(http.Header)
	for _, field := range fields {
		header.Add(field.GetName(), field.GetValue())
	}
	return header
}
