package progress

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// slowReader returns a byte after each interval until the context ends.
type slowReader struct {
	ctx      context.Context
	interval time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	select {
	case <-time.After(r.interval):
		return copy(p, "x"), nil
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
}

// TestCallEndsWithoutProgress guards against calls that end in the middle of a response that
// arrives slowly, and against calls that wait for ever.
func TestCallEndsWithoutProgress(t *testing.T) {
	limits := Limits{Timeout: 2 * time.Second, Stall: time.Second, Reading: 10 * time.Second}
	for interval, want := range map[time.Duration]time.Duration{
		5 * time.Second:         2 * time.Second,                               // nothing arrives in time
		500 * time.Millisecond:  12 * time.Second,                              // never ends
		1500 * time.Millisecond: 2500 * time.Millisecond,                       // stalls after the first byte
		1800 * time.Millisecond: 1800*time.Millisecond + 1000*time.Millisecond, // the same
	} {
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			ctx, deadline, cancel := Begin(t.Context(), limits)
			defer cancel()
			_, err := io.Copy(io.Discard, deadline.Reader(slowReader{ctx, interval}))
			if took := time.Since(begun); err == nil || took != want {
				t.Errorf("a byte each %v: ended after %v, want %v (%v)", interval, took, want, err)
			}
		})
	}
}
