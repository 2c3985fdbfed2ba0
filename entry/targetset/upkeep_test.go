package targetset

import (
	"testing"

	"github.com/primroseloom/primroseloom/policy/roster"
)

// TestTargetsMayChangeWhileTheyAreReconnected guards against a read of a target that is published
// anew at that time, which the race detector finds.
func TestTargetsMayChangeWhileTheyAreReconnected(t *testing.T) {
	f := newFixture(8)
	for _, target := range f.targets {
		target.unreachable = true
	}
	for i := range 100 {
		state := roster.StateReady
		if i%2 == 0 {
			state = roster.StateDraining
		}
		f.reconnect(t.Context())
		changed := published(8)
		for i := range changed {
			changed[i].State = state
		}
		f.TargetsChanged(changed)
	}
}
