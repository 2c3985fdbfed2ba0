package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// copyBufferBytes is the size of the buffer through which long responses are
// streamed.
const copyBufferBytes = 32 << 10

var errUnknownEnd = errors.New("the end of the answer could not be told from a truncation")

// callerError is a failure to write the response to the caller.
type callerError struct{ cause error }

// Error returns the error's text.
func (e *callerError) Error() string { return fmt.Sprintf("write answer to caller: %v", e.cause) }

// Unwrap returns the underlying error.
func (e *callerError) Unwrap() error { return e.cause }

// bufferOrStream reads a response. One up to the buffer limit is read completely
// and returned before the caller gets its first byte; a longer one is streamed
// to the caller and nil is returned. What is returned stays reserved until the request ends, as its
// caller may read slowly.
func (p *Proxy) bufferOrStream(w *replyWriter, response *http.Response, c *call) (*dispatch.Response, error) {
	method := c.request.Method
	if !bodyAllowed(response.StatusCode, method) {
		buffered := &dispatch.Response{Status: response.StatusCode, Header: responseHeader(response.Header)}
		setHeadLength(buffered.Header, response, method)
		return buffered, nil
	}
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, errUnknownEnd
	}
	limit := p.reserveBuffer(c, response.ContentLength)
	unused := limit
	defer func() { c.held.shrink(unused) }()
	var body bytes.Buffer
	_, err := io.CopyN(&body, response.Body, limit+1)
	if errors.Is(err, io.EOF) {
		unused = limit - int64(body.Len())
		buffered := &dispatch.Response{
			Status:  response.StatusCode,
			Header:  responseHeader(response.Header),
			Body:    body.Bytes(),
			Trailer: response.Trailer,
		}
		return buffered, nil
	}
	if err != nil {
		return nil, fmt.Errorf("hold answer after %d bytes: %w", body.Len(), err)
	}
	if w.noChunkedEncoding && response.ContentLength < 0 {
		return nil, errUnknownEnd
	}
	return nil, streamResponse(w, response, &body)
}

// reserveBuffer reserves buffer memory for a response of the given length,
// negative if unknown, and returns how many bytes of it may be buffered.
func (p *Proxy) reserveBuffer(c *call, length int64) int64 {
	limit := p.limits.MaxBufferedResponseBytes
	if length > limit {
		return 0
	}
	if length >= 0 {
		limit = length
	}
	if !c.held.grow(limit) {
		return 0
	}
	return limit
}

// setHeadLength copies the Content-Length of a response to a HEAD request.
func setHeadLength(header http.Header, response *http.Response, method string) {
	if method == http.MethodHead && response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
}

// sendBuffered writes a buffered response to the caller, if there is one.
func sendBuffered(w *replyWriter, buffered *dispatch.Response, method string, result outcome.Outcome) error {
	if buffered == nil {
		return nil
	}
	header := w.Header()
	for name, values := range buffered.Header {
		header[name] = values
	}
	header.Set(OutcomeHeader, string(result))
	if len(buffered.Trailer) == 0 && bodyAllowed(buffered.Status, method) {
		header.Set("Content-Length", strconv.Itoa(len(buffered.Body)))
	}
	announceTrailers(header, buffered.Trailer)
	w.WriteHeader(buffered.Status)
	if !bodyAllowed(buffered.Status, method) {
		return nil
	}
	if _, err := w.Write(buffered.Body); err != nil {
		return &callerError{err}
	}
	setTrailers(header, buffered.Trailer)
	return nil
}

// bodyAllowed reports whether a response to the method with the status may have
// a body.
func bodyAllowed(status int, method string) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// announceTrailers names the trailers in the Trailer header, before the head is
// written.
func announceTrailers(header, trailer http.Header) {
	for name := range trailer {
		header.Add("Trailer", name)
	}
}

func setTrailers(header, trailer http.Header) {
	for name, values := range trailer {
		header[name] = values
	}
}

// streamResponse passes on a long response: first the part already buffered,
// then the rest as it arrives. After an error the response to
// the caller must be aborted, since its head has been sent.
func streamResponse(w *replyWriter, response *http.Response, buffered io.Reader) error {
	header := w.Header()
	for name, values := range responseHeader(response.Header) {
		header[name] = values
	}
	header.Set(OutcomeHeader, string(outcome.Answered))
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	announceTrailers(header, response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, io.MultiReader(buffered, response.Body)); err != nil {
		return err
	}
	setTrailers(header, response.Trailer)
	return nil
}

// copyBody copies a body to the caller. A failed write is returned as a
// callerError, to distinguish it from a failed read.
func copyBody(w *replyWriter, body io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return &callerError{writeErr}
			}
			if writeErr := w.flush(); writeErr != nil {
				return &callerError{writeErr}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("stream answer: %w", err)
		}
	}
}
