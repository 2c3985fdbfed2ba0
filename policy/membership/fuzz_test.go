package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const fuzzInstances = 8

// fault is the kind of a step of a random history.
type fault int

const (
	faultStop fault = iota
	faultRestart
	faultPause
	faultDropInbound
	faultDropOutbound
	faultPartition
	faultLoss
	faultHeal
	faultKinds
)

// history injects random faults and checks each instance's view.
type history struct {
	*simulation
	fleet []*instance
	// newest is the greatest incarnation of a VM that an instance has seen, by
	// process and VM.
	newest    map[string]uint64
	violation string
}

func newHistory(seed uint64) *history {
	h := &history{simulation: newSimulation(seed), newest: make(map[string]uint64)}
	h.fleet = h.startFleet(fuzzInstances)
	h.run(10 * time.Second)
	return h
}

func (h *history) inject(step int) {
	i := step / int(faultKinds) % fuzzInstances
	vm := vmName(i)
	switch fault(step % int(faultKinds)) {
	case faultStop:
		h.fleet[i].stopped = true
	case faultRestart:
		h.fleet[i].stopped = true
		h.fleet[i] = h.start(i)
	case faultPause:
		if !h.fleet[i].paused {
			h.pause(h.fleet[i], time.Duration(2+i)*time.Second)
		}
	case faultDropInbound:
		h.cut = func(_, to string) bool { return to == vm }
	case faultDropOutbound:
		h.cut = func(from, _ string) bool { return from == vm }
	case faultPartition:
		h.cut = func(from, to string) bool { return (from < vm) != (to < vm) }
	case faultLoss:
		h.loss = 0.2
	case faultHeal:
		h.cut, h.loss = func(string, string) bool { return false }, 0
	}
	for range 6 {
		h.run(time.Second)
		h.check()
	}
}

// check checks that no incarnation in an instance's view has decreased.
func (h *history) check() {
	for _, in := range h.fleet {
		for _, view := range in.state.Members(h.clock(in)) {
			key := fmt.Sprintf("%s/%x/%s", in.vm, in.state.self.Instance, view.VM)
			if view.Incarnation < h.newest[key] {
				h.violation = fmt.Sprintf("at %s: %s went back to incarnation %d of %s", h.now, in.vm, view.Incarnation, view.VM)
			}
			h.newest[key] = view.Incarnation
		}
	}
}

// settle ends all faults and returns what is still wrong 3 minutes later.
func (h *history) settle() string {
	h.cut, h.loss = func(string, string) bool { return false }, 0
	live := make(map[string]*instance)
	for _, in := range h.fleet {
		if !in.stopped {
			live[in.vm] = in
		}
	}
	h.run(3 * time.Minute)
	for _, in := range live {
		for _, other := range h.fleet {
			if h.advertises(in, other.vm) != (live[other.vm] != nil) {
				return fmt.Sprintf("%s advertises %s: %t, live: %t", in.vm, other.vm, h.advertises(in, other.vm), live[other.vm] != nil)
			}
		}
		for _, view := range in.state.Members(h.clock(in)) {
			if view.Instance != live[view.VM].state.self.Instance {
				return fmt.Sprintf("%s knows an old process of %s", in.vm, view.VM)
			}
		}
	}
	return h.violation
}

// TestViewsAgreeAfterRandomFaults checks that after random faults each view
// advertises exactly the running instances, and that no incarnation decreased.
func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	steps := gen.SliceOfN(10, gen.IntRange(0, fuzzInstances*int(faultKinds)-1))
	properties.Property("views match the running instances, and incarnations never decrease", prop.ForAll(
		func(steps []int) string {
			h := newHistory(uint64(len(steps)))
			for _, step := range steps {
				h.inject(step)
			}
			return h.settle()
		}, steps))
	properties.TestingRun(t)
}
