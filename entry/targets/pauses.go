package targets

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// minPause and maxPause bound how long a target gets no new work after it shed a request
// without saying for how long.
const (
	minPause = 5 * time.Millisecond
	maxPause = 100 * time.Millisecond
)

// pauseTarget gives no new work to a target that shed a request, for the time that it asked
// for and at least for about the time in which one of its slots becomes free; the lock must
// be held.
func (s *service) pauseTarget(now time.Time, name string, asked time.Duration) {
	t, ok := s.targets[name]
	if !ok {
		return
	}
	pause := s.meanServiceTime / time.Duration(max(s.definition.Slots, 1))
	pause = max(min(max(pause, minPause), maxPause), asked)
	until := now.Add(pause)
	if !until.After(t.pausedUntil) {
		return
	}
	t.pausedUntil = until
	s.balancer.SetPaused(name, true)
	time.AfterFunc(pause, func() { s.endPause(name) })
}

// endPause admits a target again unless a longer pause has begun.
func (s *service) endPause(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if t, ok := s.targets[name]; ok && now.Before(t.pausedUntil) {
		return
	}
	s.balancer.SetPaused(name, false)
	s.serveQueue(now)
}

// pausedTargets returns the names of the targets that get no new work for a time; the lock
// must be held.
func (s *service) pausedTargets(now time.Time) []string {
	var paused []string
	for _, name := range s.targetNames {
		if now.Before(s.targets[name].pausedUntil) {
			paused = append(paused, name)
		}
	}
	return paused
}

// refusePaused refuses a request when all targets that it could use pause beyond its
// deadline; the lock must be held.
func (s *service) refusePaused(now time.Time, want balance.Criteria, deadline time.Time) *outcome.Refusal {
	paused := s.pausedTargets(now)
	if len(paused) == 0 {
		return nil
	}
	want.Exclude = append(slices.Clone(want.Exclude), paused...)
	if s.balancer.CountUsable(want) > 0 {
		return nil
	}
	first := s.targets[paused[0]].pausedUntil
	for _, name := range paused[1:] {
		if until := s.targets[name].pausedUntil; until.Before(first) {
			first = until
		}
	}
	if !first.After(deadline) {
		return nil
	}
	return refuse(outcome.ReasonTargetPaused, first.Sub(now), nil)
}
