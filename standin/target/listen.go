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

// connection is one open connection of the target.
type connection interface {
	Close() error
}

// countedListener refuses connections beyond the target's bound and while it
// is crashed.
type countedListener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection within the bound.
func (l countedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn, target: l.target, closed: make(chan struct{})}
		if l.target.admit(counted) {
			return counted, nil
		}
		abort(conn)
	}
}

type countedConn struct {
	net.Conn
	target *Target
	// silent is set when the path of the connection lost track of it.
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

// Read reads; on a silent connection it hears nothing until Close.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes; on a silent connection, and while the target is heard by nobody,
// the bytes are lost.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.silent.Load() || c.target.activeFaults().OneWay {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and takes it off the count.
func (c *countedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.target.mu.Lock()
	delete(c.target.conns, c)
	c.target.mu.Unlock()
	return c.Conn.Close()
}

func (t *Target) admit(conn connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Now().Before(t.started) {
		return false
	}
	if t.options.MaxConnections > 0 && len(t.conns) >= t.options.MaxConnections {
		return false
	}
	t.conns[conn] = struct{}{}
	return true
}

// crash records the run and drops every connection, as a dying process would.
func (t *Target) crash(r *http.Request, faults Faults) {
	t.record(r.Header.Get(RequestIDHeader))
	t.mu.Lock()
	open := make([]connection, 0, len(t.conns))
	for conn := range t.conns {
		open = append(open, conn)
	}
	t.started = time.Now().Add(faults.CrashedFor.Std())
	t.mu.Unlock()
	for _, conn := range open {
		counted, ok := conn.(*countedConn)
		if !ok {
			continue
		}
		abort(counted.Conn)
		_ = counted.Close()
	}
}

// StallConnections makes the open connections deliver nothing ever again; new ones work.
func (t *Target) StallConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if counted, ok := conn.(*countedConn); ok {
			counted.silent.Store(true)
		}
	}
}

// abort closes a connection with a reset where the transport allows it.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	if resettable, ok := conn.(interface{ Reset() }); ok {
		resettable.Reset()
	}
	_ = conn.Close()
}

// Serve answers on a listener until the context ends.
func (t *Target) Serve(ctx context.Context, listener net.Listener) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: t.Handler(), Protocols: protocols}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(countedListener{Listener: listener, target: t})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
