package generation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/subset"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOffersAreOrdered(t *testing.T) {
	decider := NewDecider(origin)
	steps := []struct {
		root     Root
		source   Source
		decision Decision
	}{
		{Root{5, "b"}, FromPlatform, Newer},
		{Root{5, "b"}, FromPeer, Same},
		{Root{4, "z"}, FromPeer, Older},
		{Root{5, "a"}, FromPlatform, Conflict},
		{Root{5, "c"}, FromPlatform, ConflictNewer},
		{Root{3, "x"}, FromPlatform, Older},
		{Root{6, "a"}, FromPeer, Newer},
	}
	for i, step := range steps {
		if got := decider.Offer(step.root, step.source); got != step.decision {
			t.Errorf("step %d: decision %d, want %d", i, got, step.decision)
		}
	}
	if got, want := decider.Counts(), (Counts{OlderFromPlatform: 1, OlderFromPeer: 1, Conflicts: 2}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
	if !decider.MarkInForce(Root{6, "a"}) || decider.MarkInForce(Root{5, "c"}) || decider.InForce().Generation != 6 {
		t.Error("an older root was put in force")
	}
}

func TestStartWaitsForBothSourcesOrTimeout(t *testing.T) {
	root := Root{1, "a"}
	waiting := NewDecider(origin)
	waiting.Offer(root, FromPlatform)
	if _, ok := waiting.Next(origin.Add(StartWait - 1)); ok {
		t.Error("root chosen before the peers responded")
	}
	if _, ok := waiting.Next(origin.Add(StartWait)); !ok {
		t.Error("root not chosen after the start wait")
	}
	waiting.NoteResponse(FromPeer)
	if _, ok := waiting.Next(origin); !ok {
		t.Error("root not chosen though both sources have responded")
	}
}

func TestDiscardedRootDoesNotBlockAnother(t *testing.T) {
	decider := NewDecider(origin)
	decider.Offer(Root{9, "bad"}, FromPeer)
	decider.Discard(Root{9, "bad"})
	if decider.Offer(Root{3, "good"}, FromPlatform) != Newer {
		t.Error("a discarded root blocks an older one")
	}
}

func fleetOf(count, zones int) []subset.VM {
	var view []subset.VM
	for i := range count {
		view = append(view, subset.VM{Name: fmt.Sprintf("vm-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones)})
	}
	return view
}

// TestEveryInstanceHasAPathToAReader follows the parents of each instance up to a
// reader, with and without the instance itself in its view.
func TestEveryInstanceHasAPathToAReader(t *testing.T) {
	for _, size := range []struct{ count, zones int }{{1, 1}, {2, 1}, {2, 2}, {7, 3}, {36, 3}, {200, 3}, {840, 10}} {
		view := fleetOf(size.count, size.zones)
		roles := make(map[string]Role)
		children := make(map[string]int)
		indices := make(map[int]bool)
		for _, vm := range view {
			others := slices.DeleteFunc(slices.Clone(view), func(other subset.VM) bool { return other == vm })
			role := AssignRole(vm, view)
			if again := AssignRole(vm, others); !slices.Equal(again.Parents, role.Parents) {
				t.Fatalf("%v: the role of %s differs when the view lacks it", size, vm.Name)
			}
			roles[vm.Name] = role
			for _, parent := range role.Parents {
				children[parent]++
			}
			if role.Reader {
				indices[role.Index] = true
			}
		}
		if want := min(size.count, ReadersPerZone*size.zones); len(indices) != want {
			t.Errorf("%v: %d readers, want %d", size, len(indices), want)
		}
		for name := range roles {
			depth := 0
			for at := name; !roles[at].Reader; at = roles[at].Parents[0] {
				if depth++; depth > 5 {
					t.Fatalf("%v: %s is more than 5 hops from a reader", size, name)
				}
			}
			if children[name] > 2*Fanout+4 {
				t.Errorf("%v: %s has %d children", size, name, children[name])
			}
		}
	}
}

// TestCallRatesStayWithinTheLimit splits fleets into groups that see only
// themselves and adds up the calls that all instances may make.
func TestCallRatesStayWithinTheLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		view := fleetOf(840, 10)
		random.Shuffle(len(view), func(i, j int) { view[i], view[j] = view[j], view[i] })
		total := 0.0
		for len(view) > 0 {
			group := view[:1+random.IntN(len(view))]
			view = view[len(group):]
			role := AssignRole(group[0], group)
			total += float64(role.Readers) * CallRate(Role{Reader: true, Members: len(group), Readers: role.Readers}, 840)
			total += float64(len(group)-role.Readers) * CallRate(Role{}, 840)
		}
		if total > 1500.001 {
			t.Fatalf("%.0f calls per second, want at most 1500", total)
		}
	}
}

func TestBudgetSpacesCalls(t *testing.T) {
	var budget Budget
	var last time.Duration
	for range 11 {
		last = budget.Reserve(origin, 10)
	}
	if last != time.Second {
		t.Errorf("the 11th call at 10 per second waits %v, want 1s", last)
	}
	if wait := budget.Reserve(origin.Add(time.Minute), 10); wait != 0 {
		t.Errorf("a call after a pause waits %v", wait)
	}
}

func TestSummarizeRolloutListsMembersBehind(t *testing.T) {
	rollout := SummarizeRollout([]Statement{
		{VM: "a", Generation: 7},
		{VM: "e", Generation: 6},
		{VM: "b", Generation: 6, Problem: "fetch shard: reset"},
		{VM: "c", Generation: 5, Suspect: true},
		{VM: "d", Rejected: 2},
	})
	want := []MemberBehind{{"b", 6, "fetch shard: reset"}, {"c", 5, ReasonUnresponsive}, {"d", 0, ReasonNoConfig}, {"e", 6, ReasonNotFetched}}
	if rollout.Generation != 7 || rollout.Current != 1 || !slices.Equal(rollout.Behind, want) {
		t.Errorf("rollout %+v", rollout)
	}
	if !slices.Equal(rollout.Rejecting, []MemberRejecting{{"d", 2}}) {
		t.Errorf("rejecting %+v", rollout.Rejecting)
	}
}
