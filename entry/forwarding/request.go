package forwarding

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Stream is a forwarded request at the VM that serves it.
type Stream = connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]

// Errors of a request's body.
var (
	// ErrBodyTruncated means that the forwarding VM did not send the whole body.
	ErrBodyTruncated = errors.New("the forwarded body is truncated")
	// ErrReadCanceled means that no more of the body may be read.
	ErrReadCanceled = errors.New("the body is no longer read")
)

// ReceiveHead waits for the head of a request.
func ReceiveHead(stream *Stream) (*primroseloomv1.ForwardHead, error) {
	first, err := stream.Receive()
	if err != nil {
		return nil, fmt.Errorf("receive head: %w", err)
	}
	return first.GetHead(), nil
}

// NewRequest rebuilds the caller's request from the stream. Its body is a *RequestBody unless
// it is empty.
func NewRequest(ctx context.Context, head *primroseloomv1.ForwardHead, stream *Stream) (*http.Request, error) {
	uri := string(head.GetRequestUri())
	target, err := url.ParseRequestURI(uri)
	if err != nil {
		return nil, fmt.Errorf("request target of VM %s: %w", head.GetFromVm(), err)
	}
	request := &http.Request{
		Method:        string(head.GetMethod()),
		URL:           target,
		RequestURI:    uri,
		Host:          string(head.GetHost()),
		Header:        HeaderOf(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		RemoteAddr:    remoteAddress(head),
		Body:          http.NoBody,
	}
	if request.ContentLength != 0 {
		request.Body = newRequestBody(stream, request.ContentLength)
	}
	return request.WithContext(ctx), nil
}

// remoteAddress returns the caller's address or, when the head doesn't tell it, the name of
// the forwarding VM.
func remoteAddress(head *primroseloomv1.ForwardHead) string {
	if address := head.GetCallerAddress(); address != "" {
		return address
	}
	return head.GetFromVm()
}

// RequestBody reads the request's body from the forwarding VM's messages. A
// separate goroutine receives them, so that a read can be canceled.
type RequestBody struct {
	stream         *Stream
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

func newRequestBody(stream *Stream, length int64) *RequestBody {
	u := &RequestBody{stream: stream, length: length, received: make(chan bodyMessage), canceled: make(chan struct{})}
	u.cancelReads = sync.OnceFunc(func() { close(u.canceled) })
	return u
}

// SetReadDeadline cancels all reads if the time has passed; a later or zero time
// has no effect.
func (u *RequestBody) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		u.cancelReads()
	}
	return nil
}

// CancelReads cancels all reads.
func (u *RequestBody) CancelReads() { u.cancelReads() }

// receive delivers messages until the stream ends or reads are canceled.
func (u *RequestBody) receive() {
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

func (u *RequestBody) nextMessage() bodyMessage {
	u.startReceiving.Do(func() { go u.receive() })
	select {
	case message := <-u.received:
		return message
	case <-u.canceled:
		return bodyMessage{err: ErrReadCanceled}
	}
}

// Read returns io.EOF only when the sender has ended the stream and the body has
// the length that was declared, if any.
func (u *RequestBody) Read(p []byte) (int, error) {
	for len(u.pending) == 0 {
		message := u.nextMessage()
		if errors.Is(message.err, io.EOF) && (u.length < 0 || u.readBytes == u.length) {
			return 0, io.EOF
		}
		if message.err != nil {
			return 0, fmt.Errorf("receive body after %d bytes: %w: %v", u.readBytes, ErrBodyTruncated, message.err)
		}
		u.pending = message.body
	}
	n := copy(p, u.pending)
	u.pending = u.pending[n:]
	u.readBytes += int64(n)
	return n, nil
}

// Close does nothing; the stream is closed by its owner.
func (u *RequestBody) Close() error { return nil }
