package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// propertySeed and propertyRuns make the property tests repeatable.
const (
	propertySeed = 7
	propertyRuns = 300
)

// floorHolds reports whether no target is out of service, or those in service keep
// the floor.
func floorHolds(t *Tracker, now time.Duration) bool {
	slots, out := 0, false
	for i, entry := range t.targets {
		switch t.State(i) {
		case Ejected, Avoided, Held:
			out = true
		case Probation:
			out = out || t.Weights(true)[i] == 0
			if t.Weights(true)[i] > 0 {
				slots += entry.Slots
			}
		case Leaving, Ramping:
		default:
			slots += entry.Slots
		}
	}
	return !out || slots >= t.config.FloorSlots
}

// applyEvent applies the event that a random number stands for.
func applyEvent(t *Tracker, now time.Duration, random *rand.Rand, event int) {
	index := random.IntN(len(t.targets))
	name := t.targets[index].Name
	switch event % 9 {
	case 0, 1:
		attempt := t.StartAttempt(now, index)
		t.EndAttempt(now, attempt, Refused, time.Millisecond)
	case 2:
		evidence := Evidence{Target: name, VM: fmt.Sprintf("vm%d", event%7), Zone: fmt.Sprintf("z%d", event%3), OldAttempts: event % 4, Ejected: event%2 == 0}
		for i := range evidence.Increments {
			evidence.Increments[i] = 30 * random.Float64()
		}
		t.ReceiveNews(now, &News{Evidence: []Evidence{evidence}})
	case 3:
		t.StartAttempt(now, index)
	case 4:
		targets := make([]Target, 0, len(t.targets))
		for i, entry := range t.targets {
			targets = append(targets, Target{Name: entry.Name, Slots: entry.Slots, Leaving: entry.Leaving != (i == index)})
		}
		t.Configure(now, targets)
	case 5:
		t.SetFloor(now, random.IntN(testTargets*testSlots+1), 1)
	case 6:
		attempt := t.StartAttempt(now, index)
		t.EndAttempt(now, attempt, Draining, time.Millisecond)
	case 7:
		t.RecordProbe(now, index, event%2 == 0)
	case 8:
		t.Tick(now)
	}
}

func TestFloorHoldsUnderEveryOrderOfEvents(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(parameters)
	properties.Property("no ejection breaks the floor", prop.ForAll(
		func(events []int, seed int) bool {
			f := newFleet(1, 9)
			tracker := f.trackers[0]
			random := rand.New(rand.NewPCG(uint64(seed), 1))
			now := time.Duration(0)
			for _, event := range events {
				now += time.Duration(random.IntN(300)) * time.Millisecond
				applyEvent(tracker, now, random, event)
				if !floorHolds(tracker, now) {
					return false
				}
			}
			return true
		},
		gen.SliceOfN(120, gen.IntRange(0, 1<<16)),
		gen.IntRange(0, 1<<30),
	))
	properties.TestingRun(t)
}

func TestVMsEjectTheSameTargetsAtTheFloor(t *testing.T) {
	const floor = 12 // two of six targets may be ejected
	f := newFleet(9, floor)
	f.learn()
	for range 200 {
		for vm := range f.trackers {
			target := f.random.IntN(testTargets)
			kind := Succeeded
			if target < 3 && f.random.IntN(2) == 0 {
				kind = Wrong
			}
			f.finishAttempt(vm, target, kind, f.healthyTime())
		}
		f.step(20 * time.Millisecond)
	}
	out := 0
	for target := range testTargets {
		count := f.count(target, Ejected)
		if count != 0 && count != len(f.trackers) {
			t.Errorf("target %d is ejected on %d of %d VMs", target, count, len(f.trackers))
		}
		if count > 0 {
			out++
		}
	}
	if out != 2 {
		t.Errorf("%d targets are ejected, want 2 at the floor", out)
	}
}
