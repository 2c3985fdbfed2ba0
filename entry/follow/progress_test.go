package follow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// announceEvery lets time pass while another instance announces what position returns.
func announceEvery(f *Follower, vm string, length time.Duration, position func() contract.StorePosition) {
	for range int(length / (200 * time.Millisecond)) {
		f.Announced(vm, contract.Announcement{Position: position()}, true)
		time.Sleep(200 * time.Millisecond)
	}
}

// TestInstanceThatIsNotFedAsksTheStore guards against an instance that takes another's announcements for a
// feed, and acts by old routes for as long as what is announced doesn't arrive, whatever the reason.
func TestInstanceThatIsNotFedAsksTheStore(t *testing.T) {
	feeder := newFed(nil)
	feeder.apply(Listing{Full: true, Position: contract.StorePosition{Revision: 1}}, contract.StorePosition{})
	links := map[string]*boundedLink{
		"refuses":       {to: feeder, before: func(int) error { return errors.New("refused") }},
		"is slow":       {to: feeder, before: func(int) error { time.Sleep(peerTimeout - 100*time.Millisecond); return context.DeadlineExceeded }},
		"has less":      {to: feeder},
		"sends nothing": {to: feeder, change: func(message *primroseloomv1.FollowResponse) { message.Reset() }},
		"sends nonsense": {to: feeder, change: func(message *primroseloomv1.FollowResponse) {
			message.Continued, message.Revision = true, 1<<40
		}},
	}
	for name, link := range links {
		t.Run(name, func(t *testing.T) {
			runFollower(t, false, func(store *fakeStore, f *Follower, l *recordingListener) {
				f.options.Peers = &Peers{Fleet: "f", Members: linkView{"vm-2": link}}
				position := func() contract.StorePosition {
					store.mu.Lock()
					defer store.mu.Unlock()
					return store.position()
				}
				announceEvery(f, "vm-2", 5*time.Second, position)
				for version := range 3 {
					store.put("routes", []string{"routes 5", "routes 6", "routes 7"}[version])
					announceEvery(f, "vm-2", 2*time.Second, position)
					if !l.has(uint64(5+version), "a") {
						t.Errorf("2 s after version %d: %+v", 5+version, l)
					}
				}
				store.set(func() { store.calls = 0 })
				announceEvery(f, "vm-2", 10*time.Second, position)
				if store.calls > 1 {
					t.Errorf("%d calls to the store in 10 s, with nothing left to ask", store.calls)
				}
			})
		})
	}
}

// TestAnotherFeederIsAskedBeforeTheStore guards against an instance that asks one that can't give what it
// announces again and again, or the store although another has it.
func TestAnotherFeederIsAskedBeforeTheStore(t *testing.T) {
	runFollower(t, false, func(store *fakeStore, f *Follower, l *recordingListener) {
		feeder := newFed(nil)
		links := linkView{"vm-2": {to: feeder, before: func(int) error { return errors.New("refused") }}, "vm-3": {to: feeder}}
		f.options.Peers = &Peers{Fleet: "f", Members: links}
		announceEvery(f, "vm-2", 5*time.Second, f.Position)
		store.set(func() { store.calls = 0 })
		store.put("routes", "routes 5")
		listing, _ := store.List(t.Context())
		feeder.apply(listing, contract.StorePosition{})
		f.Announced("vm-2", contract.Announcement{Position: feeder.Position()}, true)
		f.Announced("vm-3", contract.Announcement{Position: feeder.Position()}, true)
		time.Sleep(200 * time.Millisecond)
		if !l.has(5, "a") || store.calls > 1 {
			t.Errorf("after 200 ms: %+v, %d calls to the store", l, store.calls-1)
		}
	})
}

// TestWrongClaimsCostFewCalls guards against an instance that announces what the store doesn't have and so
// makes the whole fleet read the store.
func TestWrongClaimsCostFewCalls(t *testing.T) {
	runFollower(t, false, func(store *fakeStore, f *Follower, _ *recordingListener) {
		f.options.Peers = &Peers{Fleet: "f", Members: linkView{"vm-2": {to: newFed(nil)}}}
		announceEvery(f, "vm-2", 5*time.Second, f.Position)
		store.set(func() { store.calls = 0 })
		announceEvery(f, "vm-2", time.Minute, func() contract.StorePosition { return contract.StorePosition{Revision: 1 << 40} })
		if most := int(time.Minute/disprovedTime) + 1; store.calls > most || store.calls == 0 {
			t.Errorf("%d calls to the store in a minute of wrong claims, want at most %d and some", store.calls, most)
		}
	})
}

// TestFleetThatIsNotFedAsksTheStoreInTurn guards against a fleet of 36 whose feeders bring nothing and
// that either never gets a change, or asks the store more than 20 times a second, with a change each 3 s.
func TestFleetThatIsNotFedAsksTheStoreInTurn(t *testing.T) {
	withFleet(t, 36, func(k *keyFleet) {
		k.mu.Lock()
		k.feedsFail = true
		k.mu.Unlock()
		for range 5 {
			k.store.put("t/a", "target 10.0.0.2:80")
			before, behind := k.store.callCount(), 0
			k.run(2 * time.Second)
			for _, f := range k.instances {
				if f.Position().Revision < k.store.revision {
					behind++
				}
			}
			k.run(time.Second)
			calls := k.store.callCount() - before
			t.Logf("%d calls to the store in 3 s", calls)
			if behind > 0 || calls > 3*20 {
				t.Errorf("%d instances don't have a change after 2 s; %d calls to the store in 3 s, want at most 60", behind, calls)
			}
		}
	})
}
