package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// segment is data in transit; it can be read from its arrival time on.
type segment struct {
	data    []byte
	arrival time.Time
}

// stream is one direction of a connection.
type stream struct {
	direction direction
	segments  []segment
	buffered  int
	// senderClosed is set when the sender closed this direction; the reader sees EOF
	// after the data.
	senderClosed bool
}

// Conn is one end of a connection.
type Conn struct {
	network *Network
	// wake wakes this end's readers and writers to check the state again.
	wake          *sync.Cond
	local, remote *net.TCPAddr
	in, out       *stream
	peer          *Conn
	closed        bool
	reset         bool
	// resetTold is true once a read or a write has returned the error of the reset.
	resetTold     bool
	stalled       bool
	resetOnClose  bool
	readDeadline  deadline
	writeDeadline deadline
}

// newConnPairLocked creates the two ends of a connection. The caller holds the
// network's lock.
func (n *Network) newConnPairLocked(local, remote *net.TCPAddr) (client, server *Conn) {
	outbound := &stream{direction: direction{local.IP.String(), remote.IP.String()}}
	inbound := &stream{direction: direction{remote.IP.String(), local.IP.String()}}
	client = &Conn{network: n, wake: sync.NewCond(&n.mu), local: local, remote: remote, in: inbound, out: outbound}
	server = &Conn{network: n, wake: sync.NewCond(&n.mu), local: remote, remote: local, in: outbound, out: inbound}
	client.peer, server.peer = server, client
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	return client, server
}

// Read blocks until there is data, the end of the stream, a reset or the deadline. As on Linux, data that
// arrived before a reset can be read, and the error of the reset comes once, from a read or a write; later
// reads find the end of the stream.
func (c *Conn) Read(p []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, c.opError("read", net.ErrClosed)
		case c.readDeadline.passed:
			return 0, c.opError("read", os.ErrDeadlineExceeded)
		case len(p) == 0:
			return 0, nil
		case c.reset && !c.hasArrivedData():
			return 0, c.tellReset("read", io.EOF)
		}
		if c.hasArrivedData() {
			return c.consume(p), nil
		}
		if c.atEOF() {
			return 0, io.EOF
		}
		c.wake.Wait()
	}
}

// tellReset returns the error of a reset the first time, and then another one. The caller holds the
// network's lock.
func (c *Conn) tellReset(op string, later error) error {
	if c.resetTold {
		return later
	}
	c.resetTold = true
	return c.opError(op, syscall.ECONNRESET)
}

// hasArrivedData reports whether this end has data to read now.
func (c *Conn) hasArrivedData() bool {
	if c.cutOff() || len(c.in.segments) == 0 {
		return false
	}
	return !time.Now().Before(c.in.segments[0].arrival)
}

func (c *Conn) atEOF() bool {
	return c.in.senderClosed && len(c.in.segments) == 0 && !c.cutOff()
}

// cutOff reports whether this end currently receives nothing because the
// connection is stalled or its direction is blocked.
func (c *Conn) cutOff() bool {
	return c.stalled || c.network.blocked[c.in.direction]
}

func (c *Conn) consume(p []byte) int {
	first := &c.in.segments[0]
	count := copy(p, first.data)
	first.data = first.data[count:]
	if len(first.data) == 0 {
		c.in.segments = c.in.segments[1:]
	}
	c.in.buffered -= count
	c.peer.wake.Broadcast()
	return count
}

// Write sends data, blocking while the buffer of this direction is full.
func (c *Conn) Write(p []byte) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	written := 0
	for written < len(p) {
		switch {
		case c.closed:
			return written, c.opError("write", net.ErrClosed)
		case c.reset:
			return written, c.tellReset("write", c.opError("write", syscall.EPIPE))
		case c.writeDeadline.passed:
			return written, c.opError("write", os.ErrDeadlineExceeded)
		case c.peer.closed && !c.stalled && !n.blocked[c.out.direction]:
			return written, c.opError("write", syscall.EPIPE)
		}
		space := BufferBytes - c.out.buffered
		if space == 0 {
			c.wake.Wait()
			continue
		}
		count := min(space, len(p)-written)
		c.send(p[written : written+count])
		written += count
	}
	return written, nil
}

func (c *Conn) send(p []byte) {
	n := c.network
	delay := n.delays[c.out.direction]
	data := append([]byte(nil), p...)
	c.out.segments = append(c.out.segments, segment{data: data, arrival: time.Now().Add(delay)})
	c.out.buffered += len(p)
	c.peer.wake.Broadcast()
	if delay > 0 {
		time.AfterFunc(delay, c.peer.wakeUp)
	}
}

// wakeUp wakes this end's readers and writers.
func (c *Conn) wakeUp() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.wake.Broadcast()
}

// wakeBothLocked wakes the readers and writers of both ends. The caller holds the
// network's lock.
func (c *Conn) wakeBothLocked() {
	c.wake.Broadcast()
	c.peer.wake.Broadcast()
}

// Close closes the connection; the peer reads the data sent before and then EOF.
func (c *Conn) Close() error {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closed {
		return c.opError("close", net.ErrClosed)
	}
	c.closed = true
	c.out.senderClosed = true
	c.readDeadline.stop()
	c.writeDeadline.stop()
	if c.resetOnClose {
		c.resetLocked()
		return nil
	}
	delete(n.conns, c)
	c.wakeBothLocked()
	return nil
}

// SetLinger makes Close reset the connection if the time is 0; other times have no effect.
func (c *Conn) SetLinger(seconds int) error {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

// CloseWrite closes the sending direction only.
func (c *Conn) CloseWrite() error {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.out.senderClosed = true
	c.peer.wake.Broadcast()
	return nil
}

// Reset makes both ends fail as after a TCP reset; a peer that is cut off does
// not receive the reset.
func (c *Conn) Reset() {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.resetLocked()
}

func (c *Conn) resetLocked() {
	c.reset = true
	if !c.peer.cutOff() {
		c.peer.reset = true
	}
	delete(c.network.conns, c)
	c.wakeBothLocked()
}

// LocalAddr returns this end's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the other end's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

func (c *Conn) localIP() string  { return c.local.IP.String() }
func (c *Conn) remoteIP() string { return c.remote.IP.String() }

// connects reports whether the connection is between two IPs, in either direction.
func (c *Conn) connects(a, b string) bool {
	local, remote := c.localIP(), c.remoteIP()
	return (local == a && remote == b) || (local == b && remote == a)
}

func (c *Conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// deadline is a read or write deadline.
type deadline struct {
	timer  *time.Timer
	passed bool
	// epoch is incremented by each set, so that the timer of an earlier setting has
	// no effect.
	epoch int
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// set sets the deadline and broadcasts wake when it passes. The caller holds the
// network's lock.
func (d *deadline) set(wake *sync.Cond, at time.Time) {
	d.stop()
	d.epoch++
	d.passed = !at.IsZero() && !time.Now().Before(at)
	if at.IsZero() || d.passed {
		wake.Broadcast()
		return
	}
	epoch := d.epoch
	d.timer = time.AfterFunc(time.Until(at), func() {
		wake.L.Lock()
		defer wake.L.Unlock()
		if d.epoch == epoch {
			d.passed = true
			wake.Broadcast()
		}
	})
}

// SetDeadline sets both deadlines; the zero time removes them.
func (c *Conn) SetDeadline(at time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.readDeadline.set(c.wake, at)
	c.writeDeadline.set(c.wake, at)
	return nil
}

// SetReadDeadline sets the time after which Read fails.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.readDeadline.set(c.wake, at)
	return nil
}

// SetWriteDeadline sets the time after which Write fails.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.writeDeadline.set(c.wake, at)
	return nil
}
