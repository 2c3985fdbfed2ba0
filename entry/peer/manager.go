package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/membership"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// Manager runs the membership of this instance, exchanges news with the peers and
// serves the peer protocol. It implements contract.Members and contract.News.
type Manager struct {
	settings Settings
	network  contract.Network
	logger   *log.Logger
	scope    tally.Scope
	keys     *keys
	pool     *pool
	traffic  *traffic
	news     *newsExchange
	// wake makes Run start the next tick at once.
	wake chan struct{}
	// runningActions limits the actions in progress.
	runningActions chan struct{}
	server         atomic.Pointer[http.Server]

	view atomic.Pointer[view]
	snap atomic.Pointer[snapshot.Snapshot]

	mu       sync.Mutex
	state    *membership.State
	lastTick time.Duration
	onPause  []func(time.Duration)

	configServer ConfigServer
	forwarder    Forwarder
	leaser       Leaser
	// lastLogged is the time of the last log line by event message.
	lastLogged map[string]time.Time
	mounts     []mount
}

// mount is an additional handler on the peer listener.
type mount struct {
	path    string
	handler http.Handler
}

// view is an immutable copy of the membership for the other packages.
type view struct {
	members []*primroseloomv1.Member
	byVM    map[string]*primroseloomv1.Member
	version uint64
	builtAt time.Duration
}

// New returns a manager whose only member is this instance. It joins the fleet
// through the addresses of the first peers once Run is called.
func New(settings Settings, network contract.Network, logger *log.Logger, scope tally.Scope) (*Manager, error) {
	if settings.Clock == nil {
		start := time.Now()
		settings.Clock = func() time.Duration { return time.Since(start) }
	}
	if settings.Membership.Rings == 0 {
		settings.Membership = membership.DefaultSettings()
	}
	scope = scope.SubScope("peer")
	m := &Manager{
		settings: settings, network: network, logger: logger, scope: scope,
		wake: make(chan struct{}, 1), runningActions: make(chan struct{}, maxActions),
		lastLogged: make(map[string]time.Time),
	}
	var err error
	if m.keys, err = loadKeys(settings, logger, scope); err != nil {
		return nil, fmt.Errorf("load peer keys of VM %s: %w", settings.VM, err)
	}
	m.traffic = newTraffic(scope)
	m.pool = newPool(m.dial, m.keys)
	m.news = newNewsExchange(scope)
	self := membership.Member{
		VM: settings.VM, Instance: settings.Instance, Region: settings.Region, Zone: settings.Zone,
		CallersAddress: settings.CallersAddress, PeersAddress: settings.PeersAddress, Capacity: settings.Capacity,
	}
	random := rand.New(rand.NewPCG(settings.Seed, settings.Instance))
	m.state = membership.New(self, settings.FirstPeers, settings.Membership, random)
	m.publish(settings.Clock())
	return m, nil
}

// dial connects to a peer and counts the bytes of the connection.
func (m *Manager) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return m.traffic.wrap(conn), nil
}

// UseConfiguration subscribes the manager to the configuration in force. The
// membership announces its generation to the peers, and its services determine
// the recipients of news.
func (m *Manager) UseConfiguration(configuration contract.Configuration) {
	configuration.Subscribe(func(snap *snapshot.Snapshot) {
		m.snap.Store(snap)
		m.SetConfiguration(snap.Generation, "", uint32(snap.RejectedCount()))
	})
}

// SetConfiguration sets the state of this instance's configuration that is
// announced to the other instances. The problem is empty when the newest
// generation is in force; rejected is the number of rejected definitions.
func (m *Manager) SetConfiguration(generation uint64, problem string, rejected uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.SetConfiguration(generation, problem, rejected)
	m.publish(m.settings.Clock())
}

// ApplyVMList passes the platform's VM list to the membership, which uses it only
// to find addresses to join. The list has no peer ports, so the port of this
// instance's own peer address is assumed.
func (m *Manager) ApplyVMList(list document.VMList) {
	own, err := netip.ParseAddrPort(m.settings.PeersAddress)
	if err != nil {
		return
	}
	var rows []membership.ListedVM
	for _, entry := range list.Entries {
		row := membership.ListedVM{VM: entry.Name, Leaving: entry.Leaving}
		if address, err := netip.ParseAddrPort(entry.Address); err == nil {
			row.PeersAddress = netip.AddrPortFrom(address.Addr(), own.Port()).String()
		}
		rows = append(rows, row)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.SetListedVMs(rows)
}

// OnPause registers a callback that receives the length of each detected pause of
// the process.
func (m *Manager) OnPause(callback func(time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onPause = append(m.onPause, callback)
}

// Revalidating reports whether the process was paused and no other instance has
// responded since.
func (m *Manager) Revalidating() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readClock()
	return m.state.Revalidating()
}

// Superseded reports whether a newer process of this VM exists.
func (m *Manager) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Superseded()
}

// Self returns this instance.
func (m *Manager) Self() *primroseloomv1.Member { return m.currentView().members[0] }

// Members returns this instance first, followed by all others that are not dead.
// A member that the directory must not advertise has the status suspect or
// leaving. The slice and its members are never modified; a change of the
// membership creates new ones.
func (m *Manager) Members() []*primroseloomv1.Member { return m.currentView().members }

// Client returns a client of a member's peer listener.
func (m *Manager) Client(vm string) (primroseloomv1connect.PeerServiceClient, bool) {
	member, ok := m.currentView().byVM[vm]
	if !ok {
		return nil, false
	}
	return m.pool.client(member.PeersAddress), true
}

// Feed returns a client of a member's FeedService.
func (m *Manager) Feed(vm string) (primroseloomv1connect.FeedServiceClient, bool) {
	member, ok := m.currentView().byVM[vm]
	if !ok {
		return nil, false
	}
	return m.pool.connection(member.PeersAddress).feed, true
}

// Evidence returns a client of a member's EvidenceService.
func (m *Manager) Evidence(vm string) (primroseloomv1connect.EvidenceServiceClient, bool) {
	member, ok := m.currentView().byVM[vm]
	if !ok {
		return nil, false
	}
	return m.pool.connection(member.PeersAddress).evidence, true
}

// Mount adds a handler for a path to the peer listener. It must be called before
// Serve.
func (m *Manager) Mount(path string, handler http.Handler) {
	m.mounts = append(m.mounts, mount{path: path, handler: handler})
}

// currentView returns the published view, after rebuilding it if it is older than
// maxViewAge.
func (m *Manager) currentView() *view {
	v := m.view.Load()
	now := m.settings.Clock()
	if now-v.builtAt < maxViewAge {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(now)
	return m.view.Load()
}

// publish replaces the view for the other packages unless the present one is up
// to date. The caller holds the lock.
func (m *Manager) publish(now time.Duration) {
	old := m.view.Load()
	if old != nil && old.version == m.state.Version() && now-old.builtAt < maxViewAge {
		return
	}
	views := m.state.Members(now)
	v := &view{version: m.state.Version(), builtAt: now, byVM: make(map[string]*primroseloomv1.Member, len(views)),
		members: make([]*primroseloomv1.Member, 0, len(views))}
	for _, member := range views {
		wire := toWire(member.Member)
		if member.Status == membership.Alive && !member.Advertised {
			wire.Status = primroseloomv1.MemberStatus_MEMBER_STATUS_SUSPECT
		}
		v.members = append(v.members, wire)
		v.byVM[member.VM] = wire
	}
	m.view.Store(v)
}

// Leave announces to the peers that this instance accepts no new callers.
func (m *Manager) Leave() { m.announce((*membership.State).Leave) }

// Depart announces to the peers that this instance has stopped. It returns when
// the announcement is sent, or when the context ends.
func (m *Manager) Depart(ctx context.Context) {
	m.announce((*membership.State).Depart)
	for {
		m.mu.Lock()
		waiting := m.state.HasUrgentStatements()
		m.mu.Unlock()
		if !waiting && len(m.runningActions) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval / 5):
		}
	}
}

// announce changes the state of this instance and sends the change at once.
func (m *Manager) announce(change func(*membership.State)) {
	m.mu.Lock()
	change(m.state)
	m.publish(m.settings.Clock())
	m.mu.Unlock()
	m.wakeLoop()
}

// wakeLoop makes Run start the next tick at once.
func (m *Manager) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// logRateLimited logs an event at most once in ten seconds for each kind of event.
// It is for events whose frequency is controlled from outside this process.
func (m *Manager) logRateLimited(event events.Event, keyvals ...any) {
	const interval = 10 * time.Second
	m.mu.Lock()
	last, logged := m.lastLogged[event.Message]
	due := !logged || time.Since(last) >= interval
	if due {
		m.lastLogged[event.Message] = time.Now()
	}
	m.mu.Unlock()
	if due {
		event.Log(m.logger, keyvals...)
	}
}
