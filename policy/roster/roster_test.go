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

func TestRemovalTakesEffectAtOnceInCalmTimes(t *testing.T) {
	r := New()
	r.Put(ready("a"))
	if !r.Remove("a", time.Minute) || r.Len() != 0 {
		t.Errorf("targets after removal: %v", ids(r))
	}
}

func TestLapsedEntryHasTimeToComeBack(t *testing.T) {
	const back = time.Minute
	r := New()
	r.Put(ready("lives"))
	r.Put(ready("dead"))
	r.MarkStoreUnreachable()
	r.MarkStoreReachable(back)
	r.Retain(map[string]bool{}, back)
	if r.Len() != 2 {
		t.Fatalf("right after the store's return: %v", ids(r))
	}
	r.Put(ready("lives"))
	if expired := r.Expire(back + RepublishGrace); len(expired) != 1 || expired[0] != "dead" {
		t.Errorf("expired %v", expired)
	}
	if r.Len() != 1 {
		t.Errorf("left: %v", ids(r))
	}
}

func TestDrainingTargetIsNotKeptAfterAnOutage(t *testing.T) {
	r := New()
	leaving := ready("a")
	leaving.State = StateDraining
	r.Put(leaving)
	r.MarkStoreUnreachable()
	r.MarkStoreReachable(time.Minute)
	if !r.Remove("a", time.Minute) || r.Len() != 0 {
		t.Errorf("left: %v", ids(r))
	}
}

func TestPutTellsChangesFromHeartbeats(t *testing.T) {
	r := New()
	target := ready("a")
	if !r.Put(target) {
		t.Error("a new target is no change")
	}
	target.WarmUntil = time.Second
	if r.Put(target) {
		t.Error("a new warm-up time alone is a change")
	}
	target.StartedAt = time.Unix(5, 0)
	if !r.Put(target) {
		t.Error("a restart under the same identifier is no change")
	}
}
