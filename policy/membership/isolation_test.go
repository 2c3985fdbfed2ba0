package membership

import (
	"testing"
	"time"
)

// TestIsolationExtendsSuspicionTimeout guards against a member that an instance takes for dead
// right after its isolation, since it could not hear the refutation meanwhile.
func TestIsolationExtendsSuspicionTimeout(t *testing.T) {
	s := newSimulation(24)
	fleet := convergedFleet(t, s, 12)
	isolated := fleet[2]
	s.onEvent = func(at *instance, e Event) {
		if at == isolated && e.Kind == EventDead {
			t.Errorf("at %s: %s takes %s for dead", s.now, at.vm, e.VM)
		}
	}
	s.cut = func(from, to string) bool { return from == isolated.vm || to == isolated.vm }
	isolated.state.transition(s.clock(isolated), isolated.state.members[vmName(5)], Suspect, false)
	s.run(2 * s.settings.SuspectTimeout)
	if !isolated.state.Isolated(s.clock(isolated)) {
		t.Fatal("not isolated")
	}
	if m, ok := isolated.state.Lookup(s.clock(isolated), vmName(5)); !ok || m.Status != Suspect {
		t.Fatalf("the member is %s, known %t, during the isolation", m.Status, ok)
	}
	s.cut = func(string, string) bool { return false }
	s.run(10 * time.Second)
	expectAdvertised(t, s, fleet, 12)
}
