package dispatch

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// WriteChecker decides right before the first byte of an attempt is written whether
// it may still be sent.
type WriteChecker interface {
	// CheckWrite returns a refusal when the deadline has passed or the key's
	// window has closed. Key is nil for a request without a key. Deadline and
	// uptime are on the instance's clock that counts suspension.
	CheckWrite(key *Key, deadline, uptime time.Duration) error
}

// CheckWrite implements Guard.
func (Rules) CheckWrite(key *Key, deadline, uptime time.Duration) error {
	if uptime >= deadline {
		return lateWrite(outcome.ReasonDeadlineExceeded)
	}
	if key != nil && WindowStateAt(key.Window, uptime) == WindowClosed {
		return lateWrite(outcome.ReasonKeyWindowClosed)
	}
	return nil
}

func lateWrite(reason outcome.Reason) error {
	return &outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Step: outcome.StepWrite}
}
