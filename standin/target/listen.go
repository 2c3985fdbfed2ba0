package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connection is an open connection to the target.
type connection interface {
	Close() error
}

// trackedListener resets new connections beyond the target's limit and while
// the target is crashed.
type trackedListener struct {
	net.Listener
	target *Target
}

// Accept returns the next admitted connection and resets the others.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn, target: l.target, closed: make(chan struct{})}
		if l.target.admit(tracked) {
			return tracked, nil
		}
		abort(conn)
	}
}

type trackedConn struct {
	net.Conn
	target *Target
	// stalled simulates a device on the network path that lost the connection's
	// state and drops all its data.
	stalled   atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
}

// Read reads from the connection; on a stalled connection it blocks until Close.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection; on a stalled connection, and while the OneWay
// fault applies, the data is dropped.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.stalled.Load() || c.target.activeFaults().OneWay {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the target's open connections.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.target.mu.Lock()
	delete(c.target.conns, c)
	c.target.mu.Unlock()
	return c.Conn.Close()
}

// admit registers a connection and reports whether the target accepts it: it is
// running and below its connection limit.
func (t *Target) admit(conn connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.startedAt) {
		return false
	}
	if t.options.MaxConnections > 0 && len(t.conns) >= t.options.MaxConnections {
		return false
	}
	t.conns[conn] = struct{}{}
	return true
}

// crash records the request as run and resets every connection, as when the
// process dies.
func (t *Target) crash(r *http.Request, faults Faults) {
	t.recordRun(r.Header.Get(RequestIDHeader))
	t.mu.Lock()
	open := make([]connection, 0, len(t.conns))
	for conn := range t.conns {
		open = append(open, conn)
	}
	t.startedAt = time.Now().Add(faults.CrashedFor.Std())
	t.mu.Unlock()
	for _, conn := range open {
		tracked, ok := conn.(*trackedConn)
		if !ok {
			continue
		}
		abort(tracked.Conn)
		_ = tracked.Close()
	}
}

// StallConnections makes the open connections drop all further data without
// closing; new connections work.
func (t *Target) StallConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if tracked, ok := conn.(*trackedConn); ok {
			tracked.stalled.Store(true)
		}
	}
}

// abort closes a connection, with a reset if the transport supports it.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	if resettable, ok := conn.(interface{ Reset() }); ok {
		resettable.Reset()
	}
	_ = conn.Close()
}

// Serve serves requests on a listener until the context ends.
func (t *Target) Serve(ctx context.Context, listener net.Listener) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: t.Handler(), Protocols: protocols}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(trackedListener{Listener: listener, target: t})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
