package peer

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/standin/memnet"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// fleet is a group of managers on one in-memory network.
type fleet struct {
	t            *testing.T
	network      *memnet.Network
	tls          func(i int) TLSFiles
	name         string
	managers     []*Manager
	scopes       []tally.TestScope
	stops        []context.CancelFunc
	clockOffsets []*atomic.Int64
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, network: memnet.New(), name: "spa", tls: func(int) TLSFiles { return TLSFiles{Off: true} }}
	for i := range count {
		f.start(i)
	}
	return f
}

func ip(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// start runs manager i, whose only first peer is manager 0.
func (f *fleet) start(i int) *Manager {
	f.t.Helper()
	scope := tally.NewTestScope("", nil)
	address := ip(i) + ":7000"
	start := time.Now()
	clockOffset := new(atomic.Int64)
	settings := Settings{Fleet: f.name, VM: fmt.Sprintf("vm%d", i), Region: "region", Zone: fmt.Sprintf("zone%d", i%3),
		Instance: uint64(1000*len(f.managers) + i + 1), CallersAddress: ip(i) + ":8000", PeersAddress: address,
		FirstPeers: []string{ip(0) + ":7000"}, TLS: f.tls(i), Seed: uint64(i),
		Clock: func() time.Duration { return time.Since(start) + time.Duration(clockOffset.Load()) }}
	host := f.network.Host(ip(i))
	m, err := New(settings, host, log.New(io.Discard), scope)
	if err != nil {
		f.t.Fatal(err)
	}
	listener, err := host.Listen(context.Background(), address)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = m.Serve(listener) }()
	go func() { _ = m.Run(ctx) }()
	f.managers = append(f.managers, m)
	f.scopes = append(f.scopes, scope)
	f.clockOffsets = append(f.clockOffsets, clockOffset)
	f.stops = append(f.stops, func() { cancel(); _ = listener.Close() })
	return m
}

// stop stops all managers and waits until their goroutines have ended.
func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	for i := range f.managers {
		f.network.Kill(ip(i))
	}
	time.Sleep(10 * time.Second)
}

// countAlive returns the number of members that a manager sees alive.
func countAlive(m *Manager) int {
	count := 0
	for _, member := range m.Members() {
		if member.Status == primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE {
			count++
		}
	}
	return count
}

func (f *fleet) expectAlive(want int, indexes ...int) {
	f.t.Helper()
	for _, i := range indexes {
		if got := countAlive(f.managers[i]); got != want {
			f.t.Errorf("vm%d sees %d members alive, want %d", i, got, want)
		}
	}
}

// counterValue returns the value of a counter of manager i.
func (f *fleet) counterValue(i int, name string) int64 {
	for _, counter := range f.scopes[i].Snapshot().Counters() {
		if counter.Name() == "peer."+name {
			return counter.Value()
		}
	}
	return 0
}

func TestInstancesDiscoverEachOtherAndRemoveDeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.expectAlive(5, 0, 1, 2, 3, 4)
		f.stops[4]()
		f.network.Kill(ip(4))
		time.Sleep(3 * time.Second)
		f.expectAlive(4, 0, 1, 2, 3)
	})
}

func TestDepartedInstanceIsRemovedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.managers[3].Leave()
		time.Sleep(500 * time.Millisecond)
		f.expectAlive(3, 0, 1, 2)
		f.managers[3].Depart(context.Background())
		time.Sleep(500 * time.Millisecond)
		if got := len(f.managers[0].Members()); got != 3 {
			t.Errorf("%d members known after one departed, want 3", got)
		}
	})
}

// TestSilentConnectionsAreReplaced guards against members suspected because their
// established connections silently drop all data while new ones would work: a failed
// probe must be retried over a new connection.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		time.Sleep(5 * time.Second)
		for i := range 4 {
			for j := range i {
				f.network.StallConnections(ip(i), ip(j))
			}
		}
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			f.expectAlive(4, 0, 1, 2, 3)
		}
	})
}

func TestPeerOfAnotherFleetIsRefusedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		f.name = "barge"
		f.start(2)
		time.Sleep(5 * time.Second)
		f.expectAlive(2, 0, 1)
		f.expectAlive(1, 2)
		if f.counterValue(0, "foreign_peers_refused") == 0 {
			t.Error("refusals of a peer of another fleet were not counted")
		}
	})
}

// TestProcessRevalidatesAfterPause guards against a resumed process that trusts its
// view from before the pause: it must revalidate until a peer has responded.
func TestProcessRevalidatesAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.clockOffsets[1].Add(int64(30 * time.Second))
		if !f.managers[1].Revalidating() {
			t.Error("the process does not revalidate after its clock jumped by 30 s")
		}
		time.Sleep(2 * time.Second)
		if f.managers[1].Revalidating() {
			t.Error("the process still revalidates 2 s after the pause although its peers are alive")
		}
		f.expectAlive(3, 0, 1, 2)
	})
}

// bookingSnapshot returns a snapshot with the services of the SoojaVee example.
func bookingSnapshot() *snapshot.Snapshot {
	return snapshot.Build(1, []document.Shard{{Services: examples.SoojaVee().Services}}, nil)
}

// TestUrgentNewsIsSentFirst publishes one item, which is sent at once, and then three
// that share a batch: the urgent one must come first, the others by their weight.
func TestUrgentNewsIsSentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		var mu sync.Mutex
		var got []string
		f.managers[1].Subscribe(func(item *primroseloomv1.NewsItem) {
			mu.Lock()
			defer mu.Unlock()
			if crash := item.GetCrash(); crash != nil {
				got = append(got, crash.Target)
			} else {
				got = append(got, item.GetHealth().Evidence[0].Target)
			}
		})
		for _, m := range f.managers {
			m.snap.Store(bookingSnapshot())
		}
		time.Sleep(5 * time.Second)
		evidence := func(target string, score float64) *primroseloomv1.NewsItem {
			return &primroseloomv1.NewsItem{Service: "booking", Body: &primroseloomv1.NewsItem_Health{
				Health: &primroseloomv1.HealthNews{Evidence: []*primroseloomv1.HealthEvidence{{Target: target, Increments: []float64{0, score}}}}}}
		}
		f.managers[0].Publish(evidence("t0", 1), false)
		time.Sleep(100 * time.Millisecond)
		f.managers[0].Publish(evidence("t1", 1), false)
		f.managers[0].Publish(evidence("t2", 5), false)
		f.managers[0].Publish(&primroseloomv1.NewsItem{Service: "booking", Body: &primroseloomv1.NewsItem_Crash{
			Crash: &primroseloomv1.FingerprintCrash{Fingerprint: 7, Target: "t3"}}}, true)
		time.Sleep(5 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if want := []string{"t0", "t3", "t2", "t1"}; !slices.Equal(got, want) {
			t.Errorf("news arrived in the order %v, want %v", got, want)
		}
	})
}

func TestCallsWithoutDelegateAreUnimplemented(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		time.Sleep(3 * time.Second)
		client, ok := f.managers[0].Client("vm1")
		if !ok {
			t.Fatal("no client for a member that is alive")
		}
		_, err := client.FetchRoot(t.Context(), connect.NewRequest(&primroseloomv1.FetchRootRequest{Fleet: "spa"}))
		if connect.CodeOf(err) != connect.CodeUnimplemented {
			t.Errorf("FetchRoot without a delegate: %v, want unimplemented", err)
		}
	})
}

// TestDuplicateNewsAndLongVMNamesAreDropped guards against subscribers that get an
// item twice, and against memory use that grows with the number or length of the
// names of origins.
func TestDuplicateNewsAndLongVMNamesAreDropped(t *testing.T) {
	exchange := newNewsExchange(tally.NoopScope)
	received := 0
	exchange.subscribers = append(exchange.subscribers, func(*primroseloomv1.NewsItem) { received++ })
	for i := range 3 * maxOrigins {
		item := &primroseloomv1.NewsItem{OriginVm: "vm1", OriginInstance: uint64(i), Sequence: 1}
		exchange.receive("vm0", []*primroseloomv1.NewsItem{item, item, {OriginVm: string(make([]byte, 1000)), Sequence: 1}})
	}
	if received != 3*maxOrigins || len(exchange.origins) > maxOrigins {
		t.Errorf("%d items received and %d origins kept, want %d and at most %d", received, len(exchange.origins), 3*maxOrigins, maxOrigins)
	}
}

func contextFor(length time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), length)
}
