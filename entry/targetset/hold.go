package targetset

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/ratelimit"
)

// Reasons for which targets are held back.
const (
	// ReasonPaused means that the targets have asked this VM for a pause.
	ReasonPaused placement.Reason = "target_paused"
	// ReasonLimited means that the rate is used up to which the targets limit their requests.
	ReasonLimited placement.Reason = "target_limited"
)

const (
	// shareLifetime is how long a computed share of a target's limit is used.
	shareLifetime = 200 * time.Millisecond
	// maxTurnWait bounds the time after which callers of a VM without a share of the limit
	// may come back; they may reach a VM that has one.
	maxTurnWait = time.Second
)

// hold returns why a target takes no request of this VM now, and from which uptime it may
// take one; the lock is held.
func (m *Manager) hold(t *target, state notice.State, now time.Duration) (reason placement.Reason, until time.Duration) {
	if now < state.PausedUntil {
		return ReasonPaused, state.PausedUntil
	}
	if !state.IsLimited {
		t.limiter = limiter{}
		return placement.ReasonNone, 0
	}
	wait, ok := t.limiter.bucket.Wait(m.shareOf(t, state.RateLimit, now), now)
	switch {
	case !ok:
		return ReasonLimited, now + turnWait(state.RateLimit)
	case wait > 0:
		return ReasonLimited, now + wait
	}
	return placement.ReasonNone, 0
}

// turnWait returns the time between two requests that a limited target takes, at most
// maxTurnWait.
func turnWait(perSecond float64) time.Duration {
	if perSecond*maxTurnWait.Seconds() <= 1 {
		return maxTurnWait
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// limiter is this VM's part in the limit of a target.
type limiter struct {
	bucket ratelimit.Bucket
	// share is this VM's share of the limit perSecond until an uptime, both in requests a
	// second.
	share, perSecond float64
	shareUntil       time.Duration
}

// shareOf returns this VM's share of a target's limit; the lock is held.
func (m *Manager) shareOf(t *target, perSecond float64, now time.Duration) float64 {
	if now >= t.limiter.shareUntil || t.limiter.perSecond != perSecond {
		t.limiter.share = m.options.RateShare(t.info.ID, perSecond)
		t.limiter.perSecond, t.limiter.shareUntil = perSecond, now+shareLifetime
	}
	return t.limiter.share
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
