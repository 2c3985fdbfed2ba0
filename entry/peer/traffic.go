package peer

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// traffic counts the bytes sent and received over connections to peers, including
// the overhead of TLS.
type traffic struct {
	sent, received                 atomic.Int64
	sentReported, receivedReported int64
	sentCounter                    tally.Counter
	receivedCounter                tally.Counter
}

func newTraffic(scope tally.Scope) *traffic {
	return &traffic{sentCounter: scope.Counter("bytes_sent"), receivedCounter: scope.Counter("bytes_received")}
}

// report adds the bytes counted since its last call to the metrics. Calls must not
// overlap.
func (t *traffic) report() {
	sent, received := t.sent.Load(), t.received.Load()
	t.sentCounter.Inc(sent - t.sentReported)
	t.receivedCounter.Inc(received - t.receivedReported)
	t.sentReported, t.receivedReported = sent, received
}

// wrap returns a connection whose bytes are counted.
func (t *traffic) wrap(conn net.Conn) net.Conn { return &countingConn{Conn: conn, traffic: t} }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept waits for the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.wrap(conn), nil
}
