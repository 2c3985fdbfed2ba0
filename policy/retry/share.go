package retry

import (
	"sync"
	"time"
)

// budgetWindow is the time over which the platform counts retries.
const budgetWindow = 10 * time.Second

// Safety factors that keep the fleet within its budget. Each VM counts its own
// requests exactly, so ratioFactor leaves only a small margin. The allowance is
// divided by the number of VMs that each VM knows of; allowanceFactor keeps the
// fleet within the allowance while that number is out of date.
const (
	ratioFactor     = 0.95
	allowanceFactor = 0.8
)

// maxSurplus is the number of hedges that a VM can save up. It is small, since what is
// saved adds to the retries of the next window.
const maxSurplus = 1.0

// Share is one VM's part of a service's retry budget, which all VMs draw on. In
// any window the fleet may retry a ratio of the requests plus a fixed allowance.
// Each VM earns the ratio with the requests that it receives; the allowance is
// divided among the VMs that serve callers. Share is safe for concurrent use.
type Share struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Duration
	// surplus is what was earned while tokens were at their capacity. Only hedges use
	// it, so that they never take a token that a retry could have used.
	surplus float64
	// ratio is the number of tokens earned with each request; allowance is this
	// VM's part of the allowance of a window.
	ratio, allowance float64
}

// NewShare returns a share that is filled to its capacity.
func NewShare(ratio, allowance float64, vms int, now time.Duration) *Share {
	s := &Share{refilledAt: now}
	s.Reconfigure(ratio, allowance, vms, now)
	s.tokens = s.capacity()
	return s
}

// Reconfigure sets the fleet's ratio and allowance and the number of VMs that
// share them. With zero VMs, this one has no part of the allowance.
func (s *Share) Reconfigure(ratio, allowance float64, vms int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	s.ratio = ratio * ratioFactor
	s.allowance = 0
	if vms > 0 {
		s.allowance = allowance * allowanceFactor / float64(vms)
	}
	s.tokens = min(s.tokens, s.capacity())
}

// capacity returns the maximum number of tokens: half of the window's allowance,
// but at least one. The other half is added gradually during the window, so that
// no window exceeds an allowance of two or more.
func (s *Share) capacity() float64 { return max(s.allowance/2, 1) }

// refill adds the allowance for the time since the last refill. The caller holds
// the lock.
func (s *Share) refill(now time.Duration) {
	elapsed := now - s.refilledAt
	if elapsed <= 0 {
		return
	}
	s.refilledAt = now
	s.add(s.allowance / 2 * elapsed.Seconds() / budgetWindow.Seconds())
}

// add credits tokens; what exceeds the capacity becomes surplus. The caller holds the
// lock.
func (s *Share) add(earned float64) {
	kept := min(earned, max(s.capacity()-s.tokens, 0))
	s.tokens += kept
	s.surplus = min(s.surplus+earned-kept, maxSurplus)
}

// Earn credits one request.
func (s *Share) Earn(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	s.add(s.ratio)
}

// Spend takes the token of one retry and reports whether one was available.
func (s *Share) Spend(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// SpendSurplus takes the token of one hedge from what retries left over and reports
// whether one was available. Hedges and retries together stay within the budget.
func (s *Share) SpendSurplus(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	if s.surplus < 1 {
		return false
	}
	s.surplus--
	return true
}

// Refund returns the token of a retry that was not made.
func (s *Share) Refund() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
}

// Available returns the number of retries that the share can pay for.
func (s *Share) Available(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	return s.tokens
}
