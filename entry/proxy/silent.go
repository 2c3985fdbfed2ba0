package proxy

import (
	"context"
	"sync"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/internal/liveness"
)

const (
	// maxCheckedTargets bounds the silent targets that are checked at a time, and
	// maxCallsPerCheck the requests whose suspicion a check decides.
	maxCheckedTargets, maxCallsPerCheck = 64, 64
)

// silentTargets finds out whether targets that fell silent have crashed.
type silentTargets struct {
	options  Options
	suspects *suspects

	mu sync.Mutex
	// waiting holds, by target that is being checked, the requests that it ran when it
	// fell silent.
	waiting map[string][]*call
}

func newSilentTargets(options Options, suspects *suspects) *silentTargets {
	return &silentTargets{options: options, suspects: suspects, waiting: make(map[string][]*call)}
}

// check finds out in the background whether a target crashed on a request; the
// response to the caller does not wait for it.
func (s *silentTargets) check(c *call, target document.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, checking := s.waiting[target.Name]
	if !checking && len(s.waiting) >= maxCheckedTargets || len(calls) >= maxCallsPerCheck {
		return
	}
	s.waiting[target.Name] = append(calls, c)
	if !checking {
		go s.run(target, controlsOf(c.service, target))
	}
}

// controlsOf returns the addresses of some other targets of a service.
func controlsOf(service *document.Service, target document.Target) []string {
	var addresses []string
	for _, other := range service.Targets {
		if other.Name != target.Name && len(addresses) < liveness.MaxControls {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// run checks a target and records its crash for the requests that it ran.
func (s *silentTargets) run(target document.Target, controls []string) {
	found := liveness.Check(context.Background(), s.options.Network, target.Address, controls)
	s.mu.Lock()
	calls := s.waiting[target.Name]
	delete(s.waiting, target.Name)
	s.mu.Unlock()
	if found != liveness.Crashed && found != liveness.Silent {
		return
	}
	for _, c := range calls {
		s.suspects.recordCrash(c, target.Name, found == liveness.Silent)
	}
}
