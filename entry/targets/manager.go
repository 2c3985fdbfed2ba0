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
	// inactiveServiceTicks is the number of rounds between two rounds of work for
	// an inactive service.
	inactiveServiceTicks = 50
	// servingUpdateInterval is the minimum time between two passes over all
	// services that update the VMs serving them.
	servingUpdateInterval = 500 * time.Millisecond
)

// waitEntry is a request's entry in a service's queue.
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
	// leaseStreams is nil while slots are not shared with other VMs.
	leaseStreams *leaseStreams
	// servicesToUpdate lists the services whose serving VMs are still to be
	// updated in this pass; one is updated in each round.
	servicesToUpdate []string
	// lastServingUpdate is when the latest such pass began.
	lastServingUpdate time.Time

	// applyMu serializes ApplyConfig; it is taken before any other lock.
	applyMu sync.Mutex
	// mu is taken after a service's lock, never before one.
	mu        sync.Mutex
	services  map[string]*service
	customers *admission.Customers
	news      contract.News
	// refusals holds the latest refusals, for Explain.
	refusals refusalLog
}

// New returns a manager that connects to the targets over the given network.
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

// ApplyConfig applies a snapshot. Services and customers that remain keep their
// state.
func (m *Manager) ApplyConfig(snap *snapshot.Snapshot) {
	if snap == nil {
		return
	}
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
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
		s.configure(now, definition, servingVMs(definition, members))
		s.updateCandidates(m.region, members)
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
	if m.leaseStreams != nil {
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
	m.updateNextService(now, services, members)
	for _, s := range services {
		s.ticks++
		if s.inactive(m.vm) && s.ticks%inactiveServiceTicks != 0 {
			continue
		}
		s.tick(now)
		s.logChanges(m.logger)
		m.publishHealth(s)
		m.probe(ctx, s)
	}
}

// updateNextService updates the serving VMs of one service. A pass over all
// services begins at most once per servingUpdateInterval.
func (m *Manager) updateNextService(now time.Time, services map[string]*service, members []*primroseloomv1.Member) {
	if len(m.servicesToUpdate) == 0 {
		if now.Sub(m.lastServingUpdate) < servingUpdateInterval {
			return
		}
		m.servicesToUpdate = slices.Collect(maps.Keys(services))
		m.lastServingUpdate = now
	}
	last := len(m.servicesToUpdate) - 1
	if last < 0 {
		return
	}
	if s, ok := services[m.servicesToUpdate[last]]; ok {
		s.updateServingVMs(now, m.region, members)
	}
	m.servicesToUpdate = m.servicesToUpdate[:last]
}

// SetNews sets the exchange of news with the other VMs.
func (m *Manager) SetNews(news contract.News) {
	m.mu.Lock()
	m.news = news
	m.mu.Unlock()
	news.Subscribe(m.receiveNews)
}

// receiveNews applies another VM's news: a leaving target, a customer's use or
// health evidence.
func (m *Manager) receiveNews(item *primroseloomv1.NewsItem) {
	s := m.service(item.Service)
	if s == nil {
		return
	}
	if leaving := item.GetLeaving(); leaving != nil {
		s.markLeaving(time.Now(), leaving.Target)
	}
	if use := item.GetUse(); use != nil {
		m.shares.receive(time.Now(), item.OriginVm, use)
	}
	if evidence := item.GetHealth(); evidence != nil {
		s.receiveHealth(time.Now(), item.OriginVm, evidence)
	}
}

// publishHealth publishes this VM's new evidence about the targets of a service.
func (m *Manager) publishHealth(s *service) {
	m.mu.Lock()
	news := m.news
	m.mu.Unlock()
	if news == nil {
		return
	}
	s.mu.Lock()
	evidence, urgent := s.evaluator.pendingNews(time.Now())
	s.mu.Unlock()
	if evidence != nil {
		news.Publish(&primroseloomv1.NewsItem{Service: s.name, Body: &primroseloomv1.NewsItem_Health{Health: evidence}}, urgent)
	}
}

// servingVMs returns the VMs that may connect to a service's targets.
func servingVMs(definition *document.Service, members []*primroseloomv1.Member) []subset.VM {
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

// admit checks a request against the customer's limits, or a retry against the
// retry budgets. It returns nil if the request is admitted.
func (m *Manager) admit(s *service, customer *snapshot.Customer, request contract.AcquireRequest) *outcome.Refusal {
	now := time.Now()
	limits := m.limits(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.queue.Waiting(customer.Name)
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.Retry {
		reason := m.customers.AdmitRetry(now, customer.Name, limits, &s.retries)
		s.metrics.countRetry(reason)
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

// limits returns this VM's share of a customer's limits: an even share until the
// customer's use is known.
func (m *Manager) limits(customer *snapshot.Customer) admission.Limits {
	l := customer.Limits
	limits := admission.Limits{
		Rate: l.Rate, Burst: l.Burst, Concurrency: l.Concurrency, Queue: l.Queue, RetryRatio: l.RetryRatio,
	}
	share, ok := m.shares.of(customer.Name)
	if !ok {
		share = admission.LimitShare(len(m.advertisedVMs(customer)), 0, nil)
	}
	return limits.Scale(share)
}

// finishRequest ends a request or retry of a customer.
func (m *Manager) finishRequest(customer string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.customers.Finish(customer)
}

// ApplyVMList applies the platform's list of live and leaving VMs. An entry
// applies to the targets with its name or IP address.
func (m *Manager) ApplyVMList(list document.VMList) {
	leaving := make(map[string]bool)
	for _, entry := range list.Entries {
		if entry.Leaving {
			leaving[entry.Name] = true
			leaving[hostOf(entry.Address)] = true
		}
	}
	now := time.Now()
	for _, s := range m.snapshot() {
		s.applyVMList(now, leaving)
	}
}

// AnnounceLeaving publishes to the other VMs the targets that the VM list marks as
// leaving.
func (m *Manager) AnnounceLeaving() {
	for name, s := range m.snapshot() {
		for _, target := range s.leavingByVMList() {
			m.publishLeaving(name, target)
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
