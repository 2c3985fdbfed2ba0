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

// heldBodyBytes is the size up to which a request's body is held, so that it
// can be sent again after a target proved that it did not run.
const heldBodyBytes = 1 << 20

// body is a request's body: held whole, or held in part and streamed on.
type body struct {
	held []byte
	// rest is what follows the held part; nil when the body is held whole.
	rest io.Reader
	// length is the length announced, -1 when it is not known.
	length int64
	// streamed is true once rest was handed to a target.
	streamed bool
}

// read takes in the body up to the held size.
func (b *body) read(w http.ResponseWriter, r *http.Request, limit int64, due time.Time) *outcome.Refusal {
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
	if err := controller.SetReadDeadline(due); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(r, err)
	}
	held, err := io.ReadAll(io.LimitReader(source, heldBodyBytes+1))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(outcome.ReasonBodyTooLarge, outcome.StepParse, 0)
	case err != nil:
		return callerGone(r, err)
	}
	b.held = held
	b.length = int64(len(held))
	if len(held) > heldBodyBytes {
		b.rest, b.length = source, r.ContentLength
		return nil
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(r, err)
	}
	return nil
}

// callerGone refuses a request whose connection failed before it was read.
func callerGone(r *http.Request, cause error) *outcome.Refusal {
	return &outcome.Refusal{
		Outcome: outcome.NotRun, Reason: outcome.ReasonCallerGone, Step: outcome.StepParse, Peer: r.RemoteAddr, Cause: cause,
	}
}

// replayable reports whether the body can be sent to another target.
func (b *body) replayable() bool { return b.rest == nil || !b.streamed }

// size returns the length of the body, or of the part held while it is not known.
func (b *body) size() int64 { return max(b.length, int64(len(b.held))) }

// attach gives an outgoing request its body and returns whether all of it was sent.
func (b *body) attach(to *http.Request) (sent func() bool) {
	if len(b.held) == 0 {
		to.Body = http.NoBody
		return func() bool { return true }
	}
	reader := &sentReader{Reader: io.Reader(bytes.NewReader(b.held))}
	to.ContentLength = b.length
	if b.rest != nil {
		b.streamed = true
		reader.Reader = io.MultiReader(reader.Reader, b.rest)
	}
	to.Body = reader
	left := b.length
	return func() bool { return reader.ended.Load() || (left >= 0 && reader.read.Load() >= left) }
}

// sentReader notes how much of a body was taken.
type sentReader struct {
	io.Reader
	read  atomic.Int64
	ended atomic.Bool
}

// Read passes on the body.
func (s *sentReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.read.Add(int64(n))
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

// Close ends the reading; the caller's connection stays open.
func (s *sentReader) Close() error { return nil }
