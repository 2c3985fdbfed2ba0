package follow

import (
	"testing"
	"time"
)

// silence makes the store give instances no response, or answer them again. Watches in progress get none, either.
func (k *keyFleet) silence(isSilent bool, instances ...int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range instances {
		k.silent[i] = isSilent
	}
}

func (k *keyFleet) isSilent(i int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent[i]
}

// TestVersionIsInForceWhileFeedersHearNothing guards against instances that the store serves and that act by old
// routes, as those that watch it for them get no response and go on announcing what they had (KNOWN-RED 15).
func TestVersionIsInForceWhileFeedersHearNothing(t *testing.T) {
	for _, size := range []int{9, 36} {
		withFleet(t, size, func(k *keyFleet) {
			k.primaries.Store(int64(min(size, 3*fleetWatchers)))
			for round := range 12 {
				k.silence(true, 0, 1, 2, 3)
				k.run(time.Duration(round) * 50 * time.Millisecond)
				before := k.store.callCount()
				k.store.put("t/a", "target 10.0.0.2:80")
				k.run(2 * time.Second)
				calls := k.store.callCount() - before
				for i, f := range k.instances[fleetWatchers:] {
					if f.Position().Revision < k.store.revision {
						t.Errorf("%d instances, round %d: instance %d doesn't have a version 2 s after its confirmation", size, round, fleetWatchers+i)
					}
				}
				if most := 2 * 20; calls > most {
					t.Errorf("%d instances, round %d: %d calls to the store in 2 s, want at most %d", size, round, calls, most)
				}
				k.silence(false, 0, 1, 2, 3)
				k.run(5 * time.Second)
			}
		})
	}
}

// TestCalmFeedersReplaceWatches guards against a fleet that reads the store since its watchers hear nothing new for the
// time of a watch: in calm, and after a change, which begins the watches of all of them together.
func TestCalmFeedersReplaceWatches(t *testing.T) {
	const changes, pause = 20, 3 * time.Second
	for _, size := range []int{36, 300} {
		withFleet(t, size, func(k *keyFleet) {
			before := k.store.callCount()
			k.mu.Lock()
			clear(k.watches)
			k.mu.Unlock()
			for range changes {
				k.store.put("t/a", "target 10.0.0.2:80")
				k.run(pause)
			}
			calls, others := k.store.callCount()-before, 0
			k.mu.Lock()
			for i, watches := range k.watches {
				if i >= fleetWatchers {
					others += watches
				}
			}
			k.mu.Unlock()
			t.Logf("%d instances: %d calls to the store in a minute, %d of them by those that are fed", size, calls, others)
			if most := fleetWatchers * (60 + changes); calls > most || others > 0 {
				t.Errorf("%d instances: %d calls to the store in a minute, want at most %d; %d by instances that are fed, want none", size, calls, most, others)
			}
		})
	}
}
