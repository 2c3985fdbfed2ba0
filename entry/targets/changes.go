package targets

import (
	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/health"
)

// loggedState holds the state of a service that was logged last.
type loggedState struct {
	states map[string]health.State
	lessor string
}

// logChanges logs an event for each target that was ejected, avoided or returned
// since the last call, and for a change of the lessor.
func (s *service) logChanges(logger *log.Logger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make(map[string]health.State, len(s.targetNames))
	for _, name := range s.targetNames {
		state := s.evaluator.state(name)
		states[name] = state
		s.logStateChange(logger, name, s.lastLogged.states[name], state)
	}
	s.lastLogged.states = states
	if s.leases == nil {
		return
	}
	if lessor := s.leases.lessee.Lessor(); lessor != s.lastLogged.lessor {
		events.LessorChanged.Log(logger, "service", s.name, "keeper", lessor, "before", s.lastLogged.lessor)
		s.lastLogged.lessor = lessor
	}
}

func (s *service) logStateChange(logger *log.Logger, name string, before, state health.State) {
	if before == state {
		return
	}
	s.metrics.countStateChange(state)
	wasOutOfService := before == health.Ejected || before == health.Avoided
	switch {
	case state == health.Ejected:
		events.TargetEjected.Log(logger, "service", s.name, "target", name, "rule", s.evaluator.explain("", name)[0].Rule)
	case state == health.Avoided:
		events.TargetAvoided.Log(logger, "service", s.name, "target", name)
	case wasOutOfService:
		events.TargetReturned.Log(logger, "service", s.name, "target", name, "state", string(state))
	}
}
