package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/platform"
	"github.com/primroseloom/primroseloom/policy/generation"
	"github.com/primroseloom/primroseloom/standin/memnet"
	standin "github.com/primroseloom/primroseloom/standin/platform"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	peerDelay     = 1500 * time.Microsecond
	platformDelay = 4 * time.Millisecond
	// gossipDelay is the age of the statements that members receive from one another.
	gossipDelay = time.Second
	// evictionDelay is the time after which a dead member leaves the views.
	evictionDelay = 2500 * time.Millisecond
)

// fleet runs the managers of many VMs in one process; peers call one another's
// handlers directly.
type fleet struct {
	t        *testing.T
	platform *standin.Platform
	network  *memnet.Network
	replicas []string

	mu      sync.Mutex
	vms     []*vm
	blocked map[[2]string]bool
	deploy  document.Deployment
	number  uint64
	views   map[viewKey][]*primroseloomv1.Member
}

type vm struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler
	fleet     *fleet
	index     int
	name      string
	zone      string
	handler   http.Handler
	manager   *Manager
	stop      context.CancelFunc
	done      chan struct{}
	dead      bool
	diedAt    time.Time
	history   []report
	decreased bool
}

type report struct {
	at         time.Time
	generation uint64
	problem    string
	rejected   uint32
}

func newFleet(t *testing.T, deployment document.Deployment, replicas, count int) *fleet {
	f := &fleet{t: t, platform: standin.NewReplicated(replicas), network: memnet.New(), blocked: make(map[[2]string]bool), views: make(map[viewKey][]*primroseloomv1.Member), deploy: deployment}
	for i := range replicas {
		ip := fmt.Sprintf("10.255.0.%d", i+1)
		listener, err := f.network.Host(ip).Listen(t.Context(), ip+":80")
		if err != nil {
			t.Fatal(err)
		}
		f.platform.Replica(i).SetFaults(standin.Faults{Delay: platformDelay})
		server := &http.Server{Handler: f.platform.Replica(i).Handler(), ErrorLog: nil}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		f.replicas = append(f.replicas, ip+":80")
	}
	for i := range count {
		f.vms = append(f.vms, &vm{fleet: f, index: i, name: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("zone-%d", i%3), dead: true})
	}
	t.Cleanup(func() {
		for _, v := range f.vms {
			v.kill()
		}
	})
	return f
}

// publish publishes the next generation, with one customer changed.
func (f *fleet) publish() uint64 {
	f.number++
	f.deploy.Customers[0].Parameters = map[string]jsonRaw{"rate": jsonRaw(fmt.Sprint(10 + f.number%500))}
	if err := f.platform.PublishDeployment(f.deploy, f.number); err != nil {
		f.t.Fatal(err)
	}
	return f.number
}

// block drops all messages from one zone to another.
func (f *fleet) block(from, to string) { f.setBlocked(from, to, true) }

func (f *fleet) setBlocked(from, to string, blocked bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked[[2]string{from, to}] = blocked
}

// clearFaults removes all network and replica faults and starts the dead VMs.
func (f *fleet) clearFaults() {
	f.mu.Lock()
	clear(f.blocked)
	f.mu.Unlock()
	for i := range f.replicas {
		f.platform.Replica(i).SetFaults(standin.Faults{Delay: platformDelay})
	}
	for _, v := range f.vms {
		if v.dead {
			v.start()
		}
	}
}

func (f *fleet) startAll() {
	for _, v := range f.vms {
		v.start()
	}
}

func (v *vm) ip() string { return fmt.Sprintf("10.1.0.%d", v.index) }

// start runs a new process of the VM, which has no configuration.
func (v *vm) start() {
	seed := uint64(len(v.history))*1000 + uint64(v.index)
	v.manager = New(Options{
		Fleet:        "test",
		Source:       platform.New(v.fleet.replicas, v.fleet.network.Host(v.ip())),
		Members:      v,
		Reporter:     v,
		ExpectsPeers: true,
		Logger:       log.New(io.Discard),
		Random:       rand.New(rand.NewPCG(seed, 1)),
	})
	_, v.handler = primroseloomv1connect.NewPeerServiceHandler(v, connect.WithCompressMinBytes(1024))
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.done = cancel, make(chan struct{})
	v.fleet.mu.Lock()
	v.dead = false
	v.history = append(v.history, report{at: time.Now()})
	v.fleet.mu.Unlock()
	go func() {
		defer close(v.done)
		_ = v.manager.Run(ctx)
	}()
}

func (v *vm) kill() {
	v.fleet.mu.Lock()
	wasDead := v.dead
	v.dead = true
	v.diedAt = time.Now()
	v.fleet.mu.Unlock()
	if !wasDead {
		v.stop()
		<-v.done
	}
}

// SetConfiguration implements Reporter and records whether the generation ever
// decreases.
func (v *vm) SetConfiguration(generation uint64, problem string, rejected uint32) {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	last := v.history[len(v.history)-1]
	if generation < last.generation {
		v.decreased = true
	}
	v.history = append(v.history, report{time.Now(), generation, problem, rejected})
}

func (v *vm) member(asOf time.Time) *primroseloomv1.Member {
	member := &primroseloomv1.Member{Vm: v.name, Zone: v.zone}
	for _, entry := range v.history {
		if !entry.at.After(asOf) {
			member.Generation, member.ConfigProblem, member.RejectedCount = entry.generation, entry.problem, entry.rejected
		}
	}
	return member
}

// Self implements contract.Members.
func (v *vm) Self() *primroseloomv1.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	return v.member(time.Now())
}

// Members implements contract.Members with statements that are gossipDelay old.
func (v *vm) Members() []*primroseloomv1.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	key := viewKey{zone: v.zone, at: time.Now().Truncate(viewLifetime)}
	if view, ok := v.fleet.views[key]; ok {
		return view
	}
	var members []*primroseloomv1.Member
	for _, other := range v.fleet.vms {
		gone := other.dead && time.Since(other.diedAt) > evictionDelay
		cut := v.fleet.blocked[[2]string{other.zone, v.zone}]
		switch {
		case cut && !gone:
			members = append(members, &primroseloomv1.Member{Vm: other.name, Zone: other.zone})
		case !gone:
			members = append(members, other.member(time.Now().Add(-gossipDelay)))
		}
	}
	if len(v.fleet.views) > 8 {
		clear(v.fleet.views)
	}
	v.fleet.views[key] = members
	return members
}

// viewLifetime is how long the VMs of a zone share one view.
const viewLifetime = 100 * time.Millisecond

type viewKey struct {
	zone string
	at   time.Time
}

// statements returns the configuration statements of the members in the VM's view.
func (v *vm) statements() []generation.Statement {
	var statements []generation.Statement
	for _, m := range v.Members() {
		statements = append(statements, generation.Statement{VM: m.Vm, Generation: m.Generation, Problem: m.ConfigProblem, Rejected: m.RejectedCount})
	}
	return statements
}

// Client implements contract.Members.
func (v *vm) Client(name string) (primroseloomv1connect.PeerServiceClient, bool) {
	for _, other := range v.fleet.vms {
		if other.name == name {
			return primroseloomv1connect.NewPeerServiceClient(&peerTransport{from: v, to: other}, "http://"+name), true
		}
	}
	return nil, false
}

func (v *vm) FetchRoot(ctx context.Context, request *connect.Request[primroseloomv1.FetchRootRequest]) (*connect.Response[primroseloomv1.FetchRootResponse], error) {
	response, err := v.manager.FetchRoot(ctx, request.Msg)
	return connect.NewResponse(response), err
}

func (v *vm) FetchShards(ctx context.Context, request *connect.Request[primroseloomv1.FetchShardsRequest], stream *connect.ServerStream[primroseloomv1.FetchShardsResponse]) error {
	return v.manager.FetchShards(ctx, request.Msg, stream.Send)
}

// peerTransport carries HTTP calls from one VM to another.
type peerTransport struct{ from, to *vm }

func (p *peerTransport) isBlocked(from, to *vm) bool {
	p.from.fleet.mu.Lock()
	defer p.from.fleet.mu.Unlock()
	return from.dead || to.dead || p.from.fleet.blocked[[2]string{from.zone, to.zone}]
}

// Do implements connect.HTTPClient; a call over a blocked path hangs until its
// context is done.
func (p *peerTransport) Do(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	pause(ctx, peerDelay)
	if p.isBlocked(p.from, p.to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	recorder := httptest.NewRecorder()
	p.to.handler.ServeHTTP(recorder, request)
	pause(ctx, peerDelay)
	if p.isBlocked(p.to, p.from) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, errors.Join(errors.New("no response"), ctx.Err())
	}
	return recorder.Result(), nil
}

// timesUntilInForce returns, for each live VM, the time from a publication until
// that generation or a later one was in force.
func (f *fleet) timesUntilInForce(generation uint64, published time.Time) []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Duration
	for _, v := range f.vms {
		if v.dead {
			continue
		}
		elapsed := time.Duration(1<<62 - 1)
		for _, entry := range v.history {
			if entry.generation >= generation {
				elapsed = entry.at.Sub(published)
				break
			}
		}
		times = append(times, elapsed)
	}
	return times
}

func (f *fleet) requireNeverDecreased() {
	f.t.Helper()
	for _, v := range f.vms {
		if v.decreased {
			f.t.Errorf("the generation of %s decreased", v.name)
		}
	}
}

// bubble runs a test in the virtual time of a synctest bubble.
func bubble(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

// current returns the snapshot in force, or an empty one.
func (v *vm) current() *snapshot.Snapshot {
	if current := v.manager.Current(); current != nil {
		return current
	}
	return &snapshot.Snapshot{}
}
