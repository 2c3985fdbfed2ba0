package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/draining"
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/standin/memnet"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// fleet is a set of VMs on one in-memory network.
type fleet struct {
	network *memnet.Network
	snap    *snapshot.Snapshot
	targets []document.Target
	mu      sync.Mutex
	vms     []*vm
	cancel  context.CancelFunc
	ctx     context.Context
	// options alters a VM's options before its proxy is built.
	options func(*Options)
	// reuseInstance gives a replaced VM its old instance identifier.
	reuseInstance bool
	// noBackground leaves out Proxy.Run, which detects pauses and publishes
	// suspects to new instances.
	noBackground     bool
	instancesStarted uint64
	// notServing names the VMs that get no news, since they don't serve the service;
	// gone names those that are no longer members. The lock guards both.
	notServing, gone map[string]bool
}

// vm is one instance of the fleet. It also implements contract.Members and
// contract.News for its proxy.
type vm struct {
	fleet      *fleet
	index      int
	self       *primroseloomv1.Member
	clock      *fakeClock
	proxy      *Proxy
	targets    *fakeTargets
	servers    []draining.Server
	handleNews func(*primroseloomv1.NewsItem)
	alive      atomic.Bool
	stop       context.CancelFunc
}

// vmHost is a VM's network. Once the instance is killed, its remaining
// goroutines can't open connections.
type vmHost struct {
	*memnet.Host
	vm *vm
}

func (h *vmHost) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := h.Host.DialContext(ctx, network, address)
	if err == nil && !h.vm.alive.Load() {
		_ = conn.Close()
		return nil, errors.New("the instance was killed")
	}
	return conn, err
}

func vmIP(index int) string { return "10.0.1." + strconv.Itoa(index+1) }

func newFleet(ctx context.Context, vms int, targets []document.Target, options func(*Options)) *fleet {
	f := &fleet{network: memnet.New(), targets: targets, snap: testSnapshot(targets), options: options}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.vms = make([]*vm, vms)
	for i := range vms {
		f.start(i)
	}
	return f
}

// start starts a new instance on a VM.
func (f *fleet) start(index int) {
	instance := uint64(index + 1)
	if !f.reuseInstance {
		f.instancesStarted++
		instance = 1000 + f.instancesStarted
	}
	v := &vm{fleet: f, index: index, clock: newFakeClock()}
	v.alive.Store(true)
	v.self = &primroseloomv1.Member{Vm: "vm-" + strconv.Itoa(index), Instance: instance, Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE}
	host := &vmHost{Host: f.network.Host(vmIP(index)), vm: v}
	v.targets = &fakeTargets{network: host, targets: f.targets, idle: make(map[string]*fakeConn)}
	options := Options{
		Fleet: "test", Configuration: fixedConfiguration{f.snap}, Targets: v.targets,
		Members: v, News: v, Network: host, Clock: v.clock, Limits: DefaultLimits(),
	}
	if f.options != nil {
		f.options(&options)
	}
	v.proxy = New(options)
	f.mu.Lock()
	f.vms[index] = v
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	v.stop = cancel
	if !f.noBackground {
		go func() { _ = v.proxy.Run(ctx) }()
	}
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(peerService{proxy: v.proxy}))
	limits := ServerLimits{HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	v.listen(host, ":80", NewServer(v.proxy, limits))
	v.listen(host, ":81", NewServer(mux, limits))
}

func (v *vm) listen(host contract.Network, port string, server *http.Server) {
	listener, err := host.Listen(v.fleet.ctx, vmIP(v.index)+port)
	if err != nil {
		panic(err)
	}
	v.servers = append(v.servers, draining.Server{HTTP: server, Listener: listener, Connections: readahead.Watch(server)})
	go func() { _ = server.Serve(readahead.Listener(listener, framing.Options{})) }()
}

// kill stops a VM abruptly, like a power failure.
func (f *fleet) kill(index int) {
	v := f.vms[index]
	v.alive.Store(false)
	v.stop()
	for _, server := range v.servers {
		_ = server.HTTP.Close()
	}
	f.network.Kill(vmIP(index))
	v.targets.close()
}

// currentVMs returns the present instance of each VM.
func (f *fleet) currentVMs() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.vms)
}

// close kills every VM.
func (f *fleet) close() {
	f.cancel()
	for i := range f.vms {
		f.kill(i)
	}
}

type peerService struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler
	proxy *Proxy
}

func (s peerService) Forward(ctx context.Context, stream *connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]) error {
	return s.proxy.Forward(ctx, stream)
}

func (v *vm) Self() *primroseloomv1.Member { return v.self }

func (v *vm) Members() []*primroseloomv1.Member {
	var members []*primroseloomv1.Member
	for _, other := range v.fleet.currentVMs() {
		if other != nil && !v.fleet.is(v.fleet.gone, other) {
			members = append(members, other.self)
		}
	}
	return members
}

func (v *vm) Client(name string) (primroseloomv1connect.PeerServiceClient, bool) {
	for _, other := range v.fleet.currentVMs() {
		if other.self.Vm == name {
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{DialContext: v.targets.network.DialContext, Protocols: protocols, IdleConnTimeout: time.Second}
			return primroseloomv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+vmIP(other.index)+":81"), true
		}
	}
	return nil, false
}

// is reports whether a set of VM names contains a VM.
func (f *fleet) is(set map[string]bool, v *vm) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return set[v.self.Vm]
}

// Publish delivers an item to every other VM that serves the service immediately.
func (v *vm) Publish(item *primroseloomv1.NewsItem, _ bool) {
	for _, other := range v.fleet.currentVMs() {
		if other != v && other.alive.Load() && other.handleNews != nil && !v.fleet.is(v.fleet.notServing, other) {
			other.handleNews(item)
		}
	}
}

func (v *vm) Subscribe(f func(*primroseloomv1.NewsItem)) { v.handleNews = f }
