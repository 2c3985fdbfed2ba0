package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a set of trackers that hear each other's news at once.
type fleet struct {
	now      time.Duration
	trackers []*Tracker
	random   *rand.Rand
	// deaf VMs send news but hear none.
	deaf map[int]bool
}

const (
	testTargets = 6
	testSlots   = 3
)

func newFleet(vms, floor int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), deaf: make(map[int]bool)}
	var targets []Target
	for i := range testTargets {
		targets = append(targets, Target{Name: fmt.Sprintf("t%d", i), Slots: testSlots})
	}
	for vm := range vms {
		tracker := New(Config{VM: fmt.Sprintf("vm%d", vm), Zone: fmt.Sprintf("z%d", vm%3), Zones: []string{"z0", "z1", "z2"},
			VMs: vms, FloorSlots: floor, FalsePerTargetMonth: 1, Random: rand.New(rand.NewPCG(3, uint64(vm)))})
		tracker.Configure(0, targets)
		f.trackers = append(f.trackers, tracker)
	}
	return f
}

// step moves time on and exchanges news.
func (f *fleet) step(by time.Duration) {
	f.now += by
	for _, tracker := range f.trackers {
		tracker.Tick(f.now)
	}
	f.exchange()
}

func (f *fleet) exchange() {
	for from, tracker := range f.trackers {
		news, ok := tracker.TakeNews(f.now)
		if !ok {
			continue
		}
		for to, other := range f.trackers {
			if to != from && !f.deaf[to] {
				other.ReceiveNews(f.now, &news)
			}
		}
	}
}

// send ends an attempt of a VM on a target at once.
func (f *fleet) send(vm, target int, kind Kind, taken time.Duration) {
	tracker := f.trackers[vm]
	attempt := tracker.StartAttempt(f.now-taken, target)
	tracker.EndAttempt(f.now, attempt, kind, taken)
}

// usual returns a healthy service time.
func (f *fleet) usual() time.Duration {
	return time.Duration(30 * float64(time.Millisecond) * math.Exp(0.7*f.random.NormFloat64()))
}

// learn lets every VM see healthy times of every target.
func (f *fleet) learn() {
	for range 2000 {
		for vm := range f.trackers {
			f.send(vm, f.random.IntN(testTargets), Succeeded, f.usual())
		}
		f.step(20 * time.Millisecond)
	}
}

// serve sends one request a VM, to targets in service, with the given outcome on target 0.
func (f *fleet) serve(rounds int, outcome func(vm int) (Kind, time.Duration)) {
	for range rounds {
		for vm, tracker := range f.trackers {
			target, trial := tracker.NextTrial(f.now)
			if !trial {
				target = f.random.IntN(testTargets)
			}
			if !trial && tracker.Weights(false)[target] == 0 {
				continue
			}
			if target == 0 {
				kind, taken := outcome(vm)
				f.send(vm, target, kind, taken)
				continue
			}
			f.send(vm, target, Succeeded, f.usual())
		}
		f.step(20 * time.Millisecond)
	}
}

func (f *fleet) count(target int, state State) int {
	count := 0
	for _, tracker := range f.trackers {
		if tracker.State(target) == state {
			count++
		}
	}
	return count
}

func TestGrayTargetIsEjectedByAllVMs(t *testing.T) {
	cases := map[string]func(f *fleet) (Kind, time.Duration){
		"wrong":   func(f *fleet) (Kind, time.Duration) { return Wrong, f.usual() },
		"refused": func(*fleet) (Kind, time.Duration) { return Refused, time.Millisecond },
		"reset":   func(*fleet) (Kind, time.Duration) { return Reset, time.Millisecond },
		"one error in three": func(f *fleet) (Kind, time.Duration) {
			if f.random.IntN(3) == 0 {
				return Wrong, f.usual()
			}
			return Succeeded, f.usual()
		},
		"ten times as slow": func(f *fleet) (Kind, time.Duration) { return Succeeded, 10 * f.usual() },
	}
	for name, outcome := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9, 9)
			f.learn()
			f.serve(100, func(int) (Kind, time.Duration) { return outcome(f) })
			if ejected := f.count(0, Ejected); ejected != len(f.trackers) {
				t.Errorf("%d of %d VMs ejected the target", ejected, len(f.trackers))
			}
			for target := 1; target < testTargets; target++ {
				if f.count(target, Ejected) > 0 {
					t.Errorf("healthy target %d was ejected", target)
				}
			}
			if found := f.trackers[0].Explain("t0"); len(found) == 0 || found[0].Decision == "" {
				t.Error("no finding explains the ejection")
			}
		})
	}
}

func TestEvidenceOfOneZoneIsAPathFault(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	f.serve(200, func(vm int) (Kind, time.Duration) {
		if vm%3 == 0 {
			return TimedOut, 2 * time.Second
		}
		return Succeeded, f.usual()
	})
	for vm, tracker := range f.trackers {
		want := Healthy
		if vm%3 == 0 {
			want = Avoided
		}
		got := tracker.State(0)
		if (got == Avoided) != (want == Avoided) || got == Ejected {
			t.Errorf("vm %d: state %s, want %s", vm, got, want)
		}
	}
}

func TestOverloadEjectsNobody(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for range 400 {
		for vm := range f.trackers {
			f.send(vm, f.random.IntN(testTargets), Succeeded, 5*f.usual())
		}
		f.step(20 * time.Millisecond)
	}
	for target := range testTargets {
		if out := f.count(target, Ejected); out > 0 {
			t.Errorf("%d VMs ejected target %d", out, target)
		}
	}
}

func TestFailuresEverywhereEjectNobody(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for range 400 {
		for vm := range f.trackers {
			kind := Succeeded
			if f.random.IntN(3) == 0 {
				kind = Wrong
			}
			f.send(vm, f.random.IntN(testTargets), kind, f.usual())
		}
		f.step(20 * time.Millisecond)
	}
	for target := range testTargets {
		if out := f.count(target, Ejected); out > 0 {
			t.Errorf("%d VMs ejected target %d", out, target)
		}
	}
}

func TestProbesAloneDecideNothing(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for range 100 {
		for _, tracker := range f.trackers {
			tracker.RecordProbe(f.now, 0, false)
		}
		f.serve(1, func(int) (Kind, time.Duration) { return Succeeded, f.usual() })
	}
	if healthy := f.count(0, Healthy); healthy != len(f.trackers) {
		t.Errorf("%d of %d VMs keep a target whose probes fail", healthy, len(f.trackers))
	}
}

func TestHungTargetIsHeldBeforeItsAttemptsEnd(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for vm := range testSlots {
		f.trackers[vm].StartAttempt(f.now, 0)
	}
	for range 20 {
		f.step(50 * time.Millisecond)
	}
	for vm, tracker := range f.trackers {
		if weight := tracker.Weights(true)[0]; weight != 0 {
			t.Errorf("vm %d: weight %g for a target that answers nothing", vm, weight)
		}
	}
}

func TestPauseOfTheVMIsNoEvidence(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	tracker := f.trackers[0]
	var attempts []*Attempt
	for target := range testTargets {
		for range testSlots {
			attempts = append(attempts, tracker.StartAttempt(f.now, target))
		}
	}
	f.now += 30 * time.Second
	for _, attempt := range attempts {
		tracker.EndAttempt(f.now, attempt, TimedOut, 30*time.Second)
	}
	f.step(50 * time.Millisecond)
	for target := range testTargets {
		if state := tracker.State(target); state != Healthy {
			t.Errorf("target %d is %s after a pause of the VM", target, state)
		}
	}
}

func TestTargetReturnsByTrialsAndRamp(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	f.serve(50, func(int) (Kind, time.Duration) { return Refused, time.Millisecond })
	if f.count(0, Ejected) == 0 {
		t.Fatal("the target was not ejected")
	}
	ramped := false
	for range 2000 {
		f.serve(1, func(int) (Kind, time.Duration) { return Succeeded, f.usual() })
		ramped = ramped || f.count(0, Ramping) > 0
	}
	if !ramped || f.count(0, Healthy) != len(f.trackers) {
		t.Errorf("ramped %v, healthy on %d of %d VMs", ramped, f.count(0, Healthy), len(f.trackers))
	}
}

func TestTargetReturnsWithoutRequestsThatMayRunTwice(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	f.serve(50, func(int) (Kind, time.Duration) { return Refused, time.Millisecond })
	if f.count(0, Ejected) == 0 {
		t.Fatal("the target was not ejected")
	}
	for range 1600 {
		f.step(50 * time.Millisecond)
	}
	if healthy := f.count(0, Healthy); healthy != len(f.trackers) {
		t.Errorf("healthy on %d of %d VMs", healthy, len(f.trackers))
	}
}

func TestEjectedTargetGetsNoTrialsDuringItsBackOff(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	f.serve(50, func(int) (Kind, time.Duration) { return Refused, time.Millisecond })
	until := f.trackers[0].targets[0].verdict.until
	for f.now < until-time.Second {
		f.step(50 * time.Millisecond)
		for vm, tracker := range f.trackers {
			if target, ok := tracker.NextTrial(f.now); ok {
				t.Fatalf("vm %d tries target %d during the back-off", vm, target)
			}
		}
	}
}

func TestBackOffGrowsToItsLimit(t *testing.T) {
	if backOff(1) != firstBackOff || backOff(2) != 2*firstBackOff || backOff(50) != longestBackOff {
		t.Errorf("back-off %s, %s, %s", backOff(1), backOff(2), backOff(50))
	}
}

func TestThresholdGrowsWithTheCareAskedFor(t *testing.T) {
	eager, careful := Threshold(1, 50), Threshold(0.01, 50)
	if math.Abs(careful-eager-math.Log(100)) > 1e-9 {
		t.Errorf("thresholds %g and %g", eager, careful)
	}
}

func TestNonsenseFromAnotherVMIsBounded(t *testing.T) {
	f := newFleet(1, 9)
	tracker := f.trackers[0]
	for i := range 1000 {
		evidence := Evidence{Target: "t0", VM: "vm9", Zone: fmt.Sprintf("zone%d", i), OldAttempts: -5, GoodTrials: -1}
		for rule := range evidence.Increments {
			evidence.Increments[rule] = math.NaN()
		}
		tracker.ReceiveNews(f.now, &News{Evidence: []Evidence{evidence}, Times: []TimeCount{{Bucket: -1, Count: 1 << 31}}})
	}
	if len(tracker.zones) > zoneLimit {
		t.Errorf("%d zones are kept", len(tracker.zones))
	}
	if weight := tracker.Weights(true)[0]; weight != 1 {
		t.Errorf("weight %g after nonsense", weight)
	}
}
