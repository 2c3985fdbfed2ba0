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
	// maxSkippedRequests bounds the waiting requests that are skipped because no
	// target with a free slot suits them.
	maxSkippedRequests = 8
	// serviceTimeSmoothing is the weight of a new service time in the moving
	// average.
	serviceTimeSmoothing = 0.05
	// probeConnections is the part of a connection share that is reserved for
	// probes.
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
	// regionSet is the set of VMs chosen for the service in this VM's region.
	regionSet  subset.Set
	definition *document.Service
	balancer   *balance.Balancer
	queue      *admission.FairQueue[*waiter]
	queueDrain admission.DrainEstimator
	retries    retry.Budget
	evaluator  *evaluator
	// targetNames lists the targets in the order of the configuration.
	targetNames []string
	targets     map[string]*target
	rng         *rand.Rand
	nextID      uint64
	// leases is nil while slots are not shared with other VMs.
	leases     *leases
	lastLogged loggedState
	// window bounds the attempts in progress while no lessor responds.
	window *balance.Window
	// ticks counts the rounds of periodic work; only the manager's Run goroutine
	// uses it.
	ticks int
	// inFlight counts the attempts in progress at all targets.
	inFlight int
	// meanServiceTime is the moving average of the service time.
	meanServiceTime time.Duration
}

// target holds the state of one target of a service.
type target struct {
	definition document.Target
	pool       *targetconn.Pool
	leaving    leaving
	// pausedUntil is until when the target gets no new work, since it shed a request.
	pausedUntil time.Time
	// probes holds the state of this VM's probes.
	probes probeState
}

// waiter is a request that waits for a slot.
type waiter struct {
	id       uint64
	want     balance.Criteria
	deadline time.Time
	// granted receives the name of the target whose slot the request got; it is
	// closed when the deadline has passed.
	granted chan string
}

func newService(name, vm, zone string, network contract.Network, metrics serviceMetrics, rng *rand.Rand) *service {
	return &service{
		name: name, zone: zone, network: network, metrics: metrics, rng: rng,
		balancer:  balance.NewBalancer(),
		window:    balance.NewWindow(1, 1),
		queue:     admission.NewFairQueue[*waiter](),
		evaluator: newEvaluator(vm, zone, rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))),
		targets:   make(map[string]*target),
	}
}

// configure applies a definition; vms are the VMs that may connect to the
// targets. Targets that remain keep their state.
func (s *service) configure(now time.Time, definition *document.Service, vms []subset.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.definition, s.serving = definition, vms
	share := balance.ConnectionShare(definition.MaxConnections, len(vms))
	limit := min(definition.Slots, max(share-probeConnections, min(share, 1)))
	old := s.targets
	s.targets = make(map[string]*target, len(definition.Targets))
	s.targetNames = nil
	var balanced []balance.Target
	for _, d := range definition.Targets {
		s.targets[d.Name] = s.keepOrReplaceTarget(now, old[d.Name], d, share)
		s.targetNames = append(s.targetNames, d.Name)
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
	s.configureLessor()
	s.evaluator.configure(now, definition, max(1, len(vms)))
	s.applyConditions(now)
}

// resizeWindow replaces the window when the number of slots has changed; the new
// one starts at an even share of the slots.
func (s *service) resizeWindow(definition *document.Service, vms int) {
	slots := float64(len(definition.Targets) * definition.Slots)
	if s.window.Ceiling() != max(slots, 1) {
		s.window = balance.NewWindow(slots/float64(max(1, vms)), slots)
	}
}

// keepOrReplaceTarget returns the target with the new definition. Its state is
// kept unless its address changed.
func (s *service) keepOrReplaceTarget(now time.Time, t *target, definition document.Target, share int) *target {
	if t == nil || t.definition.Address != definition.Address {
		t = &target{pool: targetconn.New(definition.Address, s.network, targetconn.DefaultOptions(share))}
	}
	t.pool.SetMaxConnections(share)
	t.definition = definition
	t.leaving.setByConfiguration(now, definition.Leaving)
	return t
}

// inactive reports whether this VM does not serve the service and no request
// waits or is in progress here.
func (s *service) inactive(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight > 0 || s.queue.Len() > 0 {
		return false
	}
	return !slices.ContainsFunc(s.serving, func(member subset.VM) bool { return member.Name == vm })
}

// tick does the periodic work: it updates health assessments and leases and
// closes expired connections.
func (s *service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluator.tick(now)
	s.applyConditions(now)
	s.tickLeases(now)
	connections := 0
	for _, t := range s.targets {
		t.pool.CloseExpired()
		connections += t.pool.Size()
	}
	s.metrics.updateGauges(s.queue.Len(), s.inFlight, connections)
}

// updateServingVMs updates the VMs that serve the service from the list of
// members.
func (s *service) updateServingVMs(now time.Time, region string, members []*primroseloomv1.Member) {
	s.mu.Lock()
	definition, before := s.definition, s.serving
	s.mu.Unlock()
	if vms := servingVMs(definition, members); !slices.Equal(vms, before) {
		s.configure(now, definition, vms)
	}
	s.updateCandidates(region, members)
}

// updateCandidates makes the live members that serve the service the candidates
// for lessor, and updates regionSet.
func (s *service) updateCandidates(region string, members []*primroseloomv1.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var alive []subset.VM
	for _, member := range members {
		vm := subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region}
		if assign.Advertised(member) && slices.Contains(s.serving, vm) {
			alive = append(alive, vm)
		}
	}
	s.regionSet = assign.RegionSet(s.definition, members, region, assign.Advertised)
	s.setLessorCandidates(alive)
}

// receiveHealth applies another VM's evidence.
func (s *service) receiveHealth(now time.Time, vm string, news *primroseloomv1.HealthNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluator.receive(now, vm, news)
	s.applyConditions(now)
}

// markLeaving records a report that a target is leaving. It returns true if the
// report must be published to the other VMs, because it is new or the earlier
// one expires soon.
func (s *service) markLeaving(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok {
		return false
	}
	publish := t.leaving.reportedUntil.Sub(now) < leavingTTL/2
	t.leaving.markReported(now)
	s.applyConditions(now)
	return publish
}

// applyVMList applies the names and IP addresses that the VM list marks as
// leaving.
func (s *service) applyVMList(now time.Time, leaving map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.targets {
		t.leaving.setByVMList(now, leaving[name] || leaving[hostOf(t.definition.Address)])
	}
	s.applyConditions(now)
}

// leavingByVMList returns the targets that the VM list marks as leaving.
func (s *service) leavingByVMList() []string {
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

// close closes the connection pools of a service that was removed.
func (s *service) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.pool.Close()
	}
}

// applyConditions passes the evaluator's decisions to the balancer and the
// lessor and serves the queue; the lock must be held.
func (s *service) applyConditions(now time.Time) {
	s.evaluator.forEachCondition(s.targetNames, func(name string, condition balance.Condition) {
		if s.targets[name].leaving.isLeaving(now) {
			condition = balance.Condition{}
		}
		s.balancer.SetCondition(name, condition)
		if s.leases != nil && s.leases.lessor != nil {
			s.leases.lessor.SetCondition(name, condition)
		}
	})
	s.serveQueue(now)
}

// serveQueue gives free slots to waiting requests while the VM chooses targets
// locally; the lock must be held.
func (s *service) serveQueue(now time.Time) {
	var skipped []*admission.Entry[*waiter]
	for len(skipped) < maxSkippedRequests {
		entry, ok := s.queue.Peek()
		if !ok {
			break
		}
		if !now.Before(entry.Item.deadline) {
			s.queue.Remove(entry)
			s.releaseSlot(entry.Item.id)
			close(entry.Item.granted)
			continue
		}
		if _, mayStart := s.choosesLocally(now); !mayStart {
			break
		}
		name, ok := s.balancer.Take(s.rng, entry.Item.want)
		if !ok && !s.balancer.HasRoom() {
			break
		}
		s.queue.Pop()
		if !ok {
			skipped = append(skipped, entry)
			continue
		}
		s.reportTaken(entry.Item.id, name)
		s.grantSlot(now, entry, name)
	}
	for _, entry := range skipped {
		s.queue.Restore(entry)
	}
}

// endAttempt ends an attempt at a target and serves the queue; the lock must be
// held.
func (s *service) endAttempt(now time.Time, id uint64, name string) {
	s.releaseSlot(id)
	s.balancer.Return(name)
	s.inFlight--
	s.serveQueue(now)
	s.sendLeaseMessages(now)
}

// recordResult ends an attempt and passes its result to the evaluator as
// evidence.
func (s *service) recordResult(now time.Time, name string, attempt uint64, result contract.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluator.endAttempt(now, attempt, result)
	switch result.Kind {
	case contract.AttemptSucceeded:
		s.recordServiceTime(result.Total)
	case contract.AttemptShed:
		s.pauseTarget(now, name, result.Pause)
	}
	s.adjustWindow(now, name, result.Kind)
	s.endAttempt(now, attempt, name)
	s.applyConditions(now)
}

func (s *service) recordServiceTime(total time.Duration) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = total
		return
	}
	s.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(total-s.meanServiceTime))
}
