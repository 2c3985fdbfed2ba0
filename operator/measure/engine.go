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

// requestDeadline is the time from a request's arrival to its deadline.
const requestDeadline = 2 * time.Second

// attemptRun is the state of an attempt in progress.
type attemptRun struct {
	Attempt
	vm            int
	request       *Request
	sent          time.Duration
	serviceEnd    time.Duration
	result        health.Kind
	endedAtVM     bool
	endedAtTarget bool
}

// vm is one simulated VM with its deciders.
type vm struct {
	index      int
	chooser    Chooser
	health     Health
	admission  Admission
	retrier    Retrier
	messengers []Messenger
	tickers    []Ticker
	dead       bool
	paused     bool
	deferred   []event
}

// engine runs one scenario with one policy and one seed.
type engine struct {
	scenario           *Scenario
	queue              eventQueue
	now                time.Duration
	end                time.Duration
	warmupEnd          time.Duration
	vms                []*vm
	targets            []*fakeTarget
	faults             []*activeFault
	serviceTimes       *serviceTimeSource
	random             *rand.Rand
	rateFactor         []float64
	customerErrorShare []float64
	customerVMs        [][]int
	nextID             uint64
	responsesBlocked   [][]bool
	messagesBlocked    []bool
	record             *recorder
	// overloaded is set while all targets are slow; every ejection then counts as a
	// false ejection.
	overloaded bool
}

// newEngine builds the VMs and the targets and schedules the first events.
func newEngine(s *Scenario, policy Policy, seed uint64, duration time.Duration) *engine {
	e := &engine{scenario: s, warmupEnd: s.Warmup.Std(), end: s.Warmup.Std() + duration}
	e.random = rand.New(rand.NewPCG(seed, 1))
	e.serviceTimes = newServiceTimeSource(s.size.MeanTime, rand.New(rand.NewPCG(seed, 2)))
	e.faults = planFaults(s, e.end, rand.New(rand.NewPCG(seed, 3)))
	for range s.size.Targets {
		e.targets = append(e.targets, &fakeTarget{slots: s.size.Slots})
	}
	for i := range s.size.VMs {
		e.vms = append(e.vms, newVM(s, policy, i, seed))
		e.responsesBlocked = append(e.responsesBlocked, make([]bool, s.size.Targets))
	}
	e.messagesBlocked = make([]bool, s.size.VMs)
	e.rateFactor = make([]float64, len(s.Customers))
	e.customerErrorShare = make([]float64, len(s.Customers))
	for i := range s.Customers {
		e.rateFactor[i] = 1
		e.customerVMs = append(e.customerVMs, e.pickCustomerVMs(i))
	}
	e.record = newRecorder(e)
	e.scheduleInitialEvents()
	return e
}

func newVM(s *Scenario, policy Policy, index int, seed uint64) *vm {
	config := &DeciderConfig{VM: index, VMs: s.size.VMs, Zones: s.size.Zones, Targets: s.size.Targets,
		Slots: s.size.Slots, Scenario: s, Random: rand.New(rand.NewPCG(seed, 100+uint64(index)))}
	v := &vm{index: index}
	v.chooser = policy.Chooser(config)
	v.health = policy.Health(config)
	v.admission = policy.Admission(config)
	v.retrier = policy.Retrier(config)
	for _, decider := range []any{v.chooser, v.health, v.admission, v.retrier} {
		if messenger, ok := decider.(Messenger); ok {
			v.messengers = append(v.messengers, messenger)
		}
	}
	for _, decider := range []any{v.chooser, v.admission, v.retrier} {
		if ticker, ok := decider.(Ticker); ok {
			v.tickers = append(v.tickers, ticker)
		}
	}
	return v
}

// pickCustomerVMs chooses the VMs that serve a customer at random.
func (e *engine) pickCustomerVMs(customer int) []int {
	count := e.scenario.Customers[customer].VMs
	if count == 0 || count > len(e.vms) {
		count = len(e.vms)
	}
	return e.random.Perm(len(e.vms))[:count]
}

// scheduleInitialEvents schedules the first tick and probe of each VM, the
// first arrival of each customer and the start of each fault. The handlers of
// these events schedule the following ones.
func (e *engine) scheduleInitialEvents() {
	for i, v := range e.vms {
		phase := time.Duration(e.random.Int64N(int64(TickInterval)))
		e.queue.add(event{at: phase, kind: eventTick, index: v.index})
		phase = time.Duration(e.random.Int64N(int64(probeInterval)))
		e.queue.add(event{at: phase, kind: eventProbe, index: i})
	}
	for customer := range e.scenario.Customers {
		e.scheduleArrival(customer)
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
		e.handleEvent(next)
		if count%checkEvery == 0 && ctx.Err() != nil {
			return fmt.Errorf("run scenario %s: %w", e.scenario.Name, ctx.Err())
		}
	}
	e.record.finish(e)
	return nil
}

// handleEvent calls the handler of one event.
func (e *engine) handleEvent(next event) {
	switch next.kind {
	case eventArrival:
		e.arrive(next.index)
	case eventAtTarget:
		e.arriveAtTarget(next.attempt)
	case eventServiceEnd:
		e.endService(next.attempt)
	case eventFault:
		e.toggleFault(next.index)
	default:
		e.handleVMEvent(next)
	}
}

// handleVMEvent calls the handler of an event at a VM. A dead VM drops the
// event; a paused one defers it.
func (e *engine) handleVMEvent(next event) {
	v := e.vms[next.index]
	if v.dead {
		return
	}
	if v.paused {
		v.deferred = append(v.deferred, next)
		return
	}
	switch next.kind {
	case eventResponse:
		e.endAttempt(v, next.attempt, next.attempt.result)
	case eventTimeout:
		e.timeOut(v, next.attempt)
	case eventTick:
		e.tick(v)
	case eventProbe:
		e.probe(v)
	case eventMessage:
		v.messengers[next.message.messengerIndex].ReceiveMessage(e.now, next.message.from, next.message.body)
		e.dispatchQueued(v)
	}
	e.sendMessages(v)
}

// tick runs a VM's periodic work.
func (e *engine) tick(v *vm) {
	v.health.Tick(e.now)
	for _, ticker := range v.tickers {
		ticker.Tick(e.now)
	}
	e.record.observe(e, v)
	e.dispatchQueued(v)
	e.queue.add(event{at: e.now + TickInterval, kind: eventTick, index: v.index})
}

// probe queries each target's health and load endpoints.
func (e *engine) probe(v *vm) {
	for i, target := range e.targets {
		reached := !target.dead && !target.hung && !e.responsesBlocked[v.index][i]
		reportsHealthy := target.probeMode == probeHealthy && !e.responsesBlocked[v.index][i]
		v.health.Probed(e.now, i, reportsHealthy || reached && target.passesProbe())
		if reached {
			v.chooser.Reported(e.now, i, target.report())
		}
	}
	e.queue.add(event{at: e.now + probeInterval, kind: eventProbe, index: v.index})
}

// sendMessages sends the messages in the outboxes of the VM's deciders.
func (e *engine) sendMessages(v *vm) {
	for i, messenger := range v.messengers {
		for _, message := range messenger.Outbox(e.now) {
			e.scheduleMessage(v, i, message)
		}
	}
}

// scheduleMessage schedules the delivery of a message to each reachable VM that it addresses.
func (e *engine) scheduleMessage(v *vm, messengerIndex int, message Message) {
	for to := range e.vms {
		addressed := message.To == to || message.To == AllVMs
		if !addressed || to == v.index || e.messagesBlocked[to] {
			continue
		}
		e.record.countMessage(e, message.Bytes)
		e.queue.add(event{at: e.now + e.scenario.size.Delay, kind: eventMessage, index: to,
			message: &delivery{from: v.index, messengerIndex: messengerIndex, body: message.Body, to: to}})
	}
}
