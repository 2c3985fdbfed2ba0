package targets

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// managerGroup is a fleet of managers that share one network and one
// configuration.
type managerGroup struct {
	*fixture
	managers []*Manager
	servers  []*http.Server
	stops    []context.CancelFunc
}

// groupMembers implements contract.Members for one VM of the group.
type groupMembers struct {
	self   int
	all    []*primroseloomv1.Member
	client *http.Client
}

func (g *groupMembers) Self() *primroseloomv1.Member      { return g.all[g.self] }
func (g *groupMembers) Members() []*primroseloomv1.Member { return g.all }
func (g *groupMembers) Client(vm string) (primroseloomv1connect.PeerServiceClient, bool) {
	for _, member := range g.all {
		if member.Vm == vm {
			return primroseloomv1connect.NewPeerServiceClient(g.client, "http://"+member.PeersAddress), true
		}
	}
	return nil, false
}

// leaseServer serves only the Lease call of the peer protocol.
type leaseServer struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler
	manager *Manager
}

// Lease passes the stream to the manager.
func (l *leaseServer) Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error {
	return l.manager.Lease(ctx, stream)
}

func newGroup(t *testing.T, size int) *managerGroup {
	g := &managerGroup{fixture: newFixture(t, 1, 2)}
	var all []*primroseloomv1.Member
	for i := range size {
		all = append(all, &primroseloomv1.Member{
			Vm: fmt.Sprint("vm-", i), Zone: "a", PeersAddress: fmt.Sprintf("10.0.2.%d:90", i+1),
			Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE,
		})
	}
	for i := range size {
		g.start(t, i, all)
	}
	t.Cleanup(func() {
		for i := range g.managers {
			g.stopVM(i)
		}
		time.Sleep(time.Second)
	})
	return g
}

func (g *managerGroup) start(t *testing.T, i int, all []*primroseloomv1.Member) {
	host := g.network.Host(fmt.Sprintf("10.0.2.%d", i+1))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{DialContext: host.DialContext, Protocols: protocols}
	members := &groupMembers{self: i, all: all, client: &http.Client{Transport: transport}}
	m := New(g.configuration, host, members, g.metrics, g.logger)
	m.UseLeases("fleet")
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(&leaseServer{manager: m}))
	listener, err := host.Listen(t.Context(), all[i].PeersAddress)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = m.Run(ctx) }()
	g.managers = append(g.managers, m)
	g.servers = append(g.servers, server)
	g.stops = append(g.stops, func() { cancel(); transport.CloseIdleConnections() })
}

// stopVM stops a VM without letting its requests finish.
func (g *managerGroup) stopVM(i int) {
	g.managers[i].StopLeases()
	g.stops[i]()
	_ = g.servers[i].Close()
	for _, s := range g.managers[i].snapshot() {
		s.close()
	}
}

// runConcurrently sends requests through the given managers at the same time and
// returns the number of failures.
func (g *managerGroup) runConcurrently(t *testing.T, through []int, each int) (failed int32) {
	var failures atomic.Int32
	var group sync.WaitGroup
	for _, i := range through {
		for range each {
			group.Go(func() {
				lease, err := g.managers[i].Acquire(t.Context(), acquireRequest("small", 10*time.Second))
				if err == nil {
					_, err = exchangeOnce(t.Context(), lease, "GET")
				}
				if err != nil {
					failures.Add(1)
				}
			})
		}
	}
	group.Wait()
	return failures.Load()
}

// lessor returns the index of the manager that leases out the slots, or -1.
func (g *managerGroup) lessor() int {
	for i, m := range g.managers {
		s := m.service("booking")
		s.mu.Lock()
		isLessor := s.leases.lessor != nil
		s.mu.Unlock()
		if isLessor {
			return i
		}
	}
	return -1
}

func TestVMsShareATargetsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		var running, peak atomic.Int32
		g.serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/" {
				return
			}
			peak.Store(max(peak.Load(), running.Add(1)))
			time.Sleep(50 * time.Millisecond)
			running.Add(-1)
		})
		time.Sleep(3 * time.Second)
		failed := make(chan int32)
		go func() { failed <- g.runConcurrently(t, []int{0, 1, 2}, 6) }()
		time.Sleep(60 * time.Millisecond)
		// leased is the target's 2 slots and the one extra request that the lessor
		// leases beyond them; unreported is one request of each other VM.
		const leased, unreported = 2 + 1, 2
		if got := peak.Swap(0); got > leased+unreported {
			t.Fatalf("%d requests at a time, want at most %d leased and one taken without a lease by each other VM", got, leased)
		}
		if got := <-failed; got > 0 {
			t.Fatalf("%d requests failed", got)
		}
		if got := peak.Load(); got > leased {
			t.Fatalf("%d requests at a time once all slots in use are reported to the lessor, want at most %d", got, leased)
		}
		lessor := g.lessor()
		if lessor < 0 {
			t.Fatal("there is no lessor")
		}
		g.stopVM(lessor)
		left := []int{(lessor + 1) % 3, (lessor + 2) % 3}
		if failed := g.runConcurrently(t, left, 3); failed > 0 {
			t.Fatalf("%d requests failed after the lessor stopped", failed)
		}
	})
}

func TestForeignFleetGetsNoLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 2)
		client, _ := g.managers[0].members.Client("vm-1")
		stream := client.Lease(t.Context())
		_ = stream.Send(&primroseloomv1.LeaseRequest{Fleet: "other", Service: "booking", Sequence: 1})
		_, err := stream.Receive()
		if connect.CodeOf(err) != connect.CodePermissionDenied {
			t.Fatalf("got %v", err)
		}
		_ = stream.CloseRequest()
		_ = stream.CloseResponse()
	})
}

var _ contract.Members = (*groupMembers)(nil)
