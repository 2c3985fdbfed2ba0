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
	// sharesInterval is the time between two divisions of the customers' limits.
	sharesInterval = time.Second
	// reportedShare is the part of a customer's even rate from which its use is
	// told to the other VMs.
	reportedShare = 0.25
	// maxUses bounds the reports of other VMs that are kept.
	maxUses = 16384
)

// shares divides the customers' limits over the VMs that serve them.
type shares struct {
	mu sync.Mutex
	// own holds the part of each active customer's limits that falls to this VM.
	own map[string]float64
	// uses holds the other VMs' latest reports.
	uses map[useKey]reportedUse
	next time.Time
}

type useKey struct {
	customer, vm string
}

type reportedUse struct {
	rate float64
	at   time.Time
}

// of returns the part of a customer's limits that falls to this VM.
func (s *shares) of(customer string) (share float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share, ok = s.own[customer]
	return share, ok
}

// heard takes over another VM's report.
func (s *shares) heard(now time.Time, vm string, use *primroseloomv1.CustomerUse) {
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

// due reports whether it is time to divide anew, and forgets old reports.
func (s *shares) due(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(sharesInterval)
	maps.DeleteFunc(s.uses, func(_ useKey, use reportedUse) bool { return now.Sub(use.at) > admission.UseStaleAfter })
	return true
}

// divide returns this VM's share by its own use and the reports on the other
// VMs. One that is alive and says nothing uses little; one that is not in
// view may use its even share.
func (s *shares) divide(now time.Time, demand admission.Demand, vms []string, vm string, alive map[string]bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []admission.Use
	for _, other := range vms {
		if other == vm || !alive[other] {
			continue
		}
		use := admission.Use{}
		if reported, ok := s.uses[useKey{demand.Customer, other}]; ok {
			use.Rate = reported.rate
		}
		others = append(others, use)
	}
	return admission.Divide(len(vms), demand.Rate, others)
}

// divideLimits works out this VM's share of each active customer's limits, and
// tells the other VMs of the use that matters.
func (m *Manager) divideLimits(now time.Time, members []*primroseloomv1.Member) {
	snap := m.configuration.Current()
	if snap == nil || !m.shares.due(now) {
		return
	}
	m.mu.Lock()
	demands := m.customers.Demands(now, now.Add(-10*sharesInterval))
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
		vms := m.serversOf(customer)
		own[customer.Name] = m.shares.divide(now, demand, vms, m.vm, alive)
		if len(vms) > 1 && demand.Rate >= reportedShare*customer.Limits.Rate/float64(len(vms)) {
			m.tellUse(customer, demand)
		}
	}
	m.shares.mu.Lock()
	m.shares.own = own
	m.shares.mu.Unlock()
}

// serversOf returns the VMs that the directory names to a customer's callers,
// for any of its services, and this VM.
func (m *Manager) serversOf(customer *snapshot.Customer) []string {
	names := []string{m.vm}
	count := directory.DefaultSettings().VMsPerCustomer
	for name := range customer.Services {
		if s := m.service(name); s != nil {
			names = append(names, s.serversOf(customer.Name, count)...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (s *service) serversOf(customer string, count int) []string {
	s.mu.Lock()
	set := s.set
	s.mu.Unlock()
	var names []string
	for _, vm := range set.Choose(customer, count) {
		names = append(names, vm.Name)
	}
	return names
}

func (m *Manager) tellUse(customer *snapshot.Customer, demand admission.Demand) {
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
