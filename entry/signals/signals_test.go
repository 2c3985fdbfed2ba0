package signals

import (
	"context"
	"io"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// TestOnlyASecondInterruptEndsAtOnce guards against a planned stop that a repeated SIGTERM cuts
// short, and against a process that can't be ended from a terminal.
func TestOnlyASecondInterruptEndsAtOnce(t *testing.T) {
	const term, interrupt, hangUp = syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP
	for _, c := range []struct {
		received []os.Signal
		want     []action
	}{
		{[]os.Signal{term, term, term}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{term, interrupt, interrupt}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{term, hangUp, hangUp}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{interrupt, term, interrupt}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{interrupt, hangUp, interrupt}, []action{beginStop, ignore, endAtOnce}},
		{[]os.Signal{interrupt, interrupt}, []action{beginStop, endAtOnce}},
	} {
		var h Handler
		var got []action
		for _, received := range c.received {
			got = append(got, h.actionFor(received))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%v caused %v, want %v", c.received, got, c.want)
		}
	}
}

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Uptime() time.Duration { return c.now }

// TestSignalOfAPauseWasSentDuringIt guards against a planned stop that counts its grace period from when
// a process handled its signal, though it did not run when the signal was sent.
func TestSignalOfAPauseWasSentDuringIt(t *testing.T) {
	for _, c := range []struct {
		// gaps are the times between observations; the last one is that before the signal.
		gaps []time.Duration
		want time.Duration
	}{
		{[]time.Duration{observeInterval, observeInterval}, 0},
		{[]time.Duration{observeInterval, 200 * time.Millisecond}, 0},
		{[]time.Duration{observeInterval, 2 * time.Second}, 2 * time.Second},
		{[]time.Duration{2 * time.Second, 10 * time.Millisecond}, 2 * time.Second},
		{[]time.Duration{2 * time.Second, observeInterval, 3 * time.Second}, 3 * time.Second},
	} {
		clock := &manualClock{now: time.Hour}
		h := newHandler(clock)
		last := len(c.gaps) - 1
		for _, gap := range c.gaps[:last] {
			clock.now += gap
			h.pauses.Observe(clock.now)
		}
		clock.now += c.gaps[last]
		ctx, cancel := context.WithCancelCause(t.Context())
		h.handle(syscall.SIGTERM, cancel, log.New(io.Discard))
		if got := StopOf(ctx); got.Late != c.want || got.Handled.Sub(got.Sent()) != c.want {
			t.Errorf("after gaps of %v the stop is %v late, want %v", c.gaps, got.Late, c.want)
		}
	}
	if got := StopOf(t.Context()); got.Late != 0 {
		t.Errorf("a stop without a signal is %v late", got.Late)
	}
}
