package targetset

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/placement"
)

// ReasonPaused means that the targets have asked this VM for a pause.
const ReasonPaused placement.Reason = "target_paused"

// hold returns why a target takes no request of this VM now, and from which uptime it may
// take one; the lock is held.
func (m *Manager) hold(state notice.State, now time.Duration) (reason placement.Reason, until time.Duration) {
	if now < state.PausedUntil {
		return ReasonPaused, state.PausedUntil
	}
	return placement.ReasonNone, 0
}

// heldBack describes the targets of a service that take no request now but may later.
type heldBack struct {
	// reason is that of the target that takes a request first, at the uptime until; empty
	// when no target is held back.
	reason placement.Reason
	until  time.Duration
}

// add adds a target that is held back until an uptime.
func (h *heldBack) add(reason placement.Reason, until time.Duration) {
	if h.reason == placement.ReasonNone || until < h.until {
		h.reason, h.until = reason, until
	}
}

// refusal returns the refusal of a request for which no target was chosen. It names when
// the first target may take one, whether it is held back or busy now.
func (h heldBack) refusal(choice placement.Choice, now time.Duration) *Refusal {
	if h.reason == placement.ReasonNone {
		return &Refusal{Reason: choice.Reason, RetryAfter: choice.Wait}
	}
	wait := h.until - now
	if choice.Reason != placement.ReasonNoTarget {
		return &Refusal{Reason: choice.Reason, RetryAfter: min(choice.Wait, wait)}
	}
	return &Refusal{Reason: h.reason, RetryAfter: wait}
}
