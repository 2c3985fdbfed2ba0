package forwarding

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// AbortError turns the panic of an aborted response into the stream's error; it panics
// again with any other cause.
func AbortError(cause any) error {
	if failure, ok := cause.(error); ok && errors.Is(failure, http.ErrAbortHandler) {
		return connect.NewError(connect.CodeAborted, errors.New("the answer broke off"))
	}
	panic(cause)
}

// NewResponseWriter returns a writer of the response to a stream's request, which has the
// given body.
func NewResponseWriter(stream *Stream, body io.ReadCloser) *ResponseWriter {
	w := &ResponseWriter{stream: stream, header: make(http.Header)}
	w.body, _ = body.(*RequestBody)
	return w
}

// SetReadDeadline cancels reads of the request's body once the time has passed; a later or
// zero time has no effect. http.ResponseController calls it.
func (w *ResponseWriter) SetReadDeadline(at time.Time) error {
	if w.body == nil {
		return nil
	}
	return w.body.SetReadDeadline(at)
}

// Refuse tells the forwarding VM that this VM ends the request without a target's response,
// of which nothing may have been written. It ends the reading of the request's body.
func (w *ResponseWriter) Refuse(refusal *primroseloomv1.ForwardRefusal) error {
	if w.body != nil {
		w.body.CancelReads()
	}
	return w.stream.Send(&primroseloomv1.ForwardResponse{Head: &primroseloomv1.ForwardResponseHead{Refusal: refusal}})
}

// ResponseWriter sends a response as messages to the VM that forwarded the request.
type ResponseWriter struct {
	stream  *Stream
	body    *RequestBody
	header  http.Header
	started bool
}

// Header returns the fields to be sent with the head. A field named in Trailer
// is sent at the end if it is set after the head.
func (w *ResponseWriter) Header() http.Header { return w.header }

// WriteHeader sends the head.
func (w *ResponseWriter) WriteHeader(status int) {
	if w.started {
		return
	}
	w.started = true
	length := int64(-1)
	if stated, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		length = stated
	}
	head := &primroseloomv1.ForwardResponseHead{Status: uint32(status), Headers: FieldsOf(w.header), ContentLength: length}
	_ = w.stream.Send(&primroseloomv1.ForwardResponse{Head: head})
}

// Write sends a part of the body.
func (w *ResponseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for start := 0; start < len(p); start += maxMessageBytes {
		chunk := p[start:min(start+maxMessageBytes, len(p))]
		if err := w.stream.Send(&primroseloomv1.ForwardResponse{Body: chunk}); err != nil {
			return start, fmt.Errorf("send answer to forwarding VM: %w", err)
		}
	}
	return len(p), nil
}

// Flush does nothing; each message is sent at once.
func (w *ResponseWriter) Flush() {}

// Finish sends the fields that the Trailer header names.
func (w *ResponseWriter) Finish() error {
	trailer := make(http.Header)
	for _, name := range w.header.Values("Trailer") {
		if values := w.header.Values(name); len(values) > 0 {
			trailer[name] = values
		}
	}
	if len(trailer) == 0 {
		return nil
	}
	return w.stream.Send(&primroseloomv1.ForwardResponse{Trailers: FieldsOf(trailer)})
}
