package follow

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	keysBound = 5 * time.Second
	// firstVersion is the version of the routes that the store has at the start of a test.
	firstVersion = 4
)

// keyedDecoder decodes as textDecoder does, with one customer in each version.
type keyedDecoder struct{ textDecoder }

func (d keyedDecoder) Decode(item Item, now time.Duration) (Entry, error) {
	entry, err := d.textDecoder.Decode(item, now)
	if entry.Routes != nil {
		entry.Routes.Customers = []routing.Customer{{Name: "acme", Keys: []routing.KeyDigest{routing.DigestKey("k")}}}
	}
	return entry, err
}

// fakePeer is another instance, which answers calls as a function says.
type fakePeer struct {
	primroseloomv1connect.FeedServiceClient
	calls atomic.Int64
	// isSilent is true when other calls get no answer either.
	isSilent bool
	answer   func(ctx context.Context) (*primroseloomv1.ConfirmRoutesResponse, error)
}

func (p *fakePeer) ConfirmRoutes(ctx context.Context, _ *connect.Request[primroseloomv1.ConfirmRoutesRequest]) (*connect.Response[primroseloomv1.ConfirmRoutesResponse], error) {
	p.calls.Add(1)
	message, err := p.answer(ctx)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(message), nil
}

func (p *fakePeer) Follow(ctx context.Context, _ *connect.Request[primroseloomv1.FollowRequest]) (*connect.Response[primroseloomv1.FollowResponse], error) {
	if p.isSilent {
		<-ctx.Done()
	}
	return nil, errUnavailable
}

// fakePeers is a membership of fake peers.
type fakePeers struct {
	mu    sync.Mutex
	peers map[string]*fakePeer
}

func (p *fakePeers) Self() *primroseloomv1.Member { return &primroseloomv1.Member{Vm: "self"} }

func (p *fakePeers) Client(string) (primroseloomv1connect.PeerServiceClient, bool) { return nil, false }

func (p *fakePeers) Members() []*primroseloomv1.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := []*primroseloomv1.Member{p.Self()}
	for vm := range p.peers {
		members = append(members, &primroseloomv1.Member{Vm: vm})
	}
	return members
}

func (p *fakePeers) Feed(vm string) (primroseloomv1connect.FeedServiceClient, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[vm]
	return peer, ok
}

// confirms is a peer that had its version confirmed an age ago at each call.
func confirms(version uint64, age time.Duration) *fakePeer {
	return &fakePeer{answer: func(context.Context) (*primroseloomv1.ConfirmRoutesResponse, error) {
		return &primroseloomv1.ConfirmRoutesResponse{RoutesVersion: version, Confirmed: true, ConfirmedAgeMs: uint32(age.Milliseconds())}, nil
	}}
}

// knows is a peer that has a version and cannot confirm it.
func knows(version uint64) *fakePeer {
	return &fakePeer{answer: func(context.Context) (*primroseloomv1.ConfirmRoutesResponse, error) {
		return &primroseloomv1.ConfirmRoutesResponse{RoutesVersion: version}, nil
	}}
}

// fails is a peer whose calls end with an error.
func fails(err error) *fakePeer {
	return &fakePeer{answer: func(context.Context) (*primroseloomv1.ConfirmRoutesResponse, error) { return nil, err }}
}

// silent is a peer that never answers.
func silent() *fakePeer {
	return &fakePeer{isSilent: true, answer: func(ctx context.Context) (*primroseloomv1.ConfirmRoutesResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
}

// slow is a peer that confirms its version at once and whose answer comes late.
func slow(version uint64, delay time.Duration) *fakePeer {
	return &fakePeer{answer: func(context.Context) (*primroseloomv1.ConfirmRoutesResponse, error) {
		time.Sleep(delay)
		return &primroseloomv1.ConfirmRoutesResponse{RoutesVersion: version, Confirmed: true}, nil
	}}
}

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// keyed is a running follower that serves requests with keys.
type keyed struct {
	*Follower
	store *fakeStore
	peers *fakePeers
	// suspended is the time for which the instance was suspended so far.
	suspended atomic.Int64
	// watches is whether it is among those that watch the store.
	watches atomic.Bool
}

func (k *keyed) age() time.Duration {
	k.keys.mu.Lock()
	defer k.keys.mu.Unlock()
	age, _ := k.keys.state.Age(k.options.Uptime())
	return age
}

// currentFor returns for how long the follower stays current, at most a time.
func (k *keyed) currentFor(most time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < most && k.KeysCurrent() {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// loseStore makes the store unavailable.
func (k *keyed) loseStore() {
	k.store.set(func() { k.store.unavailable = true })
}

// withPeers runs a test with a follower that has a store, which it watches, and peers. Requests
// with keys arrive all the time.
func withPeers(t *testing.T, peers map[string]*fakePeer, test func(k *keyed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		k := &keyed{store: newStore(), peers: &fakePeers{peers: peers}}
		k.watches.Store(true)
		k.store.put("routes", fmt.Sprintf("routes %d", firstVersion))
		k.Follower = New(Options{
			Store: k.store, Decoder: keyedDecoder{}, WatchesStore: k.watches.Load, Listener: &recordingListener{},
			Peers: &Peers{Fleet: "f", Members: k.peers}, KeysBound: keysBound,
			Uptime: func() time.Duration { return time.Since(start) + time.Minute + time.Duration(k.suspended.Load()) },
			Logger: log.New(io.Discard), Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = k.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				k.KeyUsed()
				time.Sleep(100 * time.Millisecond)
			}
		})
		time.Sleep(4 * time.Second)
		test(k)
		cancel()
		running.Wait()
		time.Sleep(3 * time.Second)
	})
}
