package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	vms = 4
	// answerDelays is the number of different delays of answers; half of them exceed the bound.
	answerDelays = 20
)

// call is an answer under way to a VM.
type call struct {
	vm, arrival int
	apply       func(s *State)
}

// world is a store without restorations, some VMs, and calls under way. Each step takes
// 100 ms or, when a VM is frozen, more.
type world struct {
	now     time.Duration
	step    int
	states  [vms]*State
	inForce [vms]uint64
	frozen  [vms]int
	calls   []call
	// publishedAt holds when each version was published; version i+1 is at index i.
	publishedAt []time.Duration
}

func newWorld() *world {
	w := &world{now: start, publishedAt: []time.Duration{start}}
	for i := range vms {
		w.restart(i)
	}
	return w
}

func (w *world) newest() uint64 { return uint64(len(w.publishedAt)) }

func (w *world) restart(vm int) { w.states[vm], w.inForce[vm] = New(bound, w.now), 0 }

// put puts a version in force at a VM.
func (w *world) put(vm int, version uint64) {
	if version > w.inForce[vm] {
		w.inForce[vm] = version
		w.states[vm].Applied(version)
	}
}

// callStore lets the store answer now and the answer arrive later.
func (w *world) callStore(vm, delay int) {
	version, sent := w.newest(), w.now
	w.calls = append(w.calls, call{vm: vm, arrival: w.step + delay, apply: func(s *State) {
		w.put(vm, version)
		s.ConfirmedByStore(sent)
	}})
}

// callPeer lets a peer answer later and the answer arrive later still. Its routes are applied
// only in some calls.
func (w *world) callPeer(vm, peer, delay int, brings bool) {
	sent := w.now
	w.calls = append(w.calls, call{vm: peer, arrival: w.step + delay/2, apply: func(s *State) {
		age, ok := s.Age(w.now)
		answer, asked := Answer{Version: w.inForce[peer], Confirmed: ok, Age: age}, w.states[vm]
		w.calls = append(w.calls, call{vm: vm, arrival: w.step + delay - delay/2, apply: func(s *State) {
			if s != asked {
				return // the VM was started again meanwhile
			}
			if brings {
				w.put(vm, answer.Version)
			}
			s.ConfirmedByPeer(fmt.Sprint(peer), answer, sent)
		}})
	}})
}

// advance lets the answers arrive that are due at VMs that are not frozen.
func (w *world) advance() {
	w.step++
	w.now += 100 * time.Millisecond
	due := w.calls
	w.calls = nil
	for _, c := range due {
		if c.arrival > w.step || w.frozen[c.vm] > w.step {
			w.calls = append(w.calls, c)
			continue
		}
		c.apply(w.states[c.vm])
	}
	for _, s := range w.states {
		s.PeersKnown(vms-1, w.now)
	}
}

// do performs one operation that a number encodes.
func (w *world) do(op int) {
	vm, peer, delay := op/8%vms, op/64%vms, op/512%answerDelays
	switch op % 8 {
	case 0:
		w.publishedAt = append(w.publishedAt, w.now)
	case 1, 2:
		w.callStore(vm, delay*5)
	case 3, 4, 5:
		if peer != vm {
			w.callPeer(vm, peer, delay*5, op%2 == 0)
		}
	case 6:
		w.frozen[vm] = w.step + delay*5
	case 7:
		w.states[peer].HeardOf(w.inForce[vm])
		if delay == 0 {
			w.restart(vm)
		}
	}
}

// violation returns a VM that is current although a newer version was published the bound
// ago or earlier, or an empty text.
func (w *world) violation() string {
	for vm, s := range w.states {
		next := w.inForce[vm] // index of the version after the one in force
		if next >= w.newest() || !s.Current(w.now) {
			continue
		}
		if next == 0 || w.now-w.publishedAt[next] >= bound {
			return fmt.Sprintf("VM %d is current with version %d, %v after version %d was published", vm, next, w.now-w.publishedAt[next], next+1)
		}
	}
	return ""
}

// TestNoVMIsCurrentABoundAfterANewerVersion guards against a VM that serves with a key that
// was withdrawn the bound ago or earlier, under any order of answers, delays, suspensions and
// restarts.
func TestNoVMIsCurrentABoundAfterANewerVersion(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests, parameters.MinSize, parameters.MaxSize = 400, 50, 400
	properties := gopter.NewProperties(parameters)
	currentSteps := 0
	properties.Property("current only within the bound", prop.ForAll(func(ops []int) string {
		w := newWorld()
		for _, op := range ops {
			w.do(op)
			w.advance()
			if found := w.violation(); found != "" {
				return found
			}
			for _, s := range w.states {
				if s.Current(w.now) {
					currentSteps++
				}
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 8*8*8*answerDelays-1))))
	properties.TestingRun(t)
	if currentSteps == 0 {
		t.Error("no VM was ever current")
	}
	t.Logf("VMs were current in %d steps", currentSteps)
}
