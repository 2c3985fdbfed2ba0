package targets

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/directory"
	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// sharesInterval is the time between two recalculations of the VM's shares of
	// the customers' limits.
	sharesInterval = time.Second
	// minReportedShare is the fraction of an even share of a customer's rate limit
	// among the VMs. From this rate on, the customer's use is published to the
	// other VMs.
	minReportedShare = 0.25
	// maxUses bounds the number of reports of other VMs that are kept.
	maxUses = 16384
)

// shares divides the customers' limits among the VMs that serve them.
type shares struct {
	mu sync.Mutex
	// own holds this VM's share of the limits of each active customer.
	own map[string]float64
	// uses holds the other VMs' latest reports.
	uses              map[useKey]reportedUse
	nextRecalculation time.Time
}

type useKey struct {
	customer, vm string
}

type reportedUse struct {
	// rate is in requests per second.
	rate float64
	at   time.Time
}

// of returns this VM's share of a customer's limits.
func (s *shares) of(customer string) (share float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share, ok = s.own[customer]
	return share, ok
}

// receive records another VM's report.
func (s *shares) receive(now time.Time, vm string, use *primroseloomv1.CustomerUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := useKey{use.Customer, vm}
	if _, known := s.uses[key]; !known && len(s.uses) >= maxUses {
		return
	}
	if s.uses == nil {
		s.uses = make(map[useKey]reportedUse)
	}
	s.uses[key] = reportedUse{rate: max(use.Rate, 0), at: now}
}

// due reports whether the shares must be recalculated now; if so, it deletes
// expired reports.
func (s *shares) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextRecalculation) {
		return false
	}
	s.nextRecalculation = now.Add(sharesInterval)
	maps.DeleteFunc(s.uses, func(_ useKey, use reportedUse) bool { return now.Sub(use.at) > admission.UsageStaleAfter })
	return true
}

// divide returns this VM's share, from its own use and the other VMs' reports. A
// VM that is alive but has not reported counts as using nothing. A VM that is
// not seen alive may use its even share.
func (s *shares) divide(now time.Time, demand admission.Demand, vms []string, vm string, alive map[string]bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []admission.UsageReport
	for _, other := range vms {
		if other == vm || !alive[other] {
			continue
		}
		use := admission.UsageReport{}
		if reported, ok := s.uses[useKey{demand.Customer, other}]; ok {
			use.Rate = reported.rate
		}
		others = append(others, use)
	}
	return admission.LimitShare(len(vms), demand.Rate, others)
}

// divideLimits recalculates this VM's share of each active customer's limits,
// and publishes any use of at least minReportedShare to the other VMs.
func (m *Manager) divideLimits(now time.Time, members []*primroseloomv1.Member) {
	snap := m.configuration.Current()
	if snap == nil || !m.shares.due(now) {
		return
	}
	m.mu.Lock()
	demands := m.customers.MeasureDemands(now, now.Add(-10*sharesInterval))
	m.mu.Unlock()
	alive := make(map[string]bool, len(members))
	for _, member := range members {
		alive[member.Vm] = assign.Advertised(member)
	}
	own := make(map[string]float64, len(demands))
	for _, demand := range demands {
		customer, ok := snap.Customer(demand.Customer)
		if !ok {
			continue
		}
		vms := m.advertisedVMs(customer)
		own[customer.Name] = m.shares.divide(now, demand, vms, m.vm, alive)
		if len(vms) > 1 && demand.Rate >= minReportedShare*customer.Limits.Rate/float64(len(vms)) {
			m.publishUse(customer, demand)
		}
	}
	m.shares.mu.Lock()
	m.shares.own = own
	m.shares.mu.Unlock()
}

// advertisedVMs returns the VMs that the directory may advertise to a customer's
// callers, for any of its services, and this VM.
func (m *Manager) advertisedVMs(customer *snapshot.Customer) []string {
	names := []string{m.vm}
	count := directory.DefaultSettings().VMsPerCustomer
	for name := range customer.Services {
		if s := m.service(name); s != nil {
			names = append(names, s.advertisedVMs(customer.Name, count)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *service) advertisedVMs(customer string, count int) []string {
	s.mu.Lock()
	set := s.regionSet
	s.mu.Unlock()
	var names []string
	for _, vm := range set.Choose(customer, count) {
		names = append(names, vm.Name)
	}
	return names
}

func (m *Manager) publishUse(customer *snapshot.Customer, demand admission.Demand) {
	m.mu.Lock()
	news := m.news
	m.mu.Unlock()
	if news == nil {
		return
	}
	for name := range customer.Services {
		use := &primroseloomv1.CustomerUse{Customer: demand.Customer, Rate: demand.Rate}
		news.Publish(&primroseloomv1.NewsItem{Service: name, Body: &primroseloomv1.NewsItem_Use{Use: use}}, false)
	}
}
