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

// Manager implements contract.Members and contract.News.
type Manager struct {
	settings Settings
	network  contract.Network
	logger   *log.Logger
	scope    tally.Scope
	keys     *keys
	pool     *pool
	traffic  *traffic
	news     *newsroom
	wake     chan struct{}
	running  chan struct{}
	server   atomic.Pointer[http.Server]

	view atomic.Pointer[view]
	snap atomic.Pointer[snapshot.Snapshot]

	mu       sync.Mutex
	state    *membership.State
	lastTick time.Duration
	onPause  []func(time.Duration)

	configServer ConfigServer
	forwarder    Forwarder
	leaser       Leaser
	quiet        map[string]time.Time
	mounted      []mount
}

// mount is a further path of the peer listener.
type mount struct {
	path    string
	handler http.Handler
}

// view is what the other children see of the membership.
type view struct {
	members []*primroseloomv1.Member
	byVM    map[string]*primroseloomv1.Member
	version uint64
	at      time.Duration
}

// New returns a manager that knows only itself and the first peers' addresses.
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
		wake: make(chan struct{}, 1), running: make(chan struct{}, maxActions),
		quiet: make(map[string]time.Time),
	}
	var err error
	if m.keys, err = loadKeys(settings, logger, scope); err != nil {
		return nil, fmt.Errorf("start peer listener of %s: %w", settings.VM, err)
	}
	m.traffic = newTraffic(scope)
	m.pool = newPool(m.dial, m.keys)
	m.news = newNewsroom(scope)
	self := membership.Member{
		VM: settings.VM, Instance: settings.Instance, Region: settings.Region, Zone: settings.Zone,
		CallersAddress: settings.CallersAddress, PeersAddress: settings.PeersAddress, Capacity: settings.Capacity,
	}
	random := rand.New(rand.NewPCG(settings.Seed, settings.Instance))
	m.state = membership.New(self, settings.FirstPeers, settings.Membership, random)
	m.publish(settings.Clock())
	return m, nil
}

func (m *Manager) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return m.traffic.count(conn), nil
}

// UseConfiguration tells the manager where to learn the configuration in force.
// Its generation travels with the membership, and its services decide who is
// sent which news.
func (m *Manager) UseConfiguration(configuration contract.Configuration) {
	configuration.Subscribe(func(snap *snapshot.Snapshot) {
		m.snap.Store(snap)
		m.SetConfiguration(snap.Generation, "", uint32(snap.RejectedCount()))
	})
}

// SetConfiguration notes what the other instances are to know of this one's
// configuration; the problem is empty when the newest generation is in force.
func (m *Manager) SetConfiguration(generation uint64, problem string, rejected uint32) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.SetConfiguration(generation, problem, rejected)
	m.publish(m.settings.Clock())
}

// ApplyVMList passes the platform's VM list on as a hint. Its addresses are
// tried on this instance's peer port.
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

// OnPause calls back with the length of each pause of the process that the
// manager notices.
func (m *Manager) OnPause(notice func(time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onPause = append(m.onPause, notice)
}

// Revalidating is true after a pause, until another instance has answered.
func (m *Manager) Revalidating() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now()
	return m.state.Revalidating()
}

// Superseded is true when a younger process of this VM exists.
func (m *Manager) Superseded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Superseded()
}

// Self returns this instance.
func (m *Manager) Self() *primroseloomv1.Member { return m.current().members[0] }

// Members returns this instance first and all others that are not dead. A
// member that the directory must not name has the status suspect or leaving.
// The slice and its members are never changed; a new one takes their place.
func (m *Manager) Members() []*primroseloomv1.Member { return m.current().members }

// Client returns a client of a member's peer listener.
func (m *Manager) Client(vm string) (primroseloomv1connect.PeerServiceClient, bool) {
	member, ok := m.current().byVM[vm]
	if !ok {
		return nil, false
	}
	return m.pool.client(member.PeersAddress), true
}

// Feed returns a client of a member's published items.
func (m *Manager) Feed(vm string) (primroseloomv1connect.FeedServiceClient, bool) {
	member, ok := m.current().byVM[vm]
	if !ok {
		return nil, false
	}
	return m.pool.link(member.PeersAddress).feed, true
}

// Mount serves a further path on the peer listener, before Serve.
func (m *Manager) Mount(path string, handler http.Handler) {
	m.mounted = append(m.mounted, mount{path: path, handler: handler})
}

// current returns the published view, built anew when it is old.
func (m *Manager) current() *view {
	v := m.view.Load()
	now := m.settings.Clock()
	if now-v.at < viewAge {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish(now)
	return m.view.Load()
}

// publish builds the view that the other children see. The lock is held.
func (m *Manager) publish(now time.Duration) {
	old := m.view.Load()
	if old != nil && old.version == m.state.Version() && now-old.at < viewAge {
		return
	}
	views := m.state.Members(now)
	v := &view{version: m.state.Version(), at: now, byVM: make(map[string]*primroseloomv1.Member, len(views)),
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

// Leave tells the peers that this instance takes no new callers.
func (m *Manager) Leave() { m.announce((*membership.State).Leave) }

// Depart tells the peers that this instance is gone, and waits until the news
// has left, or until the context ends.
func (m *Manager) Depart(ctx context.Context) {
	m.announce((*membership.State).Depart)
	for {
		m.mu.Lock()
		waiting := m.state.HasUrgentStatements()
		m.mu.Unlock()
		if !waiting && len(m.running) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(tickInterval / 5):
		}
	}
}

func (m *Manager) announce(change func(*membership.State)) {
	m.mu.Lock()
	change(m.state)
	m.publish(m.settings.Clock())
	m.mu.Unlock()
	m.prompt()
}

// prompt makes the loop run without waiting for the next tick.
func (m *Manager) prompt() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// logSeldom logs an event whose frequency outsiders control, at most once in
// ten seconds for each kind.
func (m *Manager) logSeldom(event events.Event, keyvals ...any) {
	const interval = 10 * time.Second
	m.mu.Lock()
	last, seen := m.quiet[event.Message]
	due := !seen || time.Since(last) >= interval
	if due {
		m.quiet[event.Message] = time.Now()
	}
	m.mu.Unlock()
	if due {
		event.Log(m.logger, keyvals...)
	}
}
