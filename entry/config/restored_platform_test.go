package config

import (
	"errors"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/platform"
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

// TestStaleReplicaConfirmsNothing guards against a replica that still has an older root,
// or has not changed it since, counting as a confirmation of the newest root.
func TestStaleReplicaConfirmsNothing(t *testing.T) {
	bubble(t, func(t *testing.T) {
		f := newFleet(t, examples.SoojaVee(), 2, 1)
		m := New(Options{Source: platform.New(f.replicas, f.network.Host("10.1.0.1")), Members: f.vms[0], Logger: log.New(io.Discard)})
		reader := &platformReader{manager: m, known: make([]replicaRoot, 2)}
		root := func(version, generation uint64) contract.Value {
			content, _, err := encodeRoot(document.Root{Generation: generation})
			if err != nil {
				t.Fatal(err)
			}
			return contract.Value{Version: version, Content: content}
		}
		for _, step := range []struct {
			name    string
			replica int
			value   contract.Value
			stale   bool
		}{
			{"newest root", 1, root(8, 5), false},
			{"older root", 0, root(7, 4), true},
			{"older root, unchanged", 0, contract.Value{Version: 7}, true},
			{"newest root, unchanged", 1, contract.Value{Version: 8}, false},
			{"newer root under a lower version", 0, root(3, 6), false},
			{"root that is no longer the newest, unchanged", 1, contract.Value{Version: 8}, true},
		} {
			time.Sleep(time.Second)
			err := reader.take(step.replica, step.value)
			if stale := errors.Is(err, platform.ErrStale); stale != step.stale || (err != nil) != step.stale {
				t.Errorf("%s: error %v, want stale %v", step.name, err, step.stale)
			}
			if confirmed := m.confirmedAge() == 0; confirmed == step.stale {
				t.Errorf("%s: confirmed %v", step.name, confirmed)
			}
		}
	})
}
