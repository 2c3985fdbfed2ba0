package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// TestWithoutStoreAPeerConfirms is a table of peers and of how long an instance that lost the
// store stays current: as long as a current peer can be reached.
func TestWithoutStoreAPeerConfirms(t *testing.T) {
	unimplemented := connect.NewError(connect.CodeUnimplemented, errors.New("no such call"))
	const long = 20 * time.Second
	for _, c := range []struct {
		name  string
		peers map[string]*fakePeer
		// isKept is whether the instance stays current.
		isKept bool
	}{
		{"no peer", nil, false},
		{"a current one", map[string]*fakePeer{"a": confirms(firstVersion, time.Second)}, true},
		{"one that died and a current one", map[string]*fakePeer{"a": fails(errUnavailable), "b": confirms(firstVersion, time.Second)}, true},
		{"an older build and a current one", map[string]*fakePeer{"a": fails(unimplemented), "b": confirms(firstVersion, time.Second)}, true},
		{"two behind a cut and a current one", map[string]*fakePeer{"a": silent(), "b": silent(), "c": confirms(firstVersion, time.Second)}, true},
		{"older builds only", map[string]*fakePeer{"a": fails(unimplemented), "b": fails(unimplemented)}, false},
		{"one that is not current itself", map[string]*fakePeer{"a": confirms(firstVersion, keysBound)}, false},
		{"one with older routes", map[string]*fakePeer{"a": confirms(firstVersion-1, 0)}, false},
		{"one with newer routes that it does not pass on", map[string]*fakePeer{"a": confirms(firstVersion+1, 0)}, false},
		{"one without a confirmation", map[string]*fakePeer{"a": knows(firstVersion)}, false},
		{"a slow one", map[string]*fakePeer{"a": slow(firstVersion, 300*time.Millisecond)}, true},
	} {
		withPeers(t, c.peers, func(k *keyed) {
			k.loseStore()
			time.Sleep(2 * time.Second) // a watch under way may still be answered
			kept := k.currentFor(long)
			if c.isKept && kept < long || !c.isKept && kept > keysBound {
				t.Errorf("%s: current for %v", c.name, kept)
			}
		})
	}
}

// TestLateAnswerCountsFromWhenItWasAsked guards against a confirmation that is taken for newer
// than it is since its answer was slow.
func TestLateAnswerCountsFromWhenItWasAsked(t *testing.T) {
	const delay = 350 * time.Millisecond
	withPeers(t, map[string]*fakePeer{"a": slow(firstVersion, delay)}, func(k *keyed) {
		k.loseStore()
		time.Sleep(10 * time.Second)
		least := keysBound
		for range 300 {
			least = min(least, k.age())
			time.Sleep(10 * time.Millisecond)
		}
		if least < delay-20*time.Millisecond {
			t.Errorf("the youngest confirmation was %v old, answers take %v", least, delay)
		}
	})
}

// TestSuspendedInstanceWakesNotCurrent guards against an instance that was suspended for 10 s
// and serves the requests that arrived meanwhile by the routes that it had before.
func TestSuspendedInstanceWakesNotCurrent(t *testing.T) {
	withPeers(t, map[string]*fakePeer{"a": confirms(firstVersion, time.Second)}, func(k *keyed) {
		if !k.KeysCurrent() {
			t.Fatal("not current before")
		}
		k.suspended.Add(int64(10 * time.Second))
		if k.KeysCurrent() || !k.KeysNotCurrent() {
			t.Error("current right after a suspension of 10 s")
		}
		time.Sleep(2 * time.Second)
		if !k.KeysCurrent() {
			t.Error("not current 2 s after the suspension")
		}
	})
}

// TestNewInstanceNeedsAConfirmation guards against an instance that serves keys by what a
// store lists which may come from a copy, before it has heard of its peers' routes.
func TestNewInstanceNeedsAConfirmation(t *testing.T) {
	withPeers(t, map[string]*fakePeer{"a": silent(), "b": silent(), "c": silent(), "d": silent()}, func(k *keyed) {
		if !k.Ready() || k.KeysCurrent() || !k.KeysNotCurrent() {
			t.Errorf("ready %v, current %v", k.Ready(), k.KeysCurrent())
		}
		time.Sleep(2 * keysBound)
		if !k.KeysCurrent() {
			t.Error("an instance whose peers never answer is not current although the store is")
		}
	})
	withPeers(t, map[string]*fakePeer{"a": knows(0), "b": knows(0), "c": silent()}, func(k *keyed) {
		k.peers.mu.Lock()
		k.peers.peers["c"] = knows(0)
		k.peers.mu.Unlock()
		time.Sleep(time.Second)
		if !k.KeysCurrent() {
			t.Error("of instances that start together none becomes current")
		}
	})
}

// TestRestoredStoreConfirmsNothingNewerThanItHas guards against an instance that is current by
// the word of a store that was restored from a copy, although a peer has newer routes.
func TestRestoredStoreConfirmsNothingNewerThanItHas(t *testing.T) {
	withPeers(t, map[string]*fakePeer{"a": knows(firstVersion), "b": knows(firstVersion)}, func(k *keyed) {
		k.store.set(func() { k.store.era++ })
		k.Announced("b", contract.Announcement{RoutesVersion: firstVersion + 1}, false)
		time.Sleep(keysBound + 2*time.Second)
		if k.KeysCurrent() {
			t.Error("current although a peer has newer routes")
		}
		k.store.put("routes", fmt.Sprintf("routes %d", firstVersion+1))
		time.Sleep(2 * time.Second)
		if !k.KeysCurrent() {
			t.Error("not current although the newest routes are in force and the store has them")
		}
	})
}

// TestPeersPassNewerRoutesWithTheirAnswer guards against an instance that hears of newer routes
// and waits for them although the peer that told of them has them.
func TestPeersPassNewerRoutesWithTheirAnswer(t *testing.T) {
	peer := confirms(firstVersion+1, 0)
	confirmed := peer.answer
	peer.answer = func(ctx context.Context) (*primroseloomv1.ConfirmRoutesResponse, error) {
		message, err := confirmed(ctx)
		message.NewestRoutes = &primroseloomv1.FeedItem{Key: "routes", Value: fmt.Appendf(nil, "routes %d", firstVersion+1)}
		return message, err
	}
	withPeers(t, map[string]*fakePeer{"a": peer}, func(k *keyed) {
		k.loseStore()
		time.Sleep(2 * keysBound)
		if k.RoutesVersion() != firstVersion+1 || !k.KeysCurrent() {
			t.Errorf("version %d, current %v", k.RoutesVersion(), k.KeysCurrent())
		}
	})
}

// TestInstanceWithoutRequestsAsksNobody guards against calls between hundreds of instances that
// serve no requests with keys.
func TestInstanceWithoutRequestsAsksNobody(t *testing.T) {
	peer := confirms(firstVersion, time.Second)
	withPeers(t, map[string]*fakePeer{"a": peer}, func(k *keyed) {
		k.loseStore()
		time.Sleep(keysBound)
		asked := peer.calls.Load()
		time.Sleep(7 * time.Second)
		if calls := peer.calls.Load() - asked; calls < 8 || calls > 12 {
			t.Errorf("%d calls in 7 s while requests arrive", calls)
		}
	})
	idle := confirms(firstVersion, time.Second)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store := newStore()
		store.put("routes", "routes 4")
		f := New(Options{
			Store: store, Decoder: keyedDecoder{}, WatchesStore: func() bool { return true }, Listener: &recordingListener{}, KeysBound: keysBound,
			Peers:  &Peers{Fleet: "f", Members: &fakePeers{peers: map[string]*fakePeer{"a": idle}}},
			Uptime: func() time.Duration { return time.Since(start) }, Logger: log.New(io.Discard), Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = f.Run(ctx) })
		time.Sleep(time.Minute)
		if calls := idle.calls.Load(); calls > 2 {
			t.Errorf("%d calls in a minute without requests", calls)
		}
		cancel()
		running.Wait()
		time.Sleep(3 * time.Second)
	})
}

// TestPeersThatReadTheStoreAreAskedFirst guards against calls to peers that can only pass on
// what they were told.
func TestPeersThatReadTheStoreAreAskedFirst(t *testing.T) {
	peers := map[string]*fakePeer{}
	for i := range 20 {
		peers[fmt.Sprintf("vm-%d", i)] = confirms(firstVersion, time.Second)
	}
	withPeers(t, peers, func(k *keyed) {
		k.loseStore()
		k.heardOf("vm-7", firstVersion, true)
		k.keys.mu.Lock()
		k.keys.peers.avoidUntil["vm-8"] = k.options.Uptime() + time.Minute
		k.keys.mu.Unlock()
		time.Sleep(2 * time.Second)
		for range 50 {
			vms, _ := k.peersToAsk()
			if len(vms) > 0 && (vms[0] != "vm-7" || slices.Contains(vms, "vm-8")) {
				t.Fatalf("asked %v", vms)
			}
		}
	})
}

// TestFedInstanceReadsTheStoreWhenNoPeerConfirms guards against callers who are refused at an
// instance that peers feed by datagrams but that cannot call them, while it can call the store.
func TestFedInstanceReadsTheStoreWhenNoPeerConfirms(t *testing.T) {
	withPeers(t, map[string]*fakePeer{"a": knows(firstVersion)}, func(k *keyed) {
		k.watches.Store(false)
		refused, before := 0, k.store.callCount()
		for range 600 {
			k.Announced("a", contract.Announcement{Position: k.Position(), RoutesVersion: firstVersion}, true)
			time.Sleep(50 * time.Millisecond)
			if !k.KeysCurrent() {
				refused++
			}
		}
		if calls := k.store.callCount() - before; refused > 0 || calls > 12 {
			t.Errorf("not current at %d of 600 moments in 30 s, %d calls to the store", refused, calls)
		}
	})
}

// TestSilentlyDroppedWatchCostsNoConfirmation guards against callers who are refused since a
// watch of the store was dropped without notice.
func TestSilentlyDroppedWatchCostsNoConfirmation(t *testing.T) {
	withPeers(t, nil, func(k *keyed) {
		for i := range 40 {
			if i%4 == 0 {
				k.store.set(func() { k.store.drops++ })
			}
			if kept := k.currentFor(time.Second); kept < time.Second {
				t.Fatalf("not current after %d s", i)
			}
		}
	})
}

// TestStoreIsTriedAgainSoonBesideSilentPeers guards against callers who are refused for seconds
// after the store is back, since calls to peers behind a cut come first.
func TestStoreIsTriedAgainSoonBesideSilentPeers(t *testing.T) {
	const longest = 1800 * time.Millisecond // a pause of 1 s, a fetch of 0.4 s, a short watch
	peers := map[string]*fakePeer{"a": knows(firstVersion), "b": knows(firstVersion), "c": knows(firstVersion)}
	withPeers(t, peers, func(k *keyed) {
		k.peers.mu.Lock()
		for vm := range k.peers.peers {
			k.peers.peers[vm] = silent()
		}
		k.peers.mu.Unlock()
		k.loseStore()
		time.Sleep(3 * keysBound)
		k.store.set(func() { k.store.unavailable = false })
		back := time.Now()
		for !k.KeysCurrent() && time.Since(back) < 10*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(back); took > longest {
			t.Errorf("current %v after the store is back", took)
		}
	})
}

// TestAnswersTellVersionAndAge checks what an instance tells others, with and without a bound.
func TestAnswersTellVersionAndAge(t *testing.T) {
	ask := func(f *Follower, fleet string, version uint64) (*primroseloomv1.ConfirmRoutesResponse, error) {
		server := &feed{follower: f, fleet: "f"}
		response, err := server.ConfirmRoutes(t.Context(), connect.NewRequest(&primroseloomv1.ConfirmRoutesRequest{Fleet: fleet, RoutesVersion: version}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
	withPeers(t, nil, func(k *keyed) {
		got, err := ask(k.Follower, "f", firstVersion)
		if err != nil || got.GetRoutesVersion() != firstVersion || !got.GetConfirmed() || got.GetNewestRoutes() != nil ||
			time.Duration(got.GetConfirmedAgeMs())*time.Millisecond < k.age() {
			t.Errorf("answer %v, %v", got, err)
		}
		if got, err = ask(k.Follower, "f", 2); err != nil || !strings.Contains(string(got.GetNewestRoutes().GetValue()), "routes") {
			t.Errorf("answer to older routes %v, %v", got, err)
		}
		if _, err = ask(k.Follower, "other", 2); err == nil {
			t.Error("another fleet gets an answer")
		}
	})
	runFollower(t, true, func(_ *fakeStore, f *Follower, _ *recordingListener) {
		if got, err := ask(f, "f", 1); err != nil || got.GetConfirmed() || got.GetRoutesVersion() != 4 {
			t.Errorf("answer without a bound %v, %v", got, err)
		}
		if !f.KeysCurrent() || f.KeysNotCurrent() {
			t.Error("an instance without a bound is not current")
		}
	})
}
