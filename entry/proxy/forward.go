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

// forwardBytes is the size of the pieces in which bodies go between VMs.
const forwardBytes = 32 << 10

// maxForwards bounds how often a request is handed to its dispatcher. The
// dispatcher's record makes the second one join the first.
const maxForwards = 2

type forwardStream = connect.BidiStreamForClient[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]

// forward hands a keyed request to its dispatcher and passes on what it says.
func (p *Proxy) forward(c *call, w *replyWriter) error {
	client, err := p.dispatcherClient(c.key)
	if err != nil {
		return err
	}
	p.counters.forwards.Inc(1)
	for try := 1; ; try++ {
		err := p.forwardOnce(c, w, client)
		var unreached *unreachedError
		if !errors.As(err, &unreached) {
			return err
		}
		refusal := contract.Refuse(outcome.MayHaveRun, outcome.ReasonDispatcherUnreached, outcome.StepForward, c.key.VM, err)
		if try >= maxForwards || c.ctx.Err() != nil || !c.upload.replayable() {
			return refusal
		}
		p.counters.retried(refusal.Reason)
	}
}

// unreachedError is a forward that ended before the dispatcher's word.
type unreachedError struct{ cause error }

// Error tells that the dispatcher was not reached.
func (e *unreachedError) Error() string { return fmt.Sprintf("no word of the dispatcher: %v", e.cause) }

// Unwrap returns the underlying error.
func (e *unreachedError) Unwrap() error { return e.cause }

// dispatcherClient returns a client of a key's dispatcher if it still exists.
func (p *Proxy) dispatcherClient(key *dispatch.Key) (primroseloomv1connect.PeerServiceClient, error) {
	gone := contract.Refuse(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, key.VM, nil)
	for _, member := range p.options.Members.Members() {
		if member.GetVm() == key.VM && member.GetInstance() != key.Instance {
			return nil, gone
		}
	}
	client, ok := p.options.Members.Client(key.VM)
	if !ok || key.VM == p.options.Members.Self().GetVm() {
		return nil, gone
	}
	return client, nil
}

// forwardOnce runs one stream to the dispatcher.
func (p *Proxy) forwardOnce(c *call, w *replyWriter, client primroseloomv1connect.PeerServiceClient) error {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stream := client.Forward(ctx)
	defer func() { _ = stream.CloseResponse() }()
	if err := stream.Send(&primroseloomv1.ForwardRequest{Head: p.forwardHead(c)}); err != nil && !errors.Is(err, io.EOF) {
		return &unreachedError{err}
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if err := sendBody(stream, c.upload.open()); err != nil {
			cancel()
		}
	}()
	err := p.relay(c, w, stream)
	cancel()
	c.upload.stopAfter(sent)
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
	head.Headers = fieldsOf(header)
	return head
}

// sendBody sends a body in pieces and ends the stream's sending side. The end
// is not sent for a body that broke off.
func sendBody(stream *forwardStream, body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	piece := make([]byte, forwardBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			if failed := stream.Send(&primroseloomv1.ForwardRequest{Body: piece[:n]}); failed != nil {
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

// relay passes the dispatcher's word on to the caller.
func (p *Proxy) relay(c *call, w *replyWriter, stream *forwardStream) error {
	first, err := stream.Receive()
	if err != nil {
		return p.forwardFailed(c, err)
	}
	head := first.GetHead()
	if head == nil {
		return &unreachedError{errors.New("the answer does not start with a head")}
	}
	header := headerOf(head.GetHeaders())
	result := outcome.Outcome(header.Get(OutcomeHeader))
	response := &http.Response{
		StatusCode:       int(head.GetStatus()),
		Header:           header,
		ContentLength:    head.GetContentLength(),
		TransferEncoding: []string{"chunked"},
		Trailer:          make(http.Header),
	}
	response.Body = &forwardedBody{receive: stream.Receive, trailer: response.Trailer, pending: first.GetBody()}
	answer, err := p.hold(w, response, c.request.Method)
	if err != nil {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonDispatcherUnreached, outcome.StepForward, c.key.VM, err)
	}
	return reply(w, answer, c.request.Method, result)
}

// forwardFailed explains a stream that ended before the dispatcher's word.
func (p *Proxy) forwardFailed(c *call, err error) error {
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, c.key.VM, err)
	}
	if broken := c.upload.failed(); broken != nil {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonCallerGone, outcome.StepForward, c.request.RemoteAddr, broken)
	}
	return &unreachedError{err}
}

// forwardedBody reads the answer's body from the dispatcher's messages.
type forwardedBody struct {
	receive func() (*primroseloomv1.ForwardResponse, error)
	trailer http.Header
	pending []byte
}

// Read returns io.EOF only after the dispatcher has ended the stream in order.
func (b *forwardedBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		message, err := b.receive()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, fmt.Errorf("receive answer from dispatcher: %w", err)
		}
		for name, values := range headerOf(message.GetTrailers()) {
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

func fieldsOf(header http.Header) []*primroseloomv1.HeaderField {
	var fields []*primroseloomv1.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &primroseloomv1.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func headerOf(fields []*primroseloomv1.HeaderField) http.Header {
	header := make(http.Header)
	for _, field := range fields {
		header.Add(field.GetName(), field.GetValue())
	}
	return header
}
