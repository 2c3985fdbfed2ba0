package signals

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// observeInterval is how often the process observes its clock. A process that did not run for
	// maxUnnoticed or longer, because its VM was suspended or starved of processor time, may handle a
	// signal that much later than it was sent.
	observeInterval, maxUnnoticed = 100 * time.Millisecond, 300 * time.Millisecond
)

// Stop is the cause with which the context of a planned stop ends.
type Stop struct {
	// Handled is when the process handled the signal. Late is how much earlier it may have been
	// sent: the platform counts the grace period from then.
	Handled time.Time
	Late    time.Duration
}

// Error describes the stop.
func (s *Stop) Error() string {
	return fmt.Sprintf("planned stop, of a signal that was sent up to %v before it was handled", s.Late)
}

// StopOf returns the planned stop that ended a context. One that ended for another reason begins now.
func StopOf(ctx context.Context) Stop {
	var stop *Stop
	if errors.As(context.Cause(ctx), &stop) {
		return *stop
	}
	return Stop{Handled: time.Now()}
}

// Sent returns the earliest time at which the signal may have been sent.
func (s Stop) Sent() time.Time { return s.Handled.Add(-s.Late) }
