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

// copyBytes is the size of the pieces in which long answers are passed on.
const copyBytes = 32 << 10

var errNoEnd = errors.New("the end of the answer could not be told from a truncation")

// callerError is a failure to write towards the caller.
type callerError struct{ cause error }

// Error tells that the caller's side failed.
func (e *callerError) Error() string { return fmt.Sprintf("write answer to caller: %v", e.cause) }

// Unwrap returns the underlying error.
func (e *callerError) Unwrap() error { return e.cause }

// hold reads an answer. One up to the hold limit is read whole and returned
// before the caller gets its first byte; a longer one is streamed to the
// caller and nil is returned.
func (p *Proxy) hold(w *replyWriter, response *http.Response, method string) (*dispatch.Response, error) {
	if !bodyAllowed(response.StatusCode, method) {
		answer := &dispatch.Response{Status: response.StatusCode, Header: answerHeader(response.Header)}
		keepLength(answer.Header, response, method)
		return answer, nil
	}
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return nil, errNoEnd
	}
	limit := p.reserveHold(response.ContentLength)
	defer p.held.Add(-limit)
	var body bytes.Buffer
	_, err := io.CopyN(&body, response.Body, limit+1)
	if errors.Is(err, io.EOF) {
		answer := &dispatch.Response{
			Status:  response.StatusCode,
			Header:  answerHeader(response.Header),
			Body:    body.Bytes(),
			Trailer: response.Trailer,
		}
		return answer, nil
	}
	if err != nil {
		return nil, fmt.Errorf("hold answer after %d bytes: %w", body.Len(), err)
	}
	if w.noChunks && response.ContentLength < 0 {
		return nil, errNoEnd
	}
	return nil, stream(w, response, &body)
}

// reserveHold returns how much of an answer of a length may be held.
func (p *Proxy) reserveHold(length int64) int64 {
	limit := p.limits.HeldAnswerBytes
	if length > limit {
		return 0
	}
	if length >= 0 {
		limit = length
	}
	if p.held.Add(limit) > p.limits.HeldBytes {
		p.held.Add(-limit)
		return 0
	}
	return limit
}

// keepLength keeps the length that a HEAD answer states.
func keepLength(header http.Header, response *http.Response, method string) {
	if method == http.MethodHead && response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
}

// reply sends a whole answer to the caller, if there is one.
func reply(w *replyWriter, answer *dispatch.Response, method string, result outcome.Outcome) error {
	if answer == nil {
		return nil
	}
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(OutcomeHeader, string(result))
	if len(answer.Trailer) == 0 && bodyAllowed(answer.Status, method) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	announce(header, answer.Trailer)
	w.WriteHeader(answer.Status)
	if !bodyAllowed(answer.Status, method) {
		return nil
	}
	if _, err := w.Write(answer.Body); err != nil {
		return &callerError{err}
	}
	setTrailers(header, answer.Trailer)
	return nil
}

// bodyAllowed reports whether an answer has a body by its method and status.
func bodyAllowed(status int, method string) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// announce names the trailers before the head is written.
func announce(header, trailer http.Header) {
	for name := range trailer {
		header.Add("Trailer", name)
	}
}

func setTrailers(header, trailer http.Header) {
	for name, values := range trailer {
		header[name] = values
	}
}

// stream passes on a long answer: what was held first, then the rest as it
// comes. An error after the head aborts the reply towards the caller.
func stream(w *replyWriter, response *http.Response, held io.Reader) error {
	header := w.Header()
	for name, values := range answerHeader(response.Header) {
		header[name] = values
	}
	header.Set(OutcomeHeader, string(outcome.Answered))
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	announce(header, response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := pump(w, io.MultiReader(held, response.Body)); err != nil {
		return err
	}
	setTrailers(header, response.Trailer)
	return nil
}

// pump copies a body and tells the two sides' errors apart.
func pump(w *replyWriter, body io.Reader) error {
	piece := make([]byte, copyBytes)
	for {
		n, err := body.Read(piece)
		if n > 0 {
			if _, failed := w.Write(piece[:n]); failed != nil {
				return &callerError{failed}
			}
			if failed := w.flush(); failed != nil {
				return &callerError{failed}
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
