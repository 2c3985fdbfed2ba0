package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// probeInterval is the time between two probes of all targets by one VM.
const probeInterval = 2 * time.Second

// requestDeadline is the time a request may take.
const requestDeadline = 2 * time.Second

// flight is an attempt under way.
type flight struct {
	Attempt
	vm       int
	request  *Request
	sent     time.Duration
	due      time.Duration
	kind     health.Kind
	ended    bool
	finished bool
}

// vm is one entry VM with its deciders.
type vm struct {
	index     int
	chooser   Chooser
	health    Health
	admission Admission
	retrier   Retrier
	facets    []Messenger
	tickers   []Ticker
	dead      bool
	paused    bool
	deferred  []event
}

// engine runs one scenario with one policy and one seed.
type engine struct {
	scenario *Scenario
	queue    eventQueue
	now      time.Duration
	end      time.Duration
	warm     time.Duration
	vms      []*vm
	targets  []*fakeTarget
	faults   []*activeFault
	clock    *serviceClock
	random   *rand.Rand
	surge    []float64
	failing  []float64
	homes    [][]int
	nextID   uint64
	blocked  [][]bool
	cutOff   []bool
	record   *recorder
	// overloaded tells that all targets are slow, so that none is at fault.
	overloaded bool
}

// newEngine builds the VMs and the targets.
func newEngine(s *Scenario, policy Policy, seed uint64, duration time.Duration) *engine {
	e := &engine{scenario: s, warm: s.Warmup.Std(), end: s.Warmup.Std() + duration}
	e.random = rand.New(rand.NewPCG(seed, 1))
	e.clock = newServiceClock(s.size.MeanTime, rand.New(rand.NewPCG(seed, 2)))
	e.faults = plan(s, e.end, rand.New(rand.NewPCG(seed, 3)))
	for range s.size.Targets {
		e.targets = append(e.targets, &fakeTarget{slots: s.size.Slots})
	}
	for i := range s.size.VMs {
		e.vms = append(e.vms, newVM(s, policy, i, seed))
		e.blocked = append(e.blocked, make([]bool, s.size.Targets))
	}
	e.cutOff = make([]bool, s.size.VMs)
	e.surge = make([]float64, len(s.Customers))
	e.failing = make([]float64, len(s.Customers))
	for i := range s.Customers {
		e.surge[i] = 1
		e.homes = append(e.homes, e.homeOf(i))
	}
	e.record = newRecorder(e)
	e.schedule()
	return e
}

func newVM(s *Scenario, policy Policy, index int, seed uint64) *vm {
	setting := &DeciderConfig{VM: index, VMs: s.size.VMs, Zones: s.size.Zones, Targets: s.size.Targets,
		Slots: s.size.Slots, Scenario: s, Random: rand.New(rand.NewPCG(seed, 100+uint64(index)))}
	v := &vm{index: index}
	v.chooser = policy.Chooser(setting)
	v.health = policy.Health(setting)
	v.admission = policy.Admission(setting)
	v.retrier = policy.Retrier(setting)
	for _, decider := range []any{v.chooser, v.health, v.admission, v.retrier} {
		if messenger, ok := decider.(Messenger); ok {
			v.facets = append(v.facets, messenger)
		}
	}
	for _, decider := range []any{v.chooser, v.admission, v.retrier} {
		if ticker, ok := decider.(Ticker); ok {
			v.tickers = append(v.tickers, ticker)
		}
	}
	return v
}

// homeOf returns the VMs that serve a customer.
func (e *engine) homeOf(customer int) []int {
	count := e.scenario.Customers[customer].VMs
	if count == 0 || count > len(e.vms) {
		count = len(e.vms)
	}
	return e.random.Perm(len(e.vms))[:count]
}

// schedule adds the events that keep the loop going.
func (e *engine) schedule() {
	for i, v := range e.vms {
		phase := time.Duration(e.random.Int64N(int64(TickInterval)))
		e.queue.add(event{at: phase, kind: eventTick, index: v.index})
		phase = time.Duration(e.random.Int64N(int64(probeInterval)))
		e.queue.add(event{at: phase, kind: eventProbe, index: i})
	}
	for customer := range e.scenario.Customers {
		e.nextArrival(customer)
	}
	for i, fault := range e.faults {
		e.queue.add(event{at: fault.start, kind: eventFault, index: i})
	}
}

// run processes events until the end or until the context is done.
func (e *engine) run(ctx context.Context) error {
	const checkEvery = 1 << 16
	for count := 1; ; count++ {
		next, ok := e.queue.pop()
		if !ok || next.at > e.end {
			break
		}
		e.now = next.at
		e.handle(next)
		if count%checkEvery == 0 && ctx.Err() != nil {
			return fmt.Errorf("run scenario %s: %w", e.scenario.Name, ctx.Err())
		}
	}
	e.record.finish(e)
	return nil
}

// handle dispatches one event.
func (e *engine) handle(next event) {
	switch next.kind {
	case eventArrival:
		e.arrive(next.index)
	case eventAtTarget:
		e.reachTarget(next.attempt)
	case eventServiceEnd:
		e.endService(next.attempt)
	case eventFault:
		e.toggle(next.index)
	default:
		e.handleAtVM(next)
	}
}

// handleAtVM dispatches an event that a VM sees, unless it is dead or pauses.
func (e *engine) handleAtVM(next event) {
	v := e.vms[next.index]
	if v.dead {
		return
	}
	if v.paused {
		v.deferred = append(v.deferred, next)
		return
	}
	switch next.kind {
	case eventAnswer:
		e.endAttempt(v, next.attempt, next.attempt.kind)
	case eventTimeout:
		e.timeOut(v, next.attempt)
	case eventTick:
		e.tick(v)
	case eventProbe:
		e.probe(v)
	case eventMessage:
		v.facets[next.message.facet].ReceiveMessage(e.now, next.message.from, next.message.body)
		e.pump(v)
	}
	e.deliver(v)
}

// tick runs a VM's periodic work.
func (e *engine) tick(v *vm) {
	v.health.Tick(e.now)
	for _, ticker := range v.tickers {
		ticker.Tick(e.now)
	}
	e.record.observe(e, v)
	e.pump(v)
	e.queue.add(event{at: e.now + TickInterval, kind: eventTick, index: v.index})
}

// probe asks each target's health and load endpoints.
func (e *engine) probe(v *vm) {
	for i, target := range e.targets {
		reached := !target.dead && !target.hung && !e.blocked[v.index][i]
		lies := target.probe == probeHealthy && !e.blocked[v.index][i]
		v.health.Probed(e.now, i, lies || reached && target.healthyProbe())
		if reached {
			v.chooser.Reported(e.now, i, target.report())
		}
	}
	e.queue.add(event{at: e.now + probeInterval, kind: eventProbe, index: v.index})
}

// deliver sends what the VM's deciders have to say.
func (e *engine) deliver(v *vm) {
	for facet, messenger := range v.facets {
		for _, message := range messenger.Outbox(e.now) {
			e.post(v, facet, message)
		}
	}
}

// post schedules a message for each VM that it is for and that can be reached.
func (e *engine) post(v *vm, facet int, message Message) {
	for to := range e.vms {
		wanted := message.To == to || message.To == AllVMs
		if !wanted || to == v.index || e.cutOff[to] {
			continue
		}
		e.record.told(e, message.Bytes)
		e.queue.add(event{at: e.now + e.scenario.size.Delay, kind: eventMessage, index: to,
			message: &delivery{from: v.index, facet: facet, body: message.Body, toward: to}})
	}
}
