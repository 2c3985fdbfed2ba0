package roster

import (
	"testing"
	"time"
)

func ready(id string) Target {
	return Target{ID: id, Service: "berth", Address: "10.0.0.1:80", Slots: 2, State: StateReady}
}

func ids(r *Roster) []string {
	var names []string
	for _, target := range r.Targets() {
		names = append(names, target.ID)
	}
	return names
}

func TestRemovalTakesEffectAtOnceWithoutOutage(t *testing.T) {
	r := New()
	r.Put(ready("a"), 0)
	if !r.Remove("a", time.Minute) || r.Len() != 0 {
		t.Errorf("targets after removal: %v", ids(r))
	}
}

func TestExpiredEntryCanBeRepublishedAfterOutage(t *testing.T) {
	const reachableAt = time.Minute
	r := New()
	r.Put(ready("running"), 0)
	r.Put(ready("dead"), 0)
	r.MarkStoreUnreachable()
	r.MarkStoreReachable(reachableAt)
	r.Retain(map[string]bool{}, reachableAt)
	if r.Len() != 2 {
		t.Fatalf("targets right after the outage: %v, want both", ids(r))
	}
	r.Put(ready("running"), 0)
	if expired, _ := r.Expire(reachableAt + RepublishGrace); len(expired) != 1 || expired[0] != "dead" {
		t.Errorf("expired %v, want only \"dead\"", expired)
	}
	if r.Len() != 1 {
		t.Errorf("remaining targets: %v", ids(r))
	}
}

func TestDrainingTargetIsNotKeptAfterAnOutage(t *testing.T) {
	r := New()
	leaving := ready("a")
	leaving.State = StateDraining
	r.Put(leaving, 0)
	r.MarkStoreUnreachable()
	r.MarkStoreReachable(time.Minute)
	if !r.Remove("a", time.Minute) || r.Len() != 0 {
		t.Errorf("remaining targets: %v", ids(r))
	}
}

func TestPutReportsChangesOnly(t *testing.T) {
	r := New()
	target := ready("a")
	if r.Put(target, 0) != Changed {
		t.Error("a new target is not reported as a change")
	}
	target.WarmUntil = time.Second
	if r.Put(target, 0) == Changed {
		t.Error("a new WarmUntil alone is reported as a change")
	}
	target.StartedAt = time.Unix(5, 0)
	if r.Put(target, 0) != Changed {
		t.Error("a restart under the same identifier is not reported as a change")
	}
}

// TestDeferredRemovalsOfTwoOutagesAreCarriedOut guards against a removal that is forgotten when another outage defers
// further ones: each is carried out when it is due.
func TestDeferredRemovalsOfTwoOutagesAreCarriedOut(t *testing.T) {
	r := New()
	for _, id := range []string{"a", "b", "c"} {
		r.Put(Target{ID: id, State: StateReady}, 0)
	}
	first, second := time.Minute, time.Minute+RepublishGrace/2
	for i, at := range []time.Duration{first, second} {
		r.MarkStoreUnreachable()
		r.MarkStoreReachable(at)
		r.Remove([]string{"a", "b"}[i], at)
	}
	for _, step := range []struct {
		at   time.Duration
		want int
	}{{first + RepublishGrace - 1, 3}, {first + RepublishGrace, 2}, {second + RepublishGrace - 1, 2}, {second + RepublishGrace, 1}, {time.Hour, 1}} {
		r.Expire(step.at)
		if r.Len() != step.want {
			t.Errorf("at %v: %d targets, want %d", step.at, r.Len(), step.want)
		}
	}
}
