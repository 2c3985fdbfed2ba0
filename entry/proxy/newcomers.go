package proxy

import (
	"context"
	"time"

	"github.com/primroseloom/primroseloom/policy/dispatch"
)

// newcomerInterval is how often the members are looked through for new instances.
const newcomerInterval = 250 * time.Millisecond

// Run watches for pauses of the process and tells new instances about the
// suspects and quarantines, until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	p.pause.start(p.options.Clock)
	defer p.pause.stop()
	newcomers := time.NewTicker(newcomerInterval)
	defer newcomers.Stop()
	alive := time.NewTicker(dispatch.PauseInterval)
	defer alive.Stop()
	known := make(map[uint64]bool)
	for {
		select {
		case <-alive.C:
			p.pause.spent()
		case <-newcomers.C:
			if p.meet(known) {
				p.suspects.announce()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// meet updates the known instances and reports whether there are new ones.
func (p *Proxy) meet(known map[uint64]bool) bool {
	present := make(map[uint64]bool)
	fresh := false
	for _, member := range p.options.Members.Members() {
		present[member.GetInstance()] = true
		fresh = fresh || !known[member.GetInstance()]
		known[member.GetInstance()] = true
	}
	for instance := range known {
		if !present[instance] {
			delete(known, instance)
		}
	}
	return fresh
}

// announce publishes the suspects, and the quarantines in force with their
// remaining times.
func (s *suspects) announce() {
	now := s.options.Clock.Uptime()
	for _, row := range s.list() {
		if row.Quarantined {
			s.publish(row.Service, verdictNews(row.Fingerprint, row.ExpiresAt-now))
			continue
		}
		s.publish(row.Service, recallNews(row.Fingerprint, row.Targets[0]))
	}
}
