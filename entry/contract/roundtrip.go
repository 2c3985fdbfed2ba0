package contract

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// RoundTrip is what the proxy asks of one Grant.RoundTrip and what it learns
// from it. It travels in the request's context, see WithRoundTrip.
type RoundTrip struct {
	// BeforeWrite is called after the connection is ready and right before the
	// first byte is written. An error ends the attempt with no byte written.
	BeforeWrite func() error
	// NewConnection asks for a new connection in place of one from the pool.
	NewConnection bool
	// MaxIdle bounds the idle time of a connection from the pool; zero for the
	// pool's own bound.
	MaxIdle time.Duration
	// StallLimit bounds the time from the write of the request to the answer's
	// first byte on a new connection; zero for no bound besides the context.
	StallLimit time.Duration
	// ReusedStallLimit is the same bound on a connection used before.
	ReusedStallLimit time.Duration

	written atomic.Bool
	reused  atomic.Bool
}

// MarkWritten records that a byte of the request is about to be handed to the
// operating system; from then on the target may run the request.
func (r *RoundTrip) MarkWritten() { r.written.Store(true) }

// Written reports whether a byte of the request may have reached the target.
func (r *RoundTrip) Written() bool { return r.written.Load() }

// MarkReused records that the connection had carried a request before.
func (r *RoundTrip) MarkReused() { r.reused.Store(true) }

// Reused reports whether the connection had carried a request before.
func (r *RoundTrip) Reused() bool { return r.reused.Load() }

type roundTripKey struct{}

// WithRoundTrip attaches a RoundTrip to a request's context.
func WithRoundTrip(ctx context.Context, trip *RoundTrip) context.Context {
	return context.WithValue(ctx, roundTripKey{}, trip)
}

// RoundTripFrom returns the RoundTrip of a context, or an empty one.
func RoundTripFrom(ctx context.Context) *RoundTrip {
	if trip, ok := ctx.Value(roundTripKey{}).(*RoundTrip); ok {
		return trip
	}
	return &RoundTrip{}
}

// RoundTripError is the error of Grant.RoundTrip, and of reading the body of
// the response that it returned.
type RoundTripError struct {
	// Kind is AttemptRefused for a failed connect, AttemptReset for a
	// connection that closed, AttemptTimedOut for a passed bound,
	// AttemptTruncated for a body that broke off, AttemptWrong for an answer
	// that is not HTTP, and AttemptCanceled when BeforeWrite or the caller
	// ended the attempt.
	Kind   AttemptKind
	Target string
	Cause  error
}

// Error renders the error with its peer.
func (e *RoundTripError) Error() string {
	return fmt.Sprintf("round trip to target %s: %s: %v", e.Target, e.Kind, e.Cause)
}

// Unwrap returns the underlying error.
func (e *RoundTripError) Unwrap() error { return e.Cause }
