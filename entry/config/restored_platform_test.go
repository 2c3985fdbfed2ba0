package config

import (
	"strconv"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/examples"
	standin "github.com/primroseloom/primroseloom/standin/platform"
)

// TestGenerationPublishedAfterThePlatformWentBackIsInForce guards against readers that
// take a platform restored from a copy for a stale replica, since its versions are lower
// than those they have seen, or that take another value under a version that was assigned
// again for the one they have.
func TestGenerationPublishedAfterThePlatformWentBackIsInForce(t *testing.T) {
	for _, lost := range []int{1, 2, 12} {
		t.Run(strconv.Itoa(lost), func(t *testing.T) {
			bubble(t, func(t *testing.T) { testRestoredPlatform(t, lost) })
		})
	}
}

// testRestoredPlatform loses a number of publications and publishes once more.
func testRestoredPlatform(t *testing.T, lost int) {
	const outage, bound = time.Second, 4 * time.Second
	f := newFleet(t, examples.SoojaVee(), 2, 9)
	f.publish()
	f.startAll()
	time.Sleep(20 * time.Second)
	copied := f.platform.Copy()
	for range lost {
		f.publish()
		time.Sleep(time.Second)
	}
	time.Sleep(10 * time.Second)
	f.setReplicaFaults(standin.Faults{Down: true})
	time.Sleep(outage)
	f.platform.Restore(copied)
	published := f.publish()
	f.setReplicaFaults(standin.Faults{Delay: platformDelay})
	time.Sleep(bound)
	for _, v := range f.vms {
		if got := v.manager.newestRoot().Generation; got != published {
			t.Errorf("%d versions lost: %s has generation %d %v after %d was published", lost, v.name, got, bound, published)
		}
	}
}

// setReplicaFaults sets the faults of all replicas.
func (f *fleet) setReplicaFaults(faults standin.Faults) {
	for i := range f.replicas {
		f.platform.Replica(i).SetFaults(faults)
	}
}
