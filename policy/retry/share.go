package retry

import (
	"sync"
	"time"
)

// windowTime is the time over which the platform counts repeats.
const windowTime = 10 * time.Second

// Parts of the fleet's budget that the VMs use. A part of the ratio is earned
// where its request arrives, so it needs little margin; the allowance is divided
// by what each VM knows of the others, and late news must not exceed it.
const (
	ratioUse     = 0.95
	allowanceUse = 0.8
)

// Share is one VM's part of a service's budget for repeats that all VMs draw
// on. The fleet may repeat a ratio of the requests plus a fixed allowance in
// any window; the ratio is earned where the requests are, and the allowance is
// divided among the VMs that serve callers. It is safe for concurrent use.
type Share struct {
	mu     sync.Mutex
	tokens float64
	at     time.Duration
	// ratio is earned with each request; allowance is the VM's part of the window's.
	ratio, allowance float64
}

// NewShare returns a full share.
func NewShare(ratio, allowance float64, vms int, now time.Duration) *Share {
	s := &Share{at: now}
	s.Reconfigure(ratio, allowance, vms, now)
	s.tokens = s.capacity()
	return s
}

// Reconfigure sets the fleet's ratio and allowance and the number of VMs that share
// them; zero VMs leave this one without a part of the allowance.
func (s *Share) Reconfigure(ratio, allowance float64, vms int, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	s.ratio = ratio * ratioUse
	s.allowance = 0
	if vms > 0 {
		s.allowance = allowance * allowanceUse / float64(vms)
	}
	s.tokens = min(s.tokens, s.capacity())
}

// capacity is half of the window's allowance; the other half flows in during
// the window, so that no window sees more than all of it.
func (s *Share) capacity() float64 { return max(s.allowance/2, 1) }

// refill lets the allowance flow in. The lock is held.
func (s *Share) refill(now time.Duration) {
	passed := now - s.at
	if passed <= 0 {
		return
	}
	s.at = now
	s.tokens = min(s.tokens+s.allowance/2*passed.Seconds()/windowTime.Seconds(), max(s.tokens, s.capacity()))
}

// Earn credits one request.
func (s *Share) Earn(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	s.tokens = min(s.tokens+s.ratio, max(s.tokens, s.capacity()))
}

// Spend pays one repeat and reports whether the share could.
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

// Refund gives back what was paid for a repeat that was not needed.
func (s *Share) Refund() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
}

// Available returns the repeats that the share could pay.
func (s *Share) Available(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill(now)
	return s.tokens
}
