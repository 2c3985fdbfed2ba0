package targetset

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/retry"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Teller passes evidence on to other VMs.
type Teller interface {
	Publish(outcome evidence.Outcome)
	UsesChanged()
}

// Budget is the fleet's budget for repeats.
type Budget struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Allowance is the number of repeats in a window whatever the requests.
	Allowance float64
}

// Options are what a Manager is built from.
type Options struct {
	Zone    string
	Network contract.Network
	Budget  Budget
	// Sharers returns the number of VMs that share the budget.
	Sharers func() int
	Uptime  func() time.Duration
	Logger  *log.Logger
	Scope   tally.Scope
	// Seed seeds the random choices.
	Seed uint64
}

// service is the targets of one service.
type service struct {
	targets []*target
	budget  *retry.Share
	// explorations is how many attempts may go to targets that had none for long.
	explorations float64
	// usual holds what attempts of each route take, overall what those of all do.
	usual   map[string]*suspicion.Reference
	overall suspicion.Reference
}

// Manager holds the targets of all services.
type Manager struct {
	options Options
	teller  Teller

	mu       sync.Mutex
	targets  map[string]*target
	services map[string]*service
	table    *routing.Table
	// remote holds the attempts in progress of other VMs by VM and target.
	remote map[string]map[string]int
	random *rand.Rand
}

// New returns a manager without targets.
func New(options Options) *Manager {
	options.Scope = options.Scope.SubScope("targets")
	return &Manager{
		options:  options,
		targets:  make(map[string]*target),
		services: make(map[string]*service),
		remote:   make(map[string]map[string]int),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// UseTeller sets where evidence goes, before the first attempt.
func (m *Manager) UseTeller(teller Teller) { m.teller = teller }

// RoutesChanged takes over the services' limits.
func (m *Manager) RoutesChanged(table *routing.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table = table
	for _, t := range m.targets {
		t.pool.SetLimit(m.connections(t.info.Service))
	}
}

// connections returns what this VM may open to a target of a service; the lock is held.
func (m *Manager) connections(name string) int {
	if m.table == nil {
		return leastConnections
	}
	definition, _ := m.table.Service(name)
	return max(int(connectionShare*float64(definition.Connections)), leastConnections)
}

// TargetsChanged takes over the published targets.
func (m *Manager) TargetsChanged(published []roster.Target) {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(published))
	for _, info := range published {
		present[info.ID] = true
		m.put(info, now)
	}
	for id, t := range m.targets {
		if !present[id] {
			events.TargetGone.Log(m.options.Logger, "target", id, "service", t.info.Service, "address", t.info.Address)
			m.drop(t)
		}
	}
	m.group()
}

// put takes over one target. A new start under a known identifier, or a new
// address, is a new target.
func (m *Manager) put(info roster.Target, now time.Duration) {
	t, known := m.targets[info.ID]
	if known && (t.info.Address != info.Address || t.info.Service != info.Service || !t.info.StartedAt.Equal(info.StartedAt)) {
		m.drop(t)
		known = false
	}
	if !known {
		t = &target{
			pool:      m.newPool(info),
			failing:   suspicion.NewFault(suspicion.FailingRates, now),
			slow:      suspicion.NewFault(suspicion.SlowRates, now),
			shedding:  suspicion.NewFault(suspicion.SheddingRates, now),
			attempted: now,
		}
		for _, attempts := range m.remote {
			t.others += attempts[info.ID]
		}
		m.targets[info.ID] = t
		events.TargetFound.Log(m.options.Logger, "target", info.ID, "service", info.Service, "address", info.Address, "state", info.State)
	} else if t.info.State != info.State {
		events.TargetState.Log(m.options.Logger, "target", info.ID, "service", info.Service, "state", info.State)
	}
	t.info = info
}

func (m *Manager) newPool(info roster.Target) *targetconn.Pool {
	return targetconn.New(info.Address, m.options.Network, targetconn.Options{
		Connections: m.connections(info.Service),
		Idle:        connectionIdle,
		Connect:     connectTimeout,
	})
}

// drop takes a target out; attempts in progress go on. The lock is held.
func (m *Manager) drop(t *target) {
	t.removed = true
	t.pool.Close()
	delete(m.targets, t.info.ID)
}

// group sorts the targets by service; the lock is held.
func (m *Manager) group() {
	for _, s := range m.services {
		s.targets = s.targets[:0]
	}
	for _, t := range m.targets {
		s := m.service(t.info.Service)
		s.targets = append(s.targets, t)
	}
}

// service returns the state of a service; the lock is held.
func (m *Manager) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		budget := m.options.Budget
		s = &service{
			budget: retry.NewShare(budget.Ratio, budget.Allowance, m.options.Sharers(), m.options.Uptime()),
			usual:  make(map[string]*suspicion.Reference),
		}
		m.services[name] = s
	}
	return s
}

// reference returns what attempts of a route take at a service; the lock is held.
func (s *service) reference(route string) *suspicion.Reference {
	r, ok := s.usual[route]
	if !ok {
		r = &suspicion.Reference{}
		s.usual[route] = r
	}
	return r
}

// Observed takes over another VM's evidence.
func (m *Manager) Observed(outcome evidence.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.targets[outcome.Target]; ok {
		now := m.options.Uptime()
		t.attempted = now
		m.observe(t, outcome, now)
	}
}

// observe applies evidence to a target; the lock is held.
func (m *Manager) observe(t *target, outcome evidence.Outcome, now time.Duration) {
	t.tried = true
	if outcome.FailureNats != 0 {
		t.recovering = outcome.FailureNats < 0
	}
	before := t.suspect(now)
	t.failing.Observe(outcome.FailureNats, now)
	t.slow.Observe(outcome.SlowNats, now)
	t.shedding.Observe(outcome.ShedNats, now)
	if outcome.Load != nil {
		t.load, t.loadAt = *outcome.Load, now
	}
	if after := t.suspect(now); after != before {
		event := events.TargetSuspected
		if !after {
			event = events.TargetCleared
		}
		event.Log(m.options.Logger, "target", t.info.ID, "service", t.info.Service,
			"failing", t.failing.Probability(now), "slow", t.slow.Probability(now))
	}
}

// InProgress sets the attempts of another VM.
func (m *Manager) InProgress(vm string, attempts map[string]int) {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, count := range m.remote[vm] {
		if t, ok := m.targets[id]; ok {
			t.others -= count
		}
	}
	if len(attempts) == 0 {
		delete(m.remote, vm)
		return
	}
	m.remote[vm] = attempts
	for id, count := range attempts {
		if t, ok := m.targets[id]; ok {
			t.others += count
			t.tried = true
			t.attempted = now
		}
	}
}

// Uses returns this VM's attempts in progress by target.
func (m *Manager) Uses() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	uses := make(map[string]int)
	for id, t := range m.targets {
		if t.mine > 0 {
			uses[id] = t.mine
		}
	}
	return uses
}

// SetBudget changes the fleet's budget for repeats.
func (m *Manager) SetBudget(budget Budget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Budget = budget
}
