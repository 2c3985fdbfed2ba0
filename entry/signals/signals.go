// Package signals turns the signals of the process into a planned stop and into reloads.
//
// SIGTERM or SIGINT begins a planned stop. The platform or a service manager may repeat SIGTERM
// during the grace period, and ends a process that outlasts it by SIGKILL, so a signal that arrives
// during the stop does not cut it short. Only a second SIGINT without a SIGTERM, such as the second
// Ctrl-C at a terminal, ends the process at once.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/dispatch"
)

// maxPending is the number of signals that may wait to be handled; further ones are dropped.
const maxPending = 8

// action is what a signal causes.
type action int

const (
	beginStop action = iota
	ignore
	endAtOnce
)

// Handler receives the signals of the process.
type Handler struct {
	received, reloads chan os.Signal
	// pauses tells for how long the process may not have run before it handles a signal.
	pauses dispatch.PauseDetector
	clock  uptime.Clock
	// beganAt is when the planned stop began.
	beganAt time.Time
	// stopping is true from the first signal, interrupted and terminated from the first SIGINT and
	// the first SIGTERM.
	stopping, interrupted, terminated bool
}

// Register begins to receive SIGTERM and SIGINT, which wait until StopContext is called. Call it
// before the first listener opens: until then, the default action of a signal ends the process.
func Register() *Handler {
	h := newHandler(uptime.NewBootClock())
	signal.Notify(h.received, syscall.SIGTERM, os.Interrupt)
	return h
}

func newHandler(clock uptime.Clock) *Handler {
	h := &Handler{received: make(chan os.Signal, maxPending), clock: clock, pauses: dispatch.PauseDetector{Threshold: maxUnnoticed}}
	h.pauses.Observe(clock.Uptime())
	return h
}

// RegisterWithReloads is Register, and begins to receive SIGHUP as well.
func RegisterWithReloads() *Handler {
	h := Register()
	h.reloads = make(chan os.Signal, 1)
	signal.Notify(h.reloads, syscall.SIGHUP)
	return h
}

// Reloads returns the channel that receives SIGHUP. At most one waits there to be handled.
func (h *Handler) Reloads() <-chan os.Signal { return h.reloads }

// StopContext returns a context that the first SIGTERM or SIGINT ends, with a *Stop as its cause. The
// signals are handled until the process ends.
func (h *Handler) StopContext(ctx context.Context, logger *log.Logger) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	if h.clock == nil {
		h.clock = uptime.NewBootClock()
	}
	go h.run(cancel, logger)
	return ctx
}

func (h *Handler) run(stop context.CancelCauseFunc, logger *log.Logger) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.pauses.Observe(h.clock.Uptime())
		case received := <-h.received:
			h.handle(received, stop, logger)
		}
	}
}

// handle does what a signal causes.
func (h *Handler) handle(received os.Signal, stop context.CancelCauseFunc, logger *log.Logger) {
	late := h.pauses.Observe(h.clock.Uptime())
	switch h.actionFor(received) {
	case beginStop:
		h.beganAt = time.Now()
		// The default action of SIGHUP would end the process during the stop.
		signal.Notify(h.received, syscall.SIGHUP)
		stop(&Stop{Handled: h.beganAt, Late: late})
	case ignore:
		events.SignalIgnored.Log(logger, "signal", received.String(), "after_ms", time.Since(h.beganAt).Milliseconds())
	case endAtOnce:
		endBy(received)
	}
}

// actionFor returns what a signal causes after those before it.
func (h *Handler) actionFor(received os.Signal) action {
	if h.interrupted && !h.terminated && received == os.Interrupt {
		return endAtOnce
	}
	h.terminated = h.terminated || received == syscall.SIGTERM
	h.interrupted = h.interrupted || received == os.Interrupt
	if h.stopping {
		return ignore
	}
	h.stopping = true
	return beginStop
}

// endBy ends the process by the default action of a signal, so that its parent sees the cause.
func endBy(received os.Signal) {
	signal.Reset(received)
	if number, ok := received.(syscall.Signal); ok {
		_ = syscall.Kill(os.Getpid(), number) // a process may always signal itself
	}
}
