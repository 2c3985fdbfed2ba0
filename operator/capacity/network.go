package capacity

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/primroseloom/primroseloom/entry/network"
)

// purpose is what a connection is used for.
type purpose int

const (
	purposeTargets purpose = iota
	purposePeers
	purposePlatform
	purposeCount
)

// meter counts the bytes of the connections that the VMs dial, by purpose.
type meter struct {
	network.OS

	mu       sync.Mutex
	purposes map[string]purpose
	bytes    [purposeCount]atomic.Int64
}

func newMeter() *meter { return &meter{purposes: make(map[string]purpose)} }

// assign sets the purpose of connections to an address. Connections to addresses
// without a purpose go to targets.
func (m *meter) assign(address string, to purpose) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.purposes[address] = to
}

// DialContext connects and counts the bytes of the connection in both directions.
func (m *meter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := m.OS.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return &meteredConn{Conn: conn, total: &m.bytes[m.purposes[address]]}, nil
}

type meteredConn struct {
	net.Conn
	total *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.total.Add(int64(n))
	return n, err
}
