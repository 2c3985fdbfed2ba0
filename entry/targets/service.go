package targets

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/retry"
	"github.com/primroseloom/primroseloom/policy/subset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// maxPassed bounds the waiting requests that are passed over because the
	// targets with room are not for them.
	maxPassed = 8
	// timeSmoothing is the weight of a new service time in the moving average.
	timeSmoothing = 0.05
	// shortestHold and longestHold bound how long a target that shed rests.
	shortestHold = 5 * time.Millisecond
	longestHold  = 100 * time.Millisecond
	// probeConnections is the part of a connection share kept for probes.
	probeConnections = 1
)

// service holds the state of one service on this VM.
type service struct {
	name    string
	zone    string
	network contract.Network
	metrics serviceMetrics

	mu      sync.Mutex
	serving []subset.VM
	// set is the service's set in this VM's region.
	set        subset.Set
	definition *document.Service
	balancer   *balance.Balancer
	queue      *admission.FairQueue[*waiter]
	drain      admission.Drain
	retries    retry.Budget
	judge      *judge
	// names are the targets in the order of the configuration.
	names   []string
	targets map[string]*target
	rng     *rand.Rand
	nextID  uint64
	// leases is nil while the VM chooses targets by itself.
	leases  *leases
	changes changes
	// window bounds the attempts in progress while no keeper answers.
	window *balance.Window
	// rounds counts the rounds of periodic work; the manager's goroutine owns it.
	rounds int
	// inFlight counts the attempts in progress at all targets.
	inFlight int
	// typical is the average service time.
	typical time.Duration
}

// target holds the state of one target of a service.
type target struct {
	definition document.Target
	pool       *targetconn.Pool
	leaving    leaving
	// probes holds the state of this VM's probes.
	probes probeState
}

// waiter is a request that waits for a slot.
type waiter struct {
	id       uint64
	want     balance.Want
	deadline time.Time
	// granted receives the target, or is closed when the deadline passed.
	granted chan string
}

func newService(name, vm, zone string, network contract.Network, metrics serviceMetrics, rng *rand.Rand) *service {
	return &service{
		name: name, zone: zone, network: network, metrics: metrics, rng: rng,
		balancer: balance.NewBalancer(),
		window:   balance.NewWindow(1, 1),
		queue:    admission.NewFairQueue[*waiter](),
		judge:    newJudge(vm, zone, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))),
		targets:  make(map[string]*target),
	}
}

// configure applies a definition; targets that stay keep their state. Vms are
// the VMs that may connect to the targets.
func (s *service) configure(now time.Time, definition *document.Service, vms []subset.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.definition, s.serving = definition, vms
	share := balance.ConnectionShare(definition.MaxConnections, len(vms))
	limit := min(definition.Slots, max(share-probeConnections, min(share, 1)))
	old := s.targets
	s.targets = make(map[string]*target, len(definition.Targets))
	s.names = nil
	var balanced []balance.Target
	for _, d := range definition.Targets {
		s.targets[d.Name] = s.carryOver(now, old[d.Name], d, share)
		s.names = append(s.names, d.Name)
		balanced = append(balanced, balance.Target{Name: d.Name, Zone: d.Zone, Limit: limit, Slots: definition.Slots,
			Extra: max(0, share-probeConnections-limit)})
	}
	for name, t := range old {
		if s.targets[name] == nil || s.targets[name].pool != t.pool {
			t.pool.Close()
		}
	}
	s.balancer.Configure(balanced)
	s.resizeWindow(definition, len(vms))
	s.configureKeeper()
	s.judge.configure(now, definition, max(1, len(vms)))
	s.refresh(now)
}

// resizeWindow starts the window at an even share of the slots.
func (s *service) resizeWindow(definition *document.Service, vms int) {
	slots := float64(len(definition.Targets) * definition.Slots)
	if s.window.Ceiling() != max(slots, 1) {
		s.window = balance.NewWindow(slots/float64(max(1, vms)), slots)
	}
}

// carryOver keeps a target's state unless it moved to another address.
func (s *service) carryOver(now time.Time, t *target, definition document.Target, share int) *target {
	if t == nil || t.definition.Address != definition.Address {
		t = &target{pool: targetconn.New(definition.Address, s.network, targetconn.DefaultOptions(share))}
	}
	t.pool.SetLimit(share)
	t.definition = definition
	t.leaving.configured(now, definition.Leaving)
	return t
}

// resting reports whether this VM has no part in the service: it is not of the
// service's set and no request waits or is in progress here.
func (s *service) resting(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight > 0 || s.queue.Len() > 0 {
		return false
	}
	return !slices.ContainsFunc(s.serving, func(member subset.VM) bool { return member.Name == vm })
}

// tick does periodic work: judgements age and idle connections are closed.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.tick(now)
	s.refresh(now)
	s.tickLeases(now)
	connections := 0
	for _, t := range s.targets {
		t.pool.Sweep()
		connections += t.pool.Size()
	}
	s.metrics.gauges(s.queue.Len(), s.inFlight, connections)
}

// resize follows the VMs that serve the service.
func (s *service) resize(now time.Time, region string, members []*primroseloomv1.Member) {
	s.mu.Lock()
	definition, before := s.definition, s.serving
	s.mu.Unlock()
	if vms := serving(definition, members); !slices.Equal(vms, before) {
		s.configure(now, definition, vms)
	}
	s.follow(region, members)
}

// follow takes the members that are alive and serve the service as candidates
// for keeper.
func (s *service) follow(region string, members []*primroseloomv1.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var alive []subset.VM
	for _, member := range members {
		vm := subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region}
		if assign.Advertised(member) && slices.Contains(s.serving, vm) {
			alive = append(alive, vm)
		}
	}
	s.set = assign.RegionSet(s.definition, members, region, assign.Advertised)
	s.setKeepers(alive)
}

// heard takes over another VM's evidence.
func (s *service) heard(now time.Time, vm string, news *primroseloomv1.HealthNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.receive(now, vm, news)
	s.refresh(now)
}

// told records that a target leaves, and reports whether the other VMs are to
// be told, which is when the word is new or would expire soon.
func (s *service) told(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok {
		return false
	}
	tell := t.leaving.until.Sub(now) < leavingFor/2
	t.leaving.told(now)
	s.refresh(now)
	return tell
}

// listed takes over which names and IP addresses the VM list calls leaving.
func (s *service) listed(now time.Time, gone map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.targets {
		t.leaving.listed(now, gone[name] || gone[hostOf(t.definition.Address)])
	}
	s.refresh(now)
}

// listedLeaving returns the targets that the VM list calls leaving.
func (s *service) listedLeaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var leaving []string
	for name, t := range s.targets {
		if t.leaving.byVMList {
			leaving = append(leaving, name)
		}
	}
	return leaving
}

// close releases the connections of a service that was removed.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.pool.Close()
	}
}

// refresh hands the judge's decisions to the balancer and serves the queue;
// the lock is held.
func (s *service) refresh(now time.Time) {
	s.judge.conditions(s.names, func(name string, condition balance.Condition) {
		if s.targets[name].leaving.now(now) {
			condition = balance.Condition{}
		}
		s.balancer.SetCondition(name, condition)
		if s.leases != nil && s.leases.keeper != nil {
			s.leases.keeper.SetCondition(name, condition)
		}
	})
	s.pump(now)
}

// pump gives free slots to the requests that wait, while the VM chooses by
// itself; the lock is held.
func (s *service) pump(now time.Time) {
	var passed []*admission.Entry[*waiter]
	for len(passed) < maxPassed {
		entry, ok := s.queue.Peek()
		if !ok {
			break
		}
		if !now.Before(entry.Item.deadline) {
			s.queue.Remove(entry)
			s.finished(entry.Item.id)
			close(entry.Item.granted)
			continue
		}
		if _, may := s.chooses(now); !may {
			break
		}
		name, ok := s.balancer.Take(s.rng, entry.Item.want)
		if !ok && !s.balancer.HasRoom() {
			break
		}
		s.queue.Pop()
		if !ok {
			passed = append(passed, entry)
			continue
		}
		s.took(entry.Item.id, name)
		s.start(now, entry, name)
	}
	for _, entry := range passed {
		s.queue.Restore(entry)
	}
}

// returned ends an attempt at a target; the lock is held.
func (s *service) returned(now time.Time, id uint64, name string) {
	s.finished(id)
	s.balancer.Return(name)
	s.inFlight--
	s.pump(now)
	s.flush(now)
}

// observed takes the result of an attempt as evidence.
func (s *service) observed(now time.Time, name string, attempt uint64, result contract.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judge.ended(now, attempt, result)
	switch result.Kind {
	case contract.AttemptSucceeded:
		s.learnTime(result.Total)
	case contract.AttemptShed:
		s.hold(name)
	}
	s.learnSlots(now, name, result.Kind)
	s.returned(now, attempt, name)
	s.refresh(now)
}

func (s *service) learnTime(total time.Duration) {
	if s.typical == 0 {
		s.typical = total
		return
	}
	s.typical += time.Duration(timeSmoothing * float64(total-s.typical))
}

// hold rests a target that shed for about the time in which one of its slots
// becomes free; the lock is held.
func (s *service) hold(name string) {
	rest := s.typical / time.Duration(max(s.definition.Slots, 1))
	rest = min(max(rest, shortestHold), longestHold)
	s.balancer.Hold(name, true)
	time.AfterFunc(rest, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.balancer.Hold(name, false)
		s.pump(time.Now())
	})
}
