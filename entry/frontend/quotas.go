package frontend

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/follow"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/quotas"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/policy/quota"
)

// servedLately is the time after which a VM that is no primary VM any more counts no longer
// among those that share the limits of customers. A VM that seems to have ended may serve
// callers at the other side of a network partition for as long.
const servedLately = 6 * time.Second

// servingVMs remembers which VMs serve callers.
type servingVMs struct {
	fleet *fleet
	mu    sync.Mutex
	// primaryAt holds, by VM, when it was last a primary VM.
	primaryAt map[string]time.Duration
}

func newServingVMs(vms *fleet) *servingVMs {
	return &servingVMs{fleet: vms, primaryAt: make(map[string]time.Duration)}
}

// peers returns the other VMs that are primary VMs, and those that were lost lately while they
// were. A usable VM that is no longer a primary VM is left out: it gets no callers and sends no
// heartbeats, so it would count as silent and reserve a part of each limit.
func (s *servingVMs) peers() []quota.Peer {
	now, self, v := s.fleet.now(), s.fleet.members.Self().GetVm(), s.fleet.view.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range v.vms {
		if vm.Usable && !v.primaries[vm.Name] {
			delete(s.primaryAt, vm.Name)
		}
	}
	for vm := range v.primaries {
		s.primaryAt[vm] = now
	}
	var peers []quota.Peer
	for vm, at := range s.primaryAt {
		switch {
		case now-at > servedLately:
			delete(s.primaryAt, vm)
		case vm != self:
			peers = append(peers, quota.Peer{VM: vm, Age: s.ageOf(vm)})
		}
	}
	return peers
}

// ageOf returns the time since the last datagram of a VM; negative when none was received.
func (s *servingVMs) ageOf(vm string) time.Duration {
	age, _, ok := s.fleet.peerReports.LastReceived(vm)
	if !ok {
		return -1
	}
	return age
}

func newQuotas(f *Frontend, set settings.Frontend, vms *fleet, follower *follow.Follower, m *metrics.Metrics, logger *log.Logger) *quotas.Limiter {
	return quotas.New(quotas.Options{
		Settings:   quotaSettings(set),
		Routes:     follower.Table,
		Serving:    newServingVMs(vms).peers,
		ReportSoon: func() { f.evidence.AdmissionsChanged() },
		Uptime:     f.clock.Uptime,
		Logger:     logger,
		Scope:      m.Scope(),
	})
}

// quotaSettings returns the settings of the customers' limits.
func quotaSettings(set settings.Frontend) quota.Settings {
	return quota.Settings{Window: set.Quotas.Window.Std(), Overrun: set.Quotas.Overrun, Slack: set.Quotas.Slack}
}
