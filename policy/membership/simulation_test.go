package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const tickInterval = 50 * time.Millisecond

// simulation runs States in virtual time over a simulated network.
type simulation struct {
	now       time.Duration
	queue     callQueue
	order     uint64
	random    *rand.Rand
	settings  Settings
	instances map[string]*instance
	// loss is the probability that a message is lost.
	loss float64
	// cut reports whether all messages from one VM to another are lost.
	cut func(from, to string) bool
	// delivered counts the messages that arrived.
	delivered int
	// onEvent is called with each event of an instance.
	onEvent func(at *instance, event Event)
}

type instance struct {
	vm        string
	state     *State
	stopped   bool
	paused    bool
	startedAt time.Duration
}

type call struct {
	at    time.Duration
	order uint64
	do    func()
}

type callQueue []call

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q callQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(call)) }
func (q *callQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), settings: DefaultSettings(),
		instances: make(map[string]*instance), cut: func(string, string) bool { return false },
		onEvent: func(*instance, Event) {}}
}

func (s *simulation) after(delay time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, call{at: s.now + delay, order: s.order, do: do})
}

func (s *simulation) run(duration time.Duration) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(call)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func vmName(i int) string { return fmt.Sprintf("vm%03d", i) }

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, 1+i%250) }

// start adds an instance whose only seed is VM 0.
func (s *simulation) start(i int) *instance {
	in := &instance{vm: vmName(i), startedAt: s.now}
	self := Member{VM: in.vm, Instance: s.random.Uint64(), Zone: fmt.Sprintf("zone%d", i%3), Region: "region",
		CallersAddress: address(i), PeersAddress: address(i)}
	in.state = New(self, []string{address(0)}, s.settings, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	s.instances[in.vm] = in
	s.after(time.Duration(s.random.Int64N(int64(tickInterval))), func() { s.tick(in) })
	return in
}

func (s *simulation) startFleet(count int) []*instance {
	var fleet []*instance
	for i := range count {
		fleet = append(fleet, s.start(i))
	}
	return fleet
}

// clock returns the time since the instance started.
func (s *simulation) clock(in *instance) time.Duration { return s.now - in.startedAt }

func (s *simulation) tick(in *instance) {
	if in.stopped {
		return
	}
	if !in.paused {
		for _, action := range in.state.Tick(s.clock(in)) {
			s.perform(in, action)
		}
		for _, event := range in.state.Events() {
			s.onEvent(in, event)
		}
	}
	s.after(tickInterval, func() { s.tick(in) })
}

// send delivers a message to a VM after a delay, unless it is lost.
func (s *simulation) send(from, to string, deliver func(at *instance)) {
	target := s.instances[to]
	if s.cut(from, to) || s.random.Float64() < s.loss {
		return
	}
	s.after(time.Millisecond+time.Duration(s.random.Int64N(int64(time.Millisecond))), func() {
		if target != nil && !target.stopped && !target.paused {
			s.delivered++
			deliver(target)
		}
	})
}

func (s *simulation) perform(in *instance, action Action) {
	switch action.Kind {
	case ActionPing:
		s.exchange(in, action.To.VM, action.Message, action.Timeout, func(response *Message) {
			in.state.HandlePingResult(s.clock(in), Result{Probe: action.Probe, Reached: response != nil, AnyResponse: response != nil, Response: response})
		})
	case ActionPingIndirect:
		s.relay(in, action)
	case ActionJoin:
		s.join(in, action.Address)
	}
}

// exchange sends a ping and calls done once: with the response, or with nil after
// the timeout.
func (s *simulation) exchange(in *instance, to string, m Message, timeout time.Duration, done func(*Message)) {
	open := true
	finish := func(response *Message) {
		if open && !in.stopped && !in.paused {
			open = false
			done(response)
		}
	}
	s.send(in.vm, to, func(at *instance) {
		response, err := at.state.HandlePing(s.clock(at), to, m)
		if err == nil {
			s.send(to, in.vm, func(*instance) { finish(&response) })
		}
	})
	s.after(timeout, func() { finish(nil) })
}

func (s *simulation) relay(in *instance, action Action) {
	open := true
	finish := func(result Result) {
		if open && !in.stopped && !in.paused {
			open = false
			in.state.HandlePingResult(s.clock(in), result)
		}
	}
	s.send(in.vm, action.To.VM, func(at *instance) {
		m := at.state.RelayMessage(s.clock(at), action.Target.VM)
		s.exchange(at, action.Target.VM, m, action.Timeout, func(response *Message) {
			s.send(at.vm, in.vm, func(*instance) {
				finish(Result{Probe: action.Probe, Reached: response != nil, AnyResponse: true})
			})
		})
	})
	s.after(2*action.Timeout, func() { finish(Result{Probe: action.Probe}) })
}

func (s *simulation) join(in *instance, to string) {
	for _, other := range s.instances {
		if other.state.self.PeersAddress != to {
			continue
		}
		from, list := in.state.Self(s.clock(in)), in.state.Statements(s.clock(in))
		s.send(in.vm, other.vm, func(at *instance) {
			members := at.state.HandleJoin(s.clock(at), from, list)
			s.send(at.vm, in.vm, func(*instance) { in.state.HandleJoinResponse(s.clock(in), at.vm, members) })
		})
	}
}

// pause stops an instance from running for the given length.
func (s *simulation) pause(in *instance, length time.Duration) {
	in.paused = true
	s.after(length, func() {
		in.paused = false
		in.state.HandlePause(s.clock(in), length)
	})
}

// advertisedCount returns how many members an instance advertises to callers.
func (s *simulation) advertisedCount(in *instance) int {
	count := 0
	for _, view := range in.state.Members(s.clock(in)) {
		if view.Advertised {
			count++
		}
	}
	return count
}

func (s *simulation) advertises(in *instance, vm string) bool {
	for _, view := range in.state.Members(s.clock(in)) {
		if view.VM == vm {
			return view.Advertised
		}
	}
	return false
}
