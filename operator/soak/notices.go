package soak

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
)

const (
	// minLimit and maxLimit bound the requests a second that a target limits itself to, and
	// minLimitTime and maxLimitTime for how long.
	minLimit, maxLimit         = 0.5, 4.0
	minLimitTime, maxLimitTime = 6 * time.Second, 10 * time.Second
	// limitedTargets is the number of targets that limit themselves at the same time.
	limitedTargets = 3
	// minPause and maxPause bound the pause that a target asks for, and maxPausing for how
	// long it refuses all requests and asks for it.
	minPause, maxPause = 800 * time.Millisecond, 3 * time.Second
	maxPausing         = time.Second
	// maxSilentLeaving bounds the time between the first response in which a target says
	// that it leaves and the entry that says so.
	maxSilentLeaving = 2500 * time.Millisecond
)

// limitTargets makes some targets limit their requests for a while.
func (s *series) limitTargets() {
	var limited []*target
	for range limitedTargets {
		t := s.soak.drawTarget(s.random)
		limit := minLimit + (maxLimit-minLimit)*s.random.Float64()
		t.say(func(said *notice.Notice) { said.IsLimited, said.RateLimit = true, limit })
		limited = append(limited, t)
		s.soak.countFault("limit")
	}
	time.Sleep(s.drawDuration(minLimitTime, maxLimitTime))
	for _, t := range limited {
		t.say(func(said *notice.Notice) { said.IsLimited, said.RateLimit = false, 0 })
	}
}

// pauseTarget makes a target refuse all requests for a while and ask each daemon for a
// pause.
func (s *series) pauseTarget() {
	t := s.soak.drawTarget(s.random)
	s.soak.countFault("pause")
	pause := s.drawDuration(minPause, maxPause)
	t.say(func(said *notice.Notice) { said.Pause = pause })
	time.Sleep(s.drawDuration(0, maxPausing))
	t.say(func(said *notice.Notice) { said.Pause = 0 })
}
