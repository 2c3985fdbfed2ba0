package follow

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	// fleetWatchers is the number of instances of a fleet that watch the store.
	fleetWatchers = 4
	// hop is the time of a message between two instances.
	hop = 1500 * time.Microsecond
)

// keyFleet is a fleet of instances that all serve requests with keys. The first fleetWatchers
// watch the store and announce it to all others five times a second.
type keyFleet struct {
	store     *fakeStore
	instances []*Follower
	members   []*primroseloomv1.Member
	mu        sync.Mutex
	down      map[string]bool
	// cut holds pairs of instances, from and to, between which nothing passes.
	cut map[[2]int]bool
	// feedsFail is true while no instance gives another what the store publishes.
	feedsFail bool
	// primaries is the number of instances that serve callers, among them those that watch the store. They
	// rely on the watchers only, all others on any primary. Zero means that all are.
	primaries atomic.Int64
	// silent holds the instances to which the store gives no response.
	silent map[int]bool
	// watches counts the watches of the store, by instance.
	watches  map[int]int
	confirms atomic.Int64
}

// linkTo calls an instance of a fleet over the network.
type linkTo struct {
	primroseloomv1connect.FeedServiceClient
	fleet    *keyFleet
	from, to int
}

// isCut reports whether a call over the link gets no answer.
func (l linkTo) isCut() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.down[vmName(l.to)] || l.fleet.cut[[2]int{l.from, l.to}] || l.fleet.cut[[2]int{l.to, l.from}]
}

func (l linkTo) ConfirmRoutes(ctx context.Context, request *connect.Request[primroseloomv1.ConfirmRoutesRequest]) (*connect.Response[primroseloomv1.ConfirmRoutesResponse], error) {
	l.fleet.confirms.Add(1)
	if l.isCut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * hop)
	return (&feed{follower: l.fleet.instances[l.to], fleet: "f"}).ConfirmRoutes(ctx, request)
}

func (l linkTo) Follow(ctx context.Context, request *connect.Request[primroseloomv1.FollowRequest]) (*connect.Response[primroseloomv1.FollowResponse], error) {
	if l.isCut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * hop)
	l.fleet.mu.Lock()
	fails := l.fleet.feedsFail
	l.fleet.mu.Unlock()
	if fails {
		return nil, errNoPeer
	}
	return (&feed{follower: l.fleet.instances[l.to], fleet: "f"}).Follow(ctx, request)
}

// storeIndex stands for the store among the instances between which links are cut.
const storeIndex = -1

// storeOf is the store as one instance sees it.
type storeOf struct {
	*fakeStore
	fleet    *keyFleet
	instance int
}

func (s storeOf) List(ctx context.Context) (Listing, error) {
	if s.fleet.isCut(s.instance, storeIndex) {
		return Listing{}, errUnavailable
	}
	return s.fakeStore.List(ctx)
}

func (s storeOf) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	if s.fleet.isCut(s.instance, storeIndex) {
		return Listing{}, errUnavailable
	}
	s.fleet.mu.Lock()
	s.fleet.watches[s.instance]++
	s.fleet.mu.Unlock()
	sent := time.Now()
	listing, err := s.fakeStore.Watch(ctx, after, wait)
	if s.fleet.isSilent(s.instance) {
		pause.For(ctx, wait+dropSlack-time.Since(sent))
		return Listing{}, errUnavailable
	}
	return listing, err
}

// fleetView is one instance's membership of a fleet.
type fleetView struct {
	fleet *keyFleet
	self  int
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (v fleetView) Self() *primroseloomv1.Member {
	return &primroseloomv1.Member{Vm: vmName(v.self)}
}

func (v fleetView) Members() []*primroseloomv1.Member {
	return v.fleet.members
}

func (v fleetView) Client(string) (primroseloomv1connect.PeerServiceClient, bool) { return nil, false }

func (v fleetView) Feed(vm string) (primroseloomv1connect.FeedServiceClient, bool) {
	to, err := strconv.Atoi(strings.TrimPrefix(vm, "vm-"))
	return linkTo{fleet: v.fleet, from: v.self, to: to}, err == nil
}

func (k *keyFleet) isPrimary(i int) bool {
	primaries := int(k.primaries.Load())
	return primaries == 0 || i < primaries
}

func (k *keyFleet) isDown(i int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down[vmName(i)]
}

func (k *keyFleet) isCut(from, to int) bool { return linkTo{fleet: k, from: from, to: to}.isCut() }

// cutOff cuts an instance off from others in both directions.
func (k *keyFleet) cutOff(i int, others ...int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range others {
		k.cut[[2]int{i, other}], k.cut[[2]int{other, i}] = true, true
	}
}

// setDown makes instances unreachable for all others, for good.
func (k *keyFleet) setDown(instances ...int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, i := range instances {
		k.down[vmName(i)] = true
	}
}

// announce sends what each watcher and each other primary has to all instances.
func (k *keyFleet) announce() {
	for w := range max(fleetWatchers, int(k.primaries.Load())) {
		if k.isDown(w) {
			continue
		}
		told := k.instances[w].Announcement()
		for i, f := range k.instances {
			if i != w && !k.isDown(i) && !k.isCut(w, i) {
				f.Announced(vmName(w), told, w < fleetWatchers || !k.isPrimary(i))
			}
		}
	}
}

// refusing returns the instances, other than those that are down, that are not current.
func (k *keyFleet) refusing() []int {
	var refusing []int
	for i, f := range k.instances {
		if !k.isDown(i) && !f.KeysCurrent() {
			refusing = append(refusing, i)
		}
	}
	return refusing
}

// run lets time pass and returns, by instance, at how many moments, 50 ms apart, it was not
// current. Requests arrive everywhere meanwhile.
func (k *keyFleet) run(length time.Duration) map[int]int {
	refused := make(map[int]int)
	for i := range int(length / (50 * time.Millisecond)) {
		if i%4 == 0 {
			k.announce()
			for _, f := range k.instances {
				f.KeyUsed()
			}
		}
		time.Sleep(50 * time.Millisecond)
		for _, vm := range k.refusing() {
			refused[vm]++
		}
	}
	return refused
}

// withFleet runs a test with a fleet that has been up for a while.
func withFleet(t *testing.T, size int, test func(k *keyFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		k := &keyFleet{store: newStore(), down: make(map[string]bool), cut: make(map[[2]int]bool), silent: make(map[int]bool), watches: make(map[int]int)}
		k.store.put("routes", "routes 4")
		for i := range size {
			k.members = append(k.members, &primroseloomv1.Member{Vm: vmName(i)})
			k.instances = append(k.instances, New(Options{
				Store: storeOf{fakeStore: k.store, fleet: k, instance: i}, Decoder: keyedDecoder{}, WatchesStore: func() bool { return i < fleetWatchers }, IsPrimary: func() bool { return k.isPrimary(i) }, Listener: &recordingListener{},
				Peers: &Peers{Fleet: "f", Members: fleetView{fleet: k, self: i}}, KeysBound: keysBound,
				Uptime: func() time.Duration { return time.Since(start) + time.Minute }, Logger: log.New(io.Discard), Scope: tally.NoopScope,
			}))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, f := range k.instances {
			running.Go(func() { _ = f.Run(ctx) })
		}
		k.run(6 * time.Second)
		test(k)
		cancel()
		running.Wait()
		time.Sleep(5 * time.Second)
	})
}

// TestFleetOfManyStaysCurrent guards against callers who are refused in a large fleet, and
// against a store or peers that are called too often: 118 and 300 instances that all serve
// requests with keys, for a minute.
func TestFleetOfManyStaysCurrent(t *testing.T) {
	for _, size := range []int{118, 300} {
		withFleet(t, size, func(k *keyFleet) {
			before, asked := k.store.callCount(), k.confirms.Load()
			refused := k.run(time.Minute)
			calls, asks := k.store.callCount()-before, k.confirms.Load()-asked
			t.Logf("%d instances: %d calls to the store in a minute, %.2f calls a second and instance to peers", size, calls, float64(asks)/float64(size)/60)
			if len(refused) > 0 {
				t.Errorf("%d instances: not current at so many moments: %v", size, refused)
			}
			if most := fleetWatchers*60 + size/10; calls > most {
				t.Errorf("%d instances: %d calls to the store in a minute, want at most %d", size, calls, most)
			}
		})
	}
}

// TestFleetStaysCurrentWhileWatchersFail guards against callers who are refused since the
// instances that read the store lost it, or died, one or all of them.
func TestFleetStaysCurrentWhileWatchersFail(t *testing.T) {
	for name, fail := range map[string]func(k *keyFleet){
		"one watcher dies":       func(k *keyFleet) { k.setDown(1) },
		"all watchers die":       func(k *keyFleet) { k.setDown(0, 1, 2, 3) },
		"watches are dropped":    func(k *keyFleet) { k.store.set(func() { k.store.drops++ }) },
		"half of the VMs die":    func(k *keyFleet) { k.setDown(0, 1); k.setDown(slices.Collect(evenNumbers(118))...) },
		"a version is published": func(k *keyFleet) { k.store.put("routes", "routes 5") },
	} {
		withFleet(t, 118, func(k *keyFleet) {
			fail(k)
			if refused := k.run(15 * time.Second); len(refused) > 0 {
				t.Errorf("%s: not current at so many moments, 50 ms apart: %v", name, refused)
			}
		})
	}
}

// TestInstanceBehindCutsFindsACurrentPeer guards against an instance, without the store and
// without those peers that read it, that spends its time on calls to peers behind a cut although
// half of its peers can be reached.
func TestInstanceBehindCutsFindsACurrentPeer(t *testing.T) {
	withFleet(t, 118, func(k *keyFleet) {
		const cut = 7
		k.cutOff(cut, storeIndex, 0, 1, 2, 3)
		k.cutOff(cut, slices.Collect(evenNumbers(118))...)
		refused := k.run(30 * time.Second)
		t.Logf("not current at %d of 600 moments", refused[cut])
		if len(refused) > 0 {
			t.Errorf("not current at so many of 600 moments: %v", refused)
		}
	})
}

// evenNumbers returns the even numbers from 4 below a number.
func evenNumbers(below int) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		for i := fleetWatchers; i < below; i += 2 {
			if !yield(i) {
				return
			}
		}
	}
}

// TestFleetStopsWithinTheBoundWithoutStore guards against instances that confirm one another's
// routes while the store is down.
func TestFleetStopsWithinTheBoundWithoutStore(t *testing.T) {
	withFleet(t, 118, func(k *keyFleet) {
		k.store.set(func() { k.store.unavailable = true })
		down := time.Now()
		last := time.Duration(0)
		for range 200 {
			k.run(50 * time.Millisecond)
			if len(k.refusing()) < len(k.instances) {
				last = time.Since(down)
			}
		}
		if last > keysBound {
			t.Errorf("an instance was current %v after the store went down", last)
		}
	})
}

// TestNewestRoutesReachAllBeforeTheBound guards against instances that are current with routes
// older than the bound.
func TestNewestRoutesReachAllBeforeTheBound(t *testing.T) {
	withFleet(t, 118, func(k *keyFleet) {
		k.setDown(5)
		k.instances[5].Announced("vm-6", contract.Announcement{RoutesVersion: 5}, false)
		k.store.put("routes", "routes 5")
		k.run(keysBound)
		for i, f := range k.instances {
			if f.RoutesVersion() < 5 && f.KeysCurrent() {
				t.Errorf("instance %d is current with version %d", i, f.RoutesVersion())
			}
		}
	})
}
