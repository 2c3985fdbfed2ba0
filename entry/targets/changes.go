package targets

import (
	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/health"
)

// changes remembers what was logged last about a service.
type changes struct {
	states map[string]health.State
	keeper string
}

// logChanges emits an event for each target that went out or returned since the
// last call, and for a change of keeper.
func (s *service) logChanges(logger *log.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make(map[string]health.State, len(s.names))
	for _, name := range s.names {
		state := s.judge.state(name)
		states[name] = state
		s.logState(logger, name, s.changes.states[name], state)
	}
	s.changes.states = states
	if s.leases == nil {
		return
	}
	if keeper := s.leases.lessee.Lessor(); keeper != s.changes.keeper {
		events.LessorChanged.Log(logger, "service", s.name, "keeper", keeper, "before", s.changes.keeper)
		s.changes.keeper = keeper
	}
}

func (s *service) logState(logger *log.Logger, name string, before, state health.State) {
	if before == state {
		return
	}
	s.metrics.entered(state)
	wasOut := before == health.Ejected || before == health.Avoided
	switch {
	case state == health.Ejected:
		events.TargetEjected.Log(logger, "service", s.name, "target", name, "rule", s.judge.explain("", name)[0].Rule)
	case state == health.Avoided:
		events.TargetAvoided.Log(logger, "service", s.name, "target", name)
	case wasOut:
		events.TargetReturned.Log(logger, "service", s.name, "target", name, "state", string(state))
	}
}
