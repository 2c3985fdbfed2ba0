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

// TestQuietFeedersReplaceWatches guards against a fleet that reads the store since nothing changes, so that its
// watchers hear nothing new for the time of a watch.
func TestQuietFeedersReplaceWatches(t *testing.T) {
	withFleet(t, 36, func(k *keyFleet) {
		before := k.store.callCount()
		k.run(time.Minute)
		calls := k.store.callCount() - before
		t.Logf("%d calls to the store in a minute", calls)
		if most := fleetWatchers * 60; calls > most {
			t.Errorf("%d calls to the store in a minute, want at most %d", calls, most)
		}
	})
}
