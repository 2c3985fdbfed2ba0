package proxy

import (
	"context"
	"maps"
	"time"

	"github.com/primroseloom/primroseloom/policy/dispatch"
)

// memberCheckInterval is how often the members are checked for new instances.
const memberCheckInterval = 250 * time.Millisecond

// Run detects pauses of the process and publishes the suspects and quarantines
// whenever an instance joins or leaves, until the context ends. When one leaves,
// others may begin to serve its services.
func (p *Proxy) Run(ctx context.Context) error {
	p.pauses.start(p.options.Clock)
	defer p.pauses.stop()
	memberCheck := time.NewTicker(memberCheckInterval)
	defer memberCheck.Stop()
	pauseCheck := time.NewTicker(dispatch.PauseInterval)
	defer pauseCheck.Stop()
	known := make(map[uint64]bool)
	for {
		select {
		case <-pauseCheck.C:
			p.pauses.observe()
		case <-memberCheck.C:
			if p.updateInstances(known) {
				p.suspects.publishAll()
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// updateInstances updates the known instances and reports whether any joined or left.
func (p *Proxy) updateInstances(known map[uint64]bool) bool {
	present := make(map[uint64]bool)
	for _, member := range p.options.Members.Members() {
		present[member.GetInstance()] = true
	}
	changed := !maps.Equal(known, present)
	clear(known)
	maps.Copy(known, present)
	return changed
}

// publishAll publishes the suspects, and the quarantines in force with their
// remaining times.
func (s *suspects) publishAll() {
	now := s.options.Clock.Uptime()
	s.mu.Lock()
	known := s.table.Known(now)
	s.mu.Unlock()
	for _, row := range known {
		if row.Quarantined {
			s.publish(row.Service, quarantineNews(row.Fingerprint, row.ExpiresAt-now, now-row.QuarantinedSince))
			continue
		}
		if row.IsExact() {
			s.publish(row.Service, suspectNews(row.Request, row.Crashes[0].Target, row.Presumed))
		}
	}
}
