package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a set of trackers that receive each other's news at once.
type fleet struct {
	now      time.Duration
	trackers []*Tracker
	random   *rand.Rand
	// noReceive holds the VMs that send news but receive none.
	noReceive map[int]bool
}

const (
	testTargets = 6
	testSlots   = 3
)

func newFleet(vms, floor int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), noReceive: make(map[int]bool)}
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

// step advances the time and exchanges news.
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
			if to != from && !f.noReceive[to] {
				other.ReceiveNews(f.now, &news)
			}
		}
	}
}

// finishAttempt records an attempt of a VM on a target that ends now.
func (f *fleet) finishAttempt(vm, target int, kind Kind, elapsed time.Duration) {
	tracker := f.trackers[vm]
	attempt := tracker.StartAttempt(f.now-elapsed, target)
	tracker.EndAttempt(f.now, attempt, kind, elapsed)
}

// healthyTime returns a random service time of a healthy target.
func (f *fleet) healthyTime() time.Duration {
	return time.Duration(30 * float64(time.Millisecond) * math.Exp(0.7*f.random.NormFloat64()))
}

// learn gives every VM healthy service times of every target.
func (f *fleet) learn() {
	for range 2000 {
		for vm := range f.trackers {
			f.finishAttempt(vm, f.random.IntN(testTargets), Succeeded, f.healthyTime())
		}
		f.step(20 * time.Millisecond)
	}
}

// serve sends one request per VM and round to a target in service, or a trial if
// one is due. Attempts on target 0 have the given outcome, others succeed.
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
				kind, elapsed := outcome(vm)
				f.finishAttempt(vm, target, kind, elapsed)
				continue
			}
			f.finishAttempt(vm, target, Succeeded, f.healthyTime())
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

func TestFaultyTargetIsEjectedByAllVMs(t *testing.T) {
	cases := map[string]func(f *fleet) (Kind, time.Duration){
		"wrong":   func(f *fleet) (Kind, time.Duration) { return Wrong, f.healthyTime() },
		"refused": func(*fleet) (Kind, time.Duration) { return Refused, time.Millisecond },
		"reset":   func(*fleet) (Kind, time.Duration) { return Reset, time.Millisecond },
		"one error in three": func(f *fleet) (Kind, time.Duration) {
			if f.random.IntN(3) == 0 {
				return Wrong, f.healthyTime()
			}
			return Succeeded, f.healthyTime()
		},
		"ten times as slow": func(f *fleet) (Kind, time.Duration) { return Succeeded, 10 * f.healthyTime() },
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
		return Succeeded, f.healthyTime()
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

func TestOverloadOfAllTargetsEjectsNone(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for range 400 {
		for vm := range f.trackers {
			f.finishAttempt(vm, f.random.IntN(testTargets), Succeeded, 5*f.healthyTime())
		}
		f.step(20 * time.Millisecond)
	}
	for target := range testTargets {
		if out := f.count(target, Ejected); out > 0 {
			t.Errorf("%d VMs ejected target %d", out, target)
		}
	}
}

func TestFailuresOfAllTargetsEjectNone(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for range 400 {
		for vm := range f.trackers {
			kind := Succeeded
			if f.random.IntN(3) == 0 {
				kind = Wrong
			}
			f.finishAttempt(vm, f.random.IntN(testTargets), kind, f.healthyTime())
		}
		f.step(20 * time.Millisecond)
	}
	for target := range testTargets {
		if out := f.count(target, Ejected); out > 0 {
			t.Errorf("%d VMs ejected target %d", out, target)
		}
	}
}

func TestFailingProbesAloneKeepTargetHealthy(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	for range 100 {
		for _, tracker := range f.trackers {
			tracker.RecordProbe(f.now, 0, false)
		}
		f.serve(1, func(int) (Kind, time.Duration) { return Succeeded, f.healthyTime() })
	}
	if healthy := f.count(0, Healthy); healthy != len(f.trackers) {
		t.Errorf("a target whose probes fail is healthy on %d of %d VMs", healthy, len(f.trackers))
	}
}

func TestHungTargetGetsNoWorkBeforeItsAttemptsEnd(t *testing.T) {
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
			t.Errorf("vm %d: weight %g for a target that does not respond", vm, weight)
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

func TestTargetReturnsThroughTrialsAndRamp(t *testing.T) {
	f := newFleet(9, 9)
	f.learn()
	f.serve(50, func(int) (Kind, time.Duration) { return Refused, time.Millisecond })
	if f.count(0, Ejected) == 0 {
		t.Fatal("the target was not ejected")
	}
	ramped := false
	for range 2000 {
		f.serve(1, func(int) (Kind, time.Duration) { return Succeeded, f.healthyTime() })
		ramped = ramped || f.count(0, Ramping) > 0
	}
	if !ramped || f.count(0, Healthy) != len(f.trackers) {
		t.Errorf("ramped %v, healthy on %d of %d VMs", ramped, f.count(0, Healthy), len(f.trackers))
	}
}

func TestTargetReturnsWithoutIdempotentRequests(t *testing.T) {
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
	until := f.trackers[0].targets[0].assessment.backOffUntil
	for f.now < until-time.Second {
		f.step(50 * time.Millisecond)
		for vm, tracker := range f.trackers {
			if target, ok := tracker.NextTrial(f.now); ok {
				t.Fatalf("vm %d sends a trial to target %d during the back-off", vm, target)
			}
		}
	}
}

func TestBackOffGrowsToItsLimit(t *testing.T) {
	if backOff(1) != firstBackOff || backOff(2) != 2*firstBackOff || backOff(50) != maxBackOff {
		t.Errorf("back-off %s, %s, %s", backOff(1), backOff(2), backOff(50))
	}
}

func TestThresholdGrowsAsFewerFalseEjectionsAreAccepted(t *testing.T) {
	lower, higher := Threshold(1, 50), Threshold(0.01, 50)
	if math.Abs(higher-lower-math.Log(100)) > 1e-9 {
		t.Errorf("thresholds %g and %g", lower, higher)
	}
}

func TestInvalidNewsFromAnotherVMIsBounded(t *testing.T) {
	f := newFleet(1, 9)
	tracker := f.trackers[0]
	for i := range 1000 {
		evidence := Evidence{Target: "t0", VM: "vm9", Zone: fmt.Sprintf("zone%d", i), OldAttempts: -5, GoodTrials: -1}
		for rule := range evidence.Increments {
			evidence.Increments[rule] = math.NaN()
		}
		tracker.ReceiveNews(f.now, &News{Evidence: []Evidence{evidence}, Times: []TimeCount{{Bucket: -1, Count: 1 << 31}}})
	}
	if len(tracker.zones) > maxZones {
		t.Errorf("%d zones are tracked", len(tracker.zones))
	}
	if weight := tracker.Weights(true)[0]; weight != 1 {
		t.Errorf("weight %g after invalid news, want 1", weight)
	}
}
