package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// maxBufferedBodyBytes is the size up to which a request's body is buffered, so
// that it can be sent again after a target proved that it did not run the request.
const maxBufferedBodyBytes = 1 << 20

// errNoMemory means that the budget has no room for the body.
var errNoMemory = errors.New("no memory for the body")

// body is a request's body. It is buffered completely, or its beginning is
// buffered and the rest is streamed.
type body struct {
	buffered []byte
	// rest follows the buffered part; nil when the complete body is buffered.
	rest io.Reader
	// length is the length of the body, -1 when it is not known.
	length int64
	// hold is what is reserved for the request; nil for no bound.
	hold *hold
	// streamed is true once rest was passed to an attempt.
	streamed bool
}

// read buffers the body up to maxBufferedBodyBytes. It stops at the deadline.
func (b *body) read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) *outcome.Refusal {
	if limit > 0 && r.ContentLength > limit {
		return refuse(outcome.ReasonBodyTooLarge, outcome.StepParse, 0)
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, r.Body, limit)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(r, err)
	}
	buffered, err := b.buffer(source, r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return noMemory()
	case errors.As(err, &tooLarge):
		return refuse(outcome.ReasonBodyTooLarge, outcome.StepParse, 0)
	case err != nil:
		return callerGone(r, err)
	}
	b.buffered = buffered
	b.length = int64(len(buffered))
	if len(buffered) > maxBufferedBodyBytes {
		b.rest, b.length = source, r.ContentLength
		return nil
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(r, err)
	}
	return nil
}

// buffer reads a body up to maxBufferedBodyBytes and one byte. expected is its length, -1
// when it is not known.
func (b *body) buffer(source io.Reader, expected int64) ([]byte, error) {
	if b.hold == nil {
		return io.ReadAll(io.LimitReader(source, maxBufferedBodyBytes+1))
	}
	size := int64(smallPart)
	if expected >= 0 {
		size = min(expected, maxBufferedBodyBytes) + 1 // the further byte is where the end is seen
	}
	if !b.hold.grow(size) {
		return nil, errNoMemory
	}
	buffer, length := make([]byte, size), 0
	for {
		n, err := fill(source, buffer[length:])
		length += n
		switch {
		case errors.Is(err, io.EOF):
			return buffer[:length], nil
		case err != nil || length > maxBufferedBodyBytes:
			return buffer[:length], err
		}
		if buffer, err = b.grow(buffer); err != nil {
			return nil, err
		}
	}
}

// grow returns a buffer of twice the size with the same content.
func (b *body) grow(buffer []byte) ([]byte, error) {
	size := min(2*int64(len(buffer)), maxBufferedBodyBytes+1)
	if !b.hold.grow(size) {
		return nil, errNoMemory
	}
	larger := make([]byte, size)
	copy(larger, buffer)
	b.hold.shrink(b.hold.bytes - int64(len(buffer)))
	return larger, nil
}

// discard releases the body of a request that makes no further attempt.
func (b *body) discard() {
	b.buffered = nil
	b.hold.shrink(requestBytes)
}

// callerGone returns the refusal of a request whose connection failed before its
// body was read.
func callerGone(r *http.Request, cause error) *outcome.Refusal {
	return &outcome.Refusal{
		Outcome: outcome.NotRun, Reason: outcome.ReasonCallerGone, Step: outcome.StepParse, Peer: r.RemoteAddr, Cause: cause,
	}
}

// replayable reports whether the body can be sent to another target.
func (b *body) replayable() bool { return b.rest == nil || !b.streamed }

// size returns the length of the body, or of its buffered part when the length is
// not known.
func (b *body) size() int64 { return max(b.length, int64(len(b.buffered))) }

// open returns the body as it is forwarded to another VM.
func (b *body) open() io.ReadCloser {
	buffered := io.Reader(bytes.NewReader(b.buffered))
	if b.rest == nil {
		return io.NopCloser(buffered)
	}
	b.streamed = true
	return io.NopCloser(io.MultiReader(buffered, b.rest))
}

// attach sets the body of an outgoing request. The returned function reports
// whether all of the body was sent.
func (b *body) attach(outgoing *http.Request) (sent func() bool) {
	if len(b.buffered) == 0 {
		outgoing.Body = http.NoBody
		return func() bool { return true }
	}
	reader := &sentReader{Reader: io.Reader(bytes.NewReader(b.buffered))}
	outgoing.ContentLength = b.length
	if b.rest != nil {
		b.streamed = true
		reader.Reader = io.MultiReader(reader.Reader, b.rest)
	}
	outgoing.Body = reader
	length := b.length
	return func() bool { return reader.ended.Load() || (length >= 0 && reader.read.Load() >= length) }
}

// sentReader records how much of a body was read.
type sentReader struct {
	io.Reader
	read  atomic.Int64
	ended atomic.Bool
}

// Read reads from the body and counts the bytes.
func (s *sentReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

// Close does nothing; the caller's connection stays open.
func (s *sentReader) Close() error { return nil }
