package peer

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// traffic counts the bytes that cross the peers' connections, TLS included.
type traffic struct {
	sent, received         atomic.Int64
	sentSeen, receivedSeen int64
	sentCounter            tally.Counter
	receivedCounter        tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	return &traffic{sentCounter: scope.Counter("bytes_sent"), receivedCounter: scope.Counter("bytes_received")}
}

// report moves the counts to the metrics; one goroutine calls it.
func (t *traffic) report() {
	sent, received := t.sent.Load(), t.received.Load()
	t.sentCounter.Inc(sent - t.sentSeen)
	t.receivedCounter.Inc(received - t.receivedSeen)
	t.sentSeen, t.receivedSeen = sent, received
}

// count returns a connection whose bytes are counted.
func (t *traffic) count(conn net.Conn) net.Conn { return &countedConn{Conn: conn, traffic: t} }

type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read reads and counts.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept waits for a connection.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.count(conn), nil
}
