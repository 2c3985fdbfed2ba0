package proxy

import (
	"context"
	"time"
)

// newcomerInterval is how often the members are looked through for new instances.
const newcomerInterval = 250 * time.Millisecond

// Run tells new instances about the quarantines in force until the context ends.
func (p *Proxy) Run(ctx context.Context) error {
	ticker := time.NewTicker(newcomerInterval)
	defer ticker.Stop()
	known := make(map[uint64]bool)
	for {
		if p.meet(known) {
			p.suspects.announce()
		}
		select {
		case <-ticker.C:
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

// announce publishes the quarantines in force with their remaining times.
func (s *suspects) announce() {
	now := s.options.Clock.Uptime()
	for _, row := range s.list() {
		if row.Quarantined {
			s.publish(row.Service, verdictNews(row.Fingerprint, row.Ends-now))
		}
	}
}
