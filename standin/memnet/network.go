package memnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// BufferBytes is the capacity of one direction of a connection.
const BufferBytes = 64 << 10

// direction is an ordered pair of IP addresses.
type direction struct {
	from, to string
}

// Network is a set of hosts that can reach one another.
type Network struct {
	mu sync.Mutex
	// changed wakes blocked dials when a direction is blocked or unblocked or a
	// dial's context ends.
	changed   *sync.Cond
	listeners map[string]*listener
	blocked   map[direction]bool
	refused   map[direction]bool
	resetting map[direction]bool
	delays    map[direction]time.Duration
	conns     map[*Conn]struct{}
	nextPort  int
}

// New returns an empty network without faults.
func New() *Network {
	n := &Network{
		listeners: make(map[string]*listener),
		blocked:   make(map[direction]bool),
		refused:   make(map[direction]bool),
		resetting: make(map[direction]bool),
		delays:    make(map[direction]time.Duration),
		conns:     make(map[*Conn]struct{}),
		nextPort:  40000,
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Host is one machine of the network; it listens on and dials from its IP.
type Host struct {
	network *Network
	ip      string
}

// Host returns the machine with an IP address.
func (n *Network) Host(ip string) *Host {
	return &Host{network: n, ip: ip}
}

// Block stops delivery from one IP to another until Unblock.
func (n *Network) Block(from, to string) { n.setBlocked(from, to, true) }

// Unblock resumes delivery; data sent while the direction was blocked arrives.
func (n *Network) Unblock(from, to string) { n.setBlocked(from, to, false) }

func (n *Network) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[direction{from, to}] = blocked
	n.changed.Broadcast()
	n.wakeAllLocked()
}

// wakeAllLocked wakes the readers and writers of every connection. The caller
// holds the lock.
func (n *Network) wakeAllLocked() {
	for conn := range n.conns {
		conn.wake.Broadcast()
	}
}

// SetDelay sets the one-way delay from one IP to another.
func (n *Network) SetDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[direction{from, to}] = delay
}

// StallConnections permanently stops delivery on all existing connections between
// two IPs, in both directions. Connections opened later work.
func (n *Network) StallConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.connects(a, b) {
			conn.stalled = true
		}
	}
}

// Refuse makes new connections from one IP to another be refused, or accepted again.
func (n *Network) Refuse(from, to string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[direction{from, to}] = refused
}

// ResetOpened makes new connections from one IP to another open and be reset at once, as by a
// middle box, or live again.
func (n *Network) ResetOpened(from, to string, reset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetting[direction{from, to}] = reset
}

// ResetConnections resets all existing connections between two IPs.
func (n *Network) ResetConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		if conn.connects(a, b) {
			conn.resetLocked()
		}
	}
}

// Kill closes the listeners of an IP and resets its connections.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.listeners {
		if hostOf(address) == ip {
			l.closeLocked()
		}
	}
	for conn := range n.conns {
		if conn.localIP() == ip || conn.remoteIP() == ip {
			conn.resetLocked()
		}
	}
}

// Listen binds a listener to an address of this host.
func (h *Host) Listen(_ context.Context, address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if parsed.Addr().String() != h.ip {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRNOTAVAIL}
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, inUse := n.listeners[address]; inUse {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, wake: sync.NewCond(&n.mu), address: net.TCPAddrFromAddrPort(parsed)}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to an address. It hangs until the context ends while either
// direction is blocked; an address without a listener refuses the connection.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	n := h.network
	to := parsed.Addr().String()
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer stop()
	if err := n.waitRoundTrip(ctx, h.ip, to); err != nil {
		return nil, dialError(err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.blocked[direction{h.ip, to}] || n.blocked[direction{to, h.ip}] {
		if ctx.Err() != nil {
			return nil, dialError(ctx.Err())
		}
		n.changed.Wait()
	}
	if ctx.Err() != nil {
		return nil, dialError(ctx.Err())
	}
	l, ok := n.listeners[address]
	if !ok || n.refused[direction{h.ip, to}] {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	n.nextPort++
	local := &net.TCPAddr{IP: net.ParseIP(h.ip), Port: n.nextPort}
	client, server := n.newConnPairLocked(local, l.address)
	if n.resetting[direction{h.ip, to}] {
		client.resetLocked()
		return client, nil
	}
	l.pending = append(l.pending, server)
	l.wake.Broadcast()
	return client, nil
}

// waitRoundTrip waits for one round trip between two IPs.
func (n *Network) waitRoundTrip(ctx context.Context, from, to string) error {
	n.mu.Lock()
	delay := n.delays[direction{from, to}] + n.delays[direction{to, from}]
	n.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

func dialError(err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// listener accepts the connections to one address.
type listener struct {
	network *Network
	// wake wakes Accept when a connection is pending or the listener is closed.
	wake    *sync.Cond
	address *net.TCPAddr
	pending []*Conn
	closed  bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	for len(l.pending) == 0 && !l.closed {
		l.wake.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
	conn := l.pending[0]
	l.pending = l.pending[1:]
	return conn, nil
}

// Close stops the listener and resets connections not yet accepted.
func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.network.listeners, l.address.String())
	for _, conn := range l.pending {
		conn.resetLocked()
	}
	l.wake.Broadcast()
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }
