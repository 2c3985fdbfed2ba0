package dispatch

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// WriteChecker decides, right before the first byte of an attempt is written,
// whether the attempt may still be sent.
type WriteChecker interface {
	// CheckWrite returns a refusal when the deadline has passed or the key's
	// window has closed. Key is nil for a request without a key. Deadline and
	// uptime are on the instance's clock, which includes suspended time.
	CheckWrite(key *Key, deadline, uptime time.Duration) error
}

// CheckWrite implements WriteChecker.
func (Rules) CheckWrite(key *Key, deadline, uptime time.Duration) error {
	if uptime >= deadline {
		return refuseWrite(outcome.ReasonDeadlineExceeded)
	}
	if key != nil && WindowStateAt(key.Window, uptime) == WindowClosed {
		return refuseWrite(outcome.ReasonKeyWindowClosed)
	}
	return nil
}

func refuseWrite(reason outcome.Reason) error {
	return &outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Step: outcome.StepWrite}
}
