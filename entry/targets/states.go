package targets

import (
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/health"
)

// logStates logs and counts the targets whose health state became another one;
// the lock is held.
func (s *service) logStates() {
	for _, name := range s.names {
		t := s.targets[name]
		state := s.judge.state(name)
		if state == t.state {
			continue
		}
		before := t.state
		t.state = state
		s.metrics.entered(state)
		if event, ok := eventOf(before, state); ok {
			event.Log(s.logger, "service", s.name, "target", name, "before", string(before))
		}
	}
}

// eventOf returns the event of a change that operators should see.
func eventOf(before, after health.State) (events.Event, bool) {
	switch {
	case after == health.Ejected:
		return events.TargetEjected, true
	case after == health.Avoided:
		return events.TargetAvoided, true
	case before == health.Ejected || before == health.Avoided:
		return events.TargetReturning, true
	}
	return events.Event{}, false
}
