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
	"github.com/primroseloom/primroseloom/entry/internal/cursor"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/breaker"
	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/retry"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Notifier sends evidence to other VMs.
type Notifier interface {
	Publish(outcome evidence.AttemptEvidence)
	InProgressChanged()
	NoticesChanged()
	// PathChanged is called when this VM reaches a service no more, or again.
	PathChanged()
}

// Budget is the retry budget of the fleet.
type Budget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Allowance is the number of retries that are allowed in each window of the
	// budget, however few requests arrive.
	Allowance float64
}

// Options configures a Manager.
type Options struct {
	Zone    string
	Network contract.Network
	Budget  Budget
	// Hedging allows second attempts of slow idempotent requests.
	Hedging hedge.Settings
	// Sharers returns the number of VMs that share the budget.
	Sharers func() int
	// RateShare returns the rate, in requests a second, at which this VM may send requests
	// to a target that takes a limited rate of all VMs together.
	RateShare func(target string, perSecond float64) float64
	Uptime    func() time.Duration
	Logger    *log.Logger
	Scope     tally.Scope
	// Seed seeds the random choices.
	Seed uint64
}

// service holds the targets of one service and what their attempts share.
type service struct {
	targets []*target
	budget  *retry.Share
	hedging hedging
	// explorationCredit is the credit for attempts at targets that had none for long.
	explorationCredit float64
	// suspectShare is the share of the targets that were suspects at the latest attempt.
	suspectShare float64
	// references holds, by route, the expected durations of attempts, against which
	// slowness is evaluated; overall holds those of all routes together.
	references map[string]*suspicion.Reference
	overall    suspicion.Reference
	// room decides who goes first when the service is full.
	room roomState
	// breaker is the circuit breaker of the path to the targets, silenceCheck the check that
	// decides whether late requests mean that the path is at fault.
	breaker      breaker.Breaker
	silenceCheck silenceCheck
	// bytesBound bounds the bytes at each target once one may have ended because of them.
	bytesBound bytesBound
}

// Manager chooses among the targets of all services and tracks their state.
type Manager struct {
	options  Options
	notifier Notifier

	mu       sync.Mutex
	targets  map[string]*target
	services map[string]*service
	table    *routing.Table
	// rankedServices are those whose requests differ in rank; remembersFull is true when any do:
	// targets that have refused for lack of room are then avoided.
	rankedServices map[string]bool
	remembersFull  bool
	// notices holds what the targets say of themselves.
	notices *notice.Table
	// repeated is the position in the notices from which the next heartbeat repeats them.
	repeated cursor.Cursor
	// told is the position in the changed notices from which the next datagram tells them.
	told cursor.Cursor
	// answeredAt is when this VM last got a complete response of any target.
	answeredAt time.Duration
	// inProgressByVM counts the attempts in progress of other VMs, by VM and target.
	inProgressByVM map[string]map[string]int
	// servedByVM holds when another VM last told of a response of a service's target.
	servedByVM map[vmService]time.Duration
	random     *rand.Rand
	// meanRunTime is a moving average of the durations of this VM\'s attempts.
	meanRunTime time.Duration
}

// New returns a manager without targets.
func New(options Options) *Manager {
	options.Scope = options.Scope.SubScope("targets")
	return &Manager{
		options:        options,
		targets:        make(map[string]*target),
		services:       make(map[string]*service),
		inProgressByVM: make(map[string]map[string]int),
		servedByVM:     make(map[vmService]time.Duration),
		notices:        notice.NewTable(),
		random:         rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// UseNotifier sets the notifier; it must be called before the first attempt.
func (m *Manager) UseNotifier(notifier Notifier) { m.notifier = notifier }

// RoutesChanged applies the connection limits of the services.
func (m *Manager) RoutesChanged(table *routing.Table) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table = table
	m.updateRanks()
	for _, t := range m.targets {
		t.pool.SetMaxConnections(m.connectionLimit(t.info.Service))
	}
}

// connectionLimit returns the number of connections that this VM may open to one
// target of a service; the lock is held.
func (m *Manager) connectionLimit(name string) int {
	if m.table == nil {
		return minConnections
	}
	definition, _ := m.table.Service(name)
	return max(int(connectionShare*float64(definition.MaxConnections)), minConnections)
}

// TargetsChanged applies the published targets: it adds, updates and removes.
func (m *Manager) TargetsChanged(published []roster.Target) {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	present := make(map[string]bool, len(published))
	for _, info := range published {
		present[info.ID] = true
		m.putTarget(info, now)
	}
	for id, t := range m.targets {
		if !present[id] {
			events.TargetGone.Log(m.options.Logger, "target", id, "service", t.info.Service, "address", t.info.Address)
			m.removeTarget(t)
		}
	}
	m.groupByService()
}

// putTarget adds or updates one target. A restart under a known identifier, or a
// new address or service, makes it a new target without a record; the lock is held.
func (m *Manager) putTarget(info roster.Target, now time.Duration) {
	t, known := m.targets[info.ID]
	if known && (t.info.Address != info.Address || t.info.Service != info.Service || !t.info.StartedAt.Equal(info.StartedAt)) {
		m.removeTarget(t)
		known = false
	}
	if !known {
		t = &target{
			pool:          m.newPool(info),
			failing:       suspicion.NewFaultEstimate(suspicion.FailingDurations, now),
			slow:          suspicion.NewFaultEstimate(suspicion.SlowDurations, now),
			shedding:      suspicion.NewFaultEstimate(suspicion.SheddingDurations, now),
			lastAttemptAt: now,
		}
		for _, attempts := range m.inProgressByVM {
			t.remoteAttempts += attempts[info.ID]
		}
		m.targets[info.ID] = t
		events.TargetFound.Log(m.options.Logger, "target", info.ID, "service", info.Service, "address", info.Address, "state", info.State)
	} else if t.info.State != info.State {
		events.TargetStateChanged.Log(m.options.Logger, "target", info.ID, "service", info.Service, "state", info.State)
	}
	t.info = info
}

func (m *Manager) newPool(info roster.Target) *targetconn.Pool {
	return targetconn.New(info.Address, m.options.Network, targetconn.Options{
		MaxConnections: m.connectionLimit(info.Service),
		IdleTimeout:    connectionIdle,
		ConnectTimeout: connectTimeout,
	})
}

// removeTarget removes a target; attempts in progress continue. The lock is held.
func (m *Manager) removeTarget(t *target) {
	t.removed = true
	t.pool.Close()
	delete(m.targets, t.info.ID)
}

// groupByService rebuilds the target list of each service; the lock is held.
func (m *Manager) groupByService() {
	for _, s := range m.services {
		s.targets = s.targets[:0]
	}
	for _, t := range m.targets {
		s := m.service(t.info.Service)
		s.targets = append(s.targets, t)
	}
}

// service returns the state of a service and creates it if necessary; the lock
// is held.
func (m *Manager) service(name string) *service {
	s, ok := m.services[name]
	if !ok {
		budget := m.options.Budget
		s = &service{
			budget:     retry.NewShare(budget.Ratio, budget.Allowance, m.options.Sharers(), m.options.Uptime()),
			references: make(map[string]*suspicion.Reference),
		}
		s.room.isRanked = m.isRanked(name)
		m.services[name] = s
	}
	return s
}

// reference returns the expected durations of a route's attempts; the lock is held.
func (s *service) reference(route string) *suspicion.Reference {
	r, ok := s.references[route]
	if !ok {
		r = &suspicion.Reference{}
		s.references[route] = r
	}
	return r
}

// Observed applies another VM's evidence.
func (m *Manager) Observed(vm string, outcome evidence.AttemptEvidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.targets[outcome.Target]; ok {
		now := m.options.Uptime()
		if outcome.FailureNats < 0 {
			m.servedByVM[vmService{vm, t.info.Service}] = now
		}
		t.lastAttemptAt = now
		m.observe(t, outcome, now)
	}
}

// observe applies evidence to a target; the lock is held.
func (m *Manager) observe(t *target, outcome evidence.AttemptEvidence, now time.Duration) {
	t.everAttempted = true
	if outcome.FailureNats != 0 {
		t.lastSucceeded = outcome.FailureNats < 0
	}
	if m.mayBeSuperseded(outcome) {
		t.lastSucceeded = false
	}
	if outcome.FailureNats < 0 {
		t.lastServedAt = now
	}
	before := t.suspect(now)
	t.failing.Observe(outcome.FailureNats, now)
	t.slow.Observe(outcome.SlowNats, now)
	t.shedding.Observe(outcome.ShedNats, now)
	if outcome.Load != nil {
		t.load, t.loadAt = *outcome.Load, now
	}
	if outcome.RefusedFull {
		t.refusedFull(now)
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

// ServedSince reports whether a target is known to have sent a complete response to
// any VM since an uptime.
func (m *Manager) ServedSince(id string, since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.targets[id]
	return ok && t.lastServedAt >= since
}

// AnsweredSince reports whether this VM has got a complete response of any target since an
// uptime.
func (m *Manager) AnsweredSince(since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAt >= since
}

// SetInProgress replaces the attempts in progress of another VM, by target.
func (m *Manager) SetInProgress(vm string, attempts map[string]int) {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countEnded(m.inProgressByVM[vm], attempts)
	for id, count := range m.inProgressByVM[vm] {
		if t, ok := m.targets[id]; ok {
			t.remoteAttempts -= count
		}
	}
	if len(attempts) == 0 {
		delete(m.inProgressByVM, vm)
		return
	}
	m.inProgressByVM[vm] = attempts
	for id, count := range attempts {
		if t, ok := m.targets[id]; ok {
			t.remoteAttempts += count
			t.everAttempted = true
			t.lastAttemptAt = now
		}
	}
}

// AttemptsInProgress returns this VM's attempts in progress by target.
func (m *Manager) AttemptsInProgress() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	uses := make(map[string]int)
	for id, t := range m.targets {
		if t.ownAttempts > 0 {
			uses[id] = t.ownAttempts
		}
	}
	return uses
}

// runTimeWindow is the number of attempts that the mean run time spans.
const runTimeWindow = 32

// MeanRunTime returns a moving average of the durations of this VM's attempts.
func (m *Manager) MeanRunTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.meanRunTime
}
