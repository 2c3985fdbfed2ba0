package forwarding

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// maxMessageBytes is the largest part of a body in one message.
const maxMessageBytes = 32 << 10

// Errors of a response.
var (
	// ErrNoHead means that it does not begin with a head.
	ErrNoHead = errors.New("the response does not begin with a head")
	// ErrStatus means that its status is none of a final response of HTTP, which are 200 to 599.
	ErrStatus = errors.New("the status of the response is outside 200 to 599")
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

type clientStream = connect.BidiStreamForClient[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]

// Exchange is one forwarded request at the VM that forwards it.
type Exchange struct {
	stream   *clientStream
	cancel   context.CancelFunc
	bodySent chan struct{}
}

// NotSent reports whether an exchange failed before the other VM looked at the request: no
// connection to it opened, or its build serves no forwarded requests.
func NotSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial" || connect.CodeOf(err) == connect.CodeUnimplemented
}

// Start sends the head of a request and then, in the background, its body, which it closes.
// Close must be called when the response is no longer needed.
func Start(ctx context.Context, client primroseloomv1connect.PeerServiceClient, head *primroseloomv1.ForwardHead, body io.ReadCloser) (*Exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	x := &Exchange{stream: client.Forward(ctx), cancel: cancel, bodySent: make(chan struct{})}
	if err := x.stream.Send(&primroseloomv1.ForwardRequest{Head: head}); err != nil && !errors.Is(err, io.EOF) {
		close(x.bodySent)
		_ = body.Close()
		x.Close()
		return nil, fmt.Errorf("send head: %w", err)
	}
	go func() {
		defer close(x.bodySent)
		if err := x.sendBody(body); err != nil {
			cancel()
		}
	}()
	return x, nil
}

// sendBody sends a body in parts and then closes the sending side of the stream. It leaves
// that side open after a read error, so that the other VM doesn't take a truncated body for a
// complete one.
func (x *Exchange) sendBody(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if sendErr := x.stream.Send(&primroseloomv1.ForwardRequest{Body: buffer[:n]}); sendErr != nil {
				return nil // Response returns the stream's error
			}
		}
		if errors.Is(err, io.EOF) {
			return x.stream.CloseRequest()
		}
		if err != nil {
			return err
		}
	}
}

// Response waits for the head of the response. The refusal is nil unless the other VM refused
// the request itself; the response's body then is empty.
func (x *Exchange) Response() (*http.Response, *primroseloomv1.ForwardRefusal, error) {
	first, err := x.stream.Receive()
	if err != nil {
		return nil, nil, err
	}
	head := first.GetHead()
	if head == nil {
		return nil, nil, ErrNoHead
	}
	if isFinal := head.GetStatus() >= http.StatusOK && head.GetStatus() <= maxStatus; !isFinal && head.GetRefusal() == nil {
		return nil, nil, ErrStatus
	}
	response := &http.Response{
		StatusCode:       int(head.GetStatus()),
		Header:           HeaderOf(head.GetHeaders()),
		ContentLength:    head.GetContentLength(),
		TransferEncoding: []string{"chunked"},
		Trailer:          make(http.Header),
	}
	response.Body = &responseBody{exchange: x, trailer: response.Trailer, pending: first.GetBody()}
	return response, head.GetRefusal(), nil
}

// Cancel ends the stream; the other VM ends the request.
func (x *Exchange) Cancel() { x.cancel() }

// BodySent is closed once no more of the request's body is read.
func (x *Exchange) BodySent() <-chan struct{} { return x.bodySent }

// Close ends the stream, unless it has ended, and releases it.
func (x *Exchange) Close() {
	x.cancel()
	_ = x.stream.CloseResponse()
}

// responseBody reads the response's body from the messages of the other VM.
type responseBody struct {
	exchange *Exchange
	trailer  http.Header
	pending  []byte
}

// Read returns io.EOF only after the other VM has closed the stream without an error.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		message, err := b.exchange.stream.Receive()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, fmt.Errorf("receive forwarded response: %w", err)
		}
		for name, values := range HeaderOf(message.GetTrailers()) {
			b.trailer[name] = values
		}
		b.pending = message.GetBody()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close ends the exchange.
func (b *responseBody) Close() error {
	b.exchange.Close()
	return nil
}
