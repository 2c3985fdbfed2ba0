package contract

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// RoundTrip holds the proxy's options for one call of SlotLease.RoundTrip and
// what that call reports back. It is passed in the request's context, see
// WithRoundTrip.
type RoundTrip struct {
	// BeforeWrite is called when the connection is ready, immediately before the
	// first byte is written. If it returns an error, the attempt ends and no
	// byte is written.
	BeforeWrite func() error
	// NewConnection demands a new connection instead of an idle one from the
	// pool.
	NewConnection bool
	// OpenConnectionOnly demands a connection from the pool: no new one is opened.
	OpenConnectionOnly bool
	// MaxIdle limits how long a connection from the pool may have been idle;
	// zero means the pool's own limit.
	MaxIdle time.Duration
	// RequestID identifies the request, also when its caller sends it again; empty for none. No
	// connection on which a request with the same identifier was refused is used: the target
	// may write that refusal once more, which then looks like one of this attempt.
	RequestID string
	// HoldHead reserves memory for the head of a response that is larger than a usual one. It is
	// called with the bytes that the head needs so far, possibly several times, and reports whether
	// there is room for them; otherwise the attempt ends. Nil means that there always is.
	HoldHead func(bytes int64) bool
	// StallLimit limits the time from the write of the request to the first byte
	// of the response on a new connection; zero means no limit but the context.
	StallLimit time.Duration
	// ReusedStallLimit is the same limit for a reused connection.
	ReusedStallLimit time.Duration

	written atomic.Bool
	// wroteAt is when bytes of the request were last written, with the monotonic clock's
	// reading: a step of the time of day is no silence of the target.
	wroteAt atomic.Pointer[time.Time]
	reused  atomic.Bool
}

// MarkWritten records that a byte of the request is about to be passed to the
// operating system; from then on the target may run the request.
func (r *RoundTrip) MarkWritten() { r.written.Store(true) }

// Written reports whether a byte of the request may have reached the target.
func (r *RoundTrip) Written() bool { return r.written.Load() }

// MarkWrote records that bytes of the request have been passed to the operating system.
func (r *RoundTrip) MarkWrote() {
	now := time.Now()
	r.wroteAt.Store(&now)
}

// SinceWrite returns the time since bytes of the request were last written; zero before the
// first.
func (r *RoundTrip) SinceWrite() time.Duration {
	at := r.wroteAt.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

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

// RoundTripError is the error of SlotLease.RoundTrip and of reading the body of
// its response.
type RoundTripError struct {
	// Kind is AttemptRefused for a failed connect, AttemptReset for a closed
	// connection, AttemptTimedOut for an exceeded time limit, AttemptTruncated
	// for a truncated body, AttemptWrong for a response that is not HTTP, and
	// AttemptCanceled when BeforeWrite or the caller ended the attempt.
	Kind   AttemptKind
	Target string
	Cause  error
}

// Error returns a text with the target, the kind and the cause.
func (e *RoundTripError) Error() string {
	return fmt.Sprintf("round trip to target %s: %s: %v", e.Target, e.Kind, e.Cause)
}

// Unwrap returns the underlying error.
func (e *RoundTripError) Unwrap() error { return e.Cause }
