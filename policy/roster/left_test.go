package roster

import (
	"testing"
	"time"
)

// reported is a report of a target that counts its reports.
func reported(started, sequence int64, state State) Target {
	target := ready("a")
	target.StartedAt, target.Sequence, target.State = time.Unix(started, 0), uint64(sequence), state
	return target
}

// TestRestoredStoreDoesNotReviveTargets guards against requests to a target that has
// announced that it leaves, or has left, because a copy of the store knows an older report
// of it.
func TestRestoredStoreDoesNotReviveTargets(t *testing.T) {
	const learned, restored = time.Minute, 2 * time.Minute
	for _, c := range []struct {
		name string
		// before is known before the store is restored; removed is true when the entry was
		// removed, too. listed is the report in the restored store.
		before  Target
		removed bool
		listed  Target
		// want is the state right after, later the one after RevivalHold; "" for none.
		want, later State
	}{
		{"older report of a draining target", reported(1, 5, StateDraining), false, reported(1, 4, StateReady), StateDraining, StateDraining},
		{"newer report of a draining target", reported(1, 5, StateDraining), false, reported(1, 6, StateReady), StateReady, StateReady},
		{"newer start of a draining target", reported(1, 5, StateDraining), false, reported(2, 1, StateReady), StateReady, StateReady},
		{"older start", reported(2, 1, StateReady), false, reported(1, 9, StateDraining), StateReady, StateReady},
		{"report of a target that has left", reported(1, 5, StateReady), true, reported(1, 5, StateReady), "", StateReady},
		{"report of a target that announced that it leaves and left", reported(1, 5, StateDraining), true, reported(1, 4, StateReady), "", ""},
		{"newer report of a target that has left", reported(1, 5, StateReady), true, reported(1, 6, StateReady), StateReady, StateReady},
		{"newer start of a target that has left", reported(1, 5, StateDraining), true, reported(2, 1, StateReady), StateReady, StateReady},
	} {
		r := New()
		r.Put(c.before, learned)
		if c.removed {
			r.Remove("a", learned+RepublishGrace)
		}
		r.MarkStoreRestored(restored)
		r.Put(c.listed, restored)
		if got := stateOf(r, "a"); got != c.want {
			t.Errorf("%s: state %q after the store was restored, want %q", c.name, got, c.want)
		}
		r.Expire(restored + RevivalHold)
		if got := stateOf(r, "a"); got != c.later {
			t.Errorf("%s: state %q after the hold, want %q", c.name, got, c.later)
		}
	}
}

// TestReportsAreNotOrderedWithoutRestoration guards against ignoring a target whose clock
// went back: within one history of the store the latest entry holds.
func TestReportsAreNotOrderedWithoutRestoration(t *testing.T) {
	r := New()
	r.Put(reported(9, 5, StateDraining), 0)
	r.Put(reported(8, 1, StateReady), 0)
	if got := stateOf(r, "a"); got != StateReady {
		t.Errorf("state %q, want the latest entry's", got)
	}
}

// TestHeldTargetThatLapsesIsNotRevived guards against using the entry of a target that has
// ended, which a restored store lists until it lapses.
func TestHeldTargetThatLapsesIsNotRevived(t *testing.T) {
	for _, lapse := range []func(r *Roster){
		func(r *Roster) { r.Remove("a", 2*time.Minute) },
		func(r *Roster) { r.Retain(map[string]bool{}, 2*time.Minute) },
	} {
		r := New()
		r.Put(reported(1, 5, StateReady), 0)
		r.Remove("a", time.Minute)
		r.MarkStoreRestored(2 * time.Minute)
		r.Put(reported(1, 5, StateReady), 2*time.Minute)
		lapse(r)
		if _, revived := r.Expire(2*time.Minute + RevivalHold); revived || r.Len() != 0 {
			t.Errorf("remaining targets: %v", ids(r))
		}
	}
}

// stateOf returns the state of a target, or "" for none.
func stateOf(r *Roster, id string) State {
	for _, target := range r.Targets() {
		if target.ID == id {
			return target.State
		}
	}
	return ""
}

// TestOutdatedEntryEndsADeferredRemoval guards against removing a target whose entry was
// missing after an outage and has come back in an older form.
func TestOutdatedEntryEndsADeferredRemoval(t *testing.T) {
	r := New()
	r.Put(reported(2, 5, StateReady), 0)
	r.MarkStoreRestored(time.Minute)
	r.Retain(map[string]bool{}, time.Minute)
	older := reported(1, 9, StateReady)
	if update := r.Put(older, time.Minute+time.Second); update != Outdated {
		t.Errorf("an older start is %v", update)
	}
	if expired, _ := r.Expire(time.Minute + 2*RepublishGrace); len(expired) > 0 || r.Len() != 1 {
		t.Errorf("removed %v", expired)
	}
}
