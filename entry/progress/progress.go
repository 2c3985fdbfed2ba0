// Package progress ends calls whose response stalls. Unlike a fixed time limit, it does not end a
// large response that keeps arriving, until a generous limit on the whole call.
package progress

import (
	"context"
	"io"
	"time"
)

// Limits bounds a call.
type Limits struct {
	// Timeout is the time until the call ends if nothing of its response arrives.
	Timeout time.Duration
	// Stall is the longest time without a further byte of a response that has begun. It does not
	// end a call before its Timeout.
	Stall time.Duration
	// Reading is the longest time beyond the Timeout that a response may take while its bytes
	// keep arriving.
	Reading time.Duration
}

// Deadline ends a call unless bytes of its response keep arriving.
type Deadline struct {
	limits Limits
	begun  time.Time
	timer  *time.Timer
}

// Begin returns the context of a call that begins now, which is canceled at a limit. The response
// must be read from the Deadline's Reader. The caller must call the cancel function.
func Begin(parent context.Context, limits Limits) (context.Context, *Deadline, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, limits.Timeout+limits.Reading)
	d := &Deadline{limits: limits, begun: time.Now(), timer: time.AfterFunc(limits.Timeout, cancel)}
	return ctx, d, func() {
		d.timer.Stop()
		cancel()
	}
}

// Reader returns a reader of the call's response that postpones the Deadline with each read.
func (d *Deadline) Reader(response io.Reader) io.Reader {
	return &reader{response: response, deadline: d}
}

type reader struct {
	response io.Reader
	deadline *Deadline
}

// Read reads from the response.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.response.Read(p)
	if d := r.deadline; n > 0 {
		d.timer.Reset(max(d.limits.Stall, time.Until(d.begun.Add(d.limits.Timeout))))
	}
	return n, err
}
