package targets

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
	"github.com/primroseloom/primroseloom/policy/subset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// tickInterval is the time between two rounds of periodic work.
	tickInterval = 100 * time.Millisecond
	// restingTicks is the number of rounds between two looks at a service that
	// this VM has no part in.
	restingTicks = 50
	// resizeInterval is the least time between two passes over the services'
	// sets of VMs.
	resizeInterval = 500 * time.Millisecond
)

// waitEntry is a request's place in a service's queue.
type waitEntry = admission.Entry[*waiter]

// Manager implements contract.Targets and contract.Explainer.
type Manager struct {
	configuration contract.Configuration
	network       contract.Network
	members       contract.Members
	metrics       *metrics.Metrics
	logger        *log.Logger
	shares        shares
	vm, zone      string
	region        string
	// links is nil while slots are not shared with other VMs.
	links *links
	// resizing lists the services whose set of VMs is to be looked at; one is
	// done in each round.
	resizing []string
	// resized is when the last pass over the services began.
	resized time.Time

	// applying orders the snapshots; it is taken before any other lock.
	applying sync.Mutex
	// mu is taken after a service's lock, never before one.
	mu        sync.Mutex
	services  map[string]*service
	customers *admission.Customers
	news      contract.News
	// refusals holds the latest refusal of each customer.
	refusals refusalLog
}

// New returns a manager that connects to the targets over a network.
func New(configuration contract.Configuration, network contract.Network, members contract.Members, m *metrics.Metrics, logger *log.Logger) *Manager {
	self := members.Self()
	manager := &Manager{
		configuration: configuration, network: network, members: members, metrics: m, logger: logger,
		vm: self.Vm, zone: self.Zone, region: self.Region,
		services:  make(map[string]*service),
		customers: admission.NewCustomers(),
	}
	configuration.Subscribe(manager.ApplyConfig)
	return manager
}

// ApplyConfig takes over a snapshot. Services and customers that stay keep
// their state.
func (m *Manager) ApplyConfig(snap *snapshot.Snapshot) {
	if snap == nil {
		return
	}
	m.applying.Lock()
	defer m.applying.Unlock()
	now := time.Now()
	members := m.members.Members()
	old := m.snapshot()
	next := make(map[string]*service, len(old))
	for _, definition := range snap.Services() {
		s, ok := old[definition.Name]
		if !ok {
			s = m.newService(definition.Name)
		}
		delete(old, definition.Name)
		next[definition.Name] = s
		s.configure(now, definition, serving(definition, members))
		s.follow(m.region, members)
	}
	m.mu.Lock()
	m.services = next
	m.mu.Unlock()
	for _, removed := range old {
		removed.close()
	}
}

// snapshot returns a copy of the map of services.
func (m *Manager) snapshot() map[string]*service {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.services)
}

func (m *Manager) newService(name string) *service {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := newService(name, m.vm, m.zone, m.network, newServiceMetrics(m.metrics.Scope(), name), rng)
	if m.links != nil {
		s.useLeases(m.vm, m.postLease, m.replyLease)
	}
	return s
}

// Run does periodic work until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			m.tick(ctx)
		}
	}
}

func (m *Manager) tick(ctx context.Context) {
	now := time.Now()
	members := m.members.Members()
	services := m.snapshot()
	m.divideLimits(now, members)
	m.resizeNext(now, services, members)
	for _, s := range services {
		s.rounds++
		if s.resting(m.vm) && s.rounds%restingTicks != 0 {
			continue
		}
		s.tick(now)
		s.logChanges(m.logger)
		m.tell(s)
		m.probe(ctx, s)
	}
}

// resizeNext lets one service follow the members; a pass over all services
// begins at most once a resizeInterval.
func (m *Manager) resizeNext(now time.Time, services map[string]*service, members []*primroseloomv1.Member) {
	if len(m.resizing) == 0 {
		if now.Sub(m.resized) < resizeInterval {
			return
		}
		m.resizing = slices.Collect(maps.Keys(services))
		m.resized = now
	}
	last := len(m.resizing) - 1
	if last < 0 {
		return
	}
	if s, ok := services[m.resizing[last]]; ok {
		s.resize(now, m.region, members)
	}
	m.resizing = m.resizing[:last]
}

// SetNews connects the manager with the other VMs' news.
func (m *Manager) SetNews(news contract.News) {
	m.mu.Lock()
	m.news = news
	m.mu.Unlock()
	news.Subscribe(m.heard)
}

// heard takes over another VM's word that a target leaves.
func (m *Manager) heard(item *primroseloomv1.NewsItem) {
	s := m.service(item.Service)
	if s == nil {
		return
	}
	if gone := item.GetLeaving(); gone != nil {
		s.told(time.Now(), gone.Target)
	}
	if use := item.GetUse(); use != nil {
		m.shares.heard(time.Now(), item.OriginVm, use)
	}
	if evidence := item.GetHealth(); evidence != nil {
		s.heard(time.Now(), item.OriginVm, evidence)
	}
}

// tell publishes what this VM has learned of a service's targets.
func (m *Manager) tell(s *service) {
	m.mu.Lock()
	news := m.news
	m.mu.Unlock()
	if news == nil {
		return
	}
	s.mu.Lock()
	told, urgent := s.judge.news(time.Now())
	s.mu.Unlock()
	if told != nil {
		news.Publish(&primroseloomv1.NewsItem{Service: s.name, Body: &primroseloomv1.NewsItem_Health{Health: told}}, urgent)
	}
}

// serving returns the VMs that may connect to a service's targets.
func serving(definition *document.Service, members []*primroseloomv1.Member) []subset.VM {
	names := assign.ServingVMs(definition, members)
	vms := make([]subset.VM, 0, len(names))
	for _, member := range members {
		if _, ok := slices.BinarySearch(names, member.Vm); ok {
			vms = append(vms, subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region})
		}
	}
	return vms
}

func (m *Manager) service(name string) *service {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services[name]
}

// admit decides on a request by the customer's limits and the retry budgets.
func (m *Manager) admit(s *service, customer *snapshot.Customer, request contract.AcquireRequest) *outcome.Refusal {
	now := time.Now()
	limits := m.limits(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.queue.Waiting(customer.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.Retry {
		reason := m.customers.Retry(now, customer.Name, limits, &s.retries)
		s.metrics.retried(reason)
		if reason != retry.Allowed {
			return retryRefusal(m.vm, reason)
		}
		return nil
	}
	decision := m.customers.Admit(now, customer.Name, limits, waiting)
	if decision.Admitted {
		s.retries.Earn(retry.ServiceRatio)
		return nil
	}
	refusal := refuse(decision.Reason, decision.RetryAfter, nil)
	refusal.Peer = m.vm
	m.refusals.add(now, customer.Name, s.name, refusal)
	return refusal
}

// limits returns the part of a customer's limits that falls to this VM: an even
// one until its use is known.
func (m *Manager) limits(customer *snapshot.Customer) admission.Limits {
	l := customer.Limits
	limits := admission.Limits{
		Rate: l.Rate, Burst: l.Burst, Concurrency: l.Concurrency, Queue: l.Queue, RetryRatio: l.RetryRatio,
	}
	share, ok := m.shares.of(customer.Name)
	if !ok {
		share = admission.Divide(len(m.serversOf(customer)), 0, nil)
	}
	return limits.Scale(share)
}

// finish ends a request or retry of a customer.
func (m *Manager) finish(customer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.customers.Finish(customer)
}

// ApplyVMList takes over the platform's list of live and leaving VMs; a row
// concerns the targets of its name or at its IP address.
func (m *Manager) ApplyVMList(list document.VMList) {
	gone := make(map[string]bool)
	for _, entry := range list.Entries {
		if entry.Leaving {
			gone[entry.Name] = true
			gone[hostOf(entry.Address)] = true
		}
	}
	now := time.Now()
	for _, s := range m.snapshot() {
		s.listed(now, gone)
	}
}

// AnnounceLeaving tells the other VMs of the targets that the VM list calls leaving.
func (m *Manager) AnnounceLeaving() {
	for name, s := range m.snapshot() {
		for _, target := range s.listedLeaving() {
			m.tellLeaving(name, target)
		}
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
