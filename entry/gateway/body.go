package gateway

import (
	"bytes"
	"context"
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
	// rest is the body when it is longer than its buffered part; nil when that is all of it.
	rest *bodyStream
	// length is the length of the body, -1 when it is not known.
	length int64
	// hold is what is reserved for the request; nil for no bound.
	hold *hold
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
		b.rest, b.length = newBodyStream(buffered, restOf(r.Body, limit, len(buffered))), r.ContentLength
		return nil
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(r, err)
	}
	return nil
}

// restOf returns what is left of a body, up to the limit on all of it. It doesn't tell the writer of a
// body that is too large, as that changes the response's header, which another goroutine may write.
func restOf(source io.ReadCloser, limit int64, read int) io.Reader {
	if limit <= 0 {
		return source
	}
	return http.MaxBytesReader(nil, source, limit-int64(read))
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
	if !b.hold.growOrMakeRoom(size) {
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
	if !b.hold.growOrMakeRoom(size) {
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

// replayable reports whether an attempt can get the body from its first byte.
func (b *body) replayable() bool { return b.rest == nil || b.rest.replayable() }

// close ends the reading of the caller's body.
func (b *body) close() {
	if b.rest != nil {
		b.rest.close()
	}
}

// size returns the length of the body, or of its buffered part when the length is
// not known.
func (b *body) size() int64 { return max(b.length, int64(len(b.buffered))) }

// open returns the body for one attempt, or nil when it is not replayable. The attempt before it
// gets no more of a body that is streamed.
func (b *body) open() *bodyReader {
	r := &bodyReader{length: int64(len(b.buffered))}
	if b.rest == nil {
		r.Reader = bytes.NewReader(b.buffered)
		return r
	}
	stream := b.rest.open()
	if stream == nil {
		return nil
	}
	r.Reader, r.stream, r.length = stream, stream, b.length
	return r
}

// bodyReader reads the body for one attempt and records how much of it was read.
type bodyReader struct {
	io.Reader
	// stream is the reader of a body that is streamed; otherwise nil.
	stream *streamReader
	// length is the length of the body, -1 when it is not known.
	length int64
	read   atomic.Int64
	ended  atomic.Bool
}

// attach sets the body of an outgoing request.
func (r *bodyReader) attach(outgoing *http.Request) {
	if r.length == 0 {
		outgoing.Body = http.NoBody
		return
	}
	outgoing.Body, outgoing.ContentLength = r, r.length
}

// closeAfter ends the reading of a streamed body when the context ends: an attempt that waits for
// the caller would otherwise end with the caller's next bytes only.
func (r *bodyReader) closeAfter(ctx context.Context) {
	if r.stream != nil {
		context.AfterFunc(ctx, r.stream.end)
	}
}

// allSent reports whether all of the body was read.
func (r *bodyReader) allSent() bool {
	return r.ended.Load() || (r.length >= 0 && r.read.Load() >= r.length)
}

// Read reads from the body and counts the bytes.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	return n, err
}

// Close ends the reading for this attempt; the caller's connection stays open.
func (r *bodyReader) Close() error {
	if r.stream != nil {
		r.stream.end()
	}
	return nil
}
