// Package peer talks to the other instances of the fleet.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
	// lossCount is the number of pings in a row that a lost member misses.
	lossCount = 3
)

// Manager implements contract.Members.
type Manager struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler

	fleet      string
	firstPeers []string
	network    contract.Network
	logger     *log.Logger
	client     *http.Client
	started    time.Time

	mu      sync.Mutex
	self    *primroseloomv1.Member
	members map[string]*member
}

type member struct {
	statement *primroseloomv1.Member
	missed    int
}

// New returns a manager that knows only itself and the first peers' addresses.
func New(fleet string, self *primroseloomv1.Member, firstPeers []string, network contract.Network, logger *log.Logger) *Manager {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{DialContext: network.DialContext, Protocols: protocols}
	return &Manager{
		fleet:      fleet,
		firstPeers: firstPeers,
		network:    network,
		logger:     logger,
		client:     &http.Client{Transport: transport},
		started:    time.Now(),
		self:       self,
		members:    make(map[string]*member),
	}
}

// Self returns this instance.
func (m *Manager) Self() *primroseloomv1.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.selfLocked()
}

func (m *Manager) selfLocked() *primroseloomv1.Member {
	self := proto.CloneOf(m.self)
	self.UptimeMs = uint64(time.Since(m.started).Milliseconds())
	return self
}

// SetGeneration records the configuration in force on this instance.
func (m *Manager) SetGeneration(generation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Generation = generation
}

// Members returns this instance and those that answer.
func (m *Manager) Members() []*primroseloomv1.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := []*primroseloomv1.Member{m.selfLocked()}
	for _, known := range m.members {
		if known.missed < lossCount {
			members = append(members, known.statement)
		}
	}
	return members
}

// Client returns a client of a member's peer listener.
func (m *Manager) Client(vm string) (primroseloomv1connect.PeerServiceClient, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.members[vm]
	if !ok {
		return nil, false
	}
	return m.clientFor(known.statement.PeersAddress), true
}

func (m *Manager) clientFor(address string) primroseloomv1connect.PeerServiceClient {
	return primroseloomv1connect.NewPeerServiceClient(m.client, "http://"+address)
}

// Ping answers a probe and takes over the sender's member list.
func (m *Manager) Ping(_ context.Context, request *connect.Request[primroseloomv1.PingRequest]) (*connect.Response[primroseloomv1.PingResponse], error) {
	m.learn(request.Msg.From)
	for _, update := range request.Msg.Updates {
		m.learn(update)
	}
	answer := &primroseloomv1.PingResponse{From: m.Self(), Updates: m.Members()}
	return connect.NewResponse(answer), nil
}

func (m *Manager) learn(statement *primroseloomv1.Member) {
	if statement == nil || statement.Vm == m.self.Vm {
		return
	}
	m.mu.Lock()
	known, ok := m.members[statement.Vm]
	if !ok {
		m.members[statement.Vm] = &member{statement: statement}
		m.mu.Unlock()
		events.MemberJoined.Log(m.logger, "peer", statement.Vm, "address", statement.PeersAddress)
		return
	}
	if statement.Instance != known.statement.Instance || statement.UptimeMs >= known.statement.UptimeMs {
		known.statement = statement
	}
	m.mu.Unlock()
}

// Run pings the first peers and all members until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		m.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (m *Manager) round(ctx context.Context) {
	m.mu.Lock()
	addresses := make(map[string]string)
	for _, address := range m.firstPeers {
		addresses[address] = ""
	}
	for vm, known := range m.members {
		addresses[known.statement.PeersAddress] = vm
	}
	m.mu.Unlock()
	var group sync.WaitGroup
	for address, vm := range addresses {
		group.Go(func() { m.ping(ctx, address, vm) })
	}
	group.Wait()
}

func (m *Manager) ping(ctx context.Context, address, vm string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	request := &primroseloomv1.PingRequest{Fleet: m.fleet, From: m.Self(), ToVm: vm, Updates: m.Members()}
	response, err := m.clientFor(address).Ping(ctx, connect.NewRequest(request))
	if err != nil {
		m.miss(vm)
		return
	}
	m.learn(response.Msg.From)
	for _, update := range response.Msg.Updates {
		m.learn(update)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.members[response.Msg.From.GetVm()]; ok {
		known.missed = 0
	}
}

func (m *Manager) miss(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.members[vm]
	if !ok {
		return
	}
	known.missed++
	if known.missed == lossCount {
		events.MemberLost.Log(m.logger, "peer", vm, "address", known.statement.PeersAddress)
	}
}

// Serve answers peers on a listener until it closes.
func (m *Manager) Serve(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(m))
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: pingTimeout}
	return server.Serve(listener)
}
