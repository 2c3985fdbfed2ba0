package readahead

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/internal/connwrap"
	"github.com/primroseloom/primroseloom/entry/network"
)

const (
	// maxAhead is the number of bytes that are read ahead; beyond them, the end of the
	// connection isn't noticed.
	maxAhead = 64 << 10
	// readSize is the size of one read.
	readSize = 4 << 10
	// keptPerByte is what a byte that is read ahead needs: a buffer that grows is copied.
	keptPerByte = 2
	// receiveBytes is what the kernel keeps of a connection that is not read.
	receiveBytes = 2 * network.CallersReceiveBytes
)

// errNoMemory ends a connection for which there is no memory.
var errNoMemory = errors.New("no memory for what is read ahead")

// Conn is a caller's connection that is read ahead once a further request has arrived behind
// one in progress.
type Conn struct {
	*framing.Conn

	mu      sync.Mutex
	changed *sync.Cond
	// ahead is true once the connection is read ahead; buffer holds what was read and err why
	// reading ended.
	ahead  bool
	buffer []byte
	err    error
	// deadline is the deadline of Read while the connection is read ahead, and timer wakes it.
	deadline time.Time
	timer    *time.Timer
	closed   bool
	// begun is the number of requests that were passed to the handler, or answered by the server
	// without it; isHandled is true once the one in progress was passed to the handler.
	begun     int
	isHandled bool
	// waitingSince is when the connection was accepted, or the request in progress began, or the last one
	// ended.
	waitingSince time.Time
	// responded is true once a response to the request in progress was begun.
	responded atomic.Bool
	// watcher is that of the server; nil for none. isReset is true if closing resets the connection.
	watcher *Watcher
	isReset bool
	// onEnd are the functions to be called when the caller has closed the connection.
	onEnd   map[int]func()
	nextKey int
}

// NewConn returns a connection that is not read ahead yet.
func NewConn(inner *framing.Conn) *Conn {
	c := &Conn{Conn: inner, onEnd: make(map[int]func()), waitingSince: time.Now()}
	c.changed = sync.NewCond(&c.mu)
	inner.RespondIf(c.isBetweenRequests)
	return c
}

// Read reads from the connection or, once it is read ahead, from the buffer. A read of a
// single byte is the server's watch during a request: when it succeeds, a further request has
// arrived.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	ahead := c.ahead
	c.mu.Unlock()
	if ahead {
		return c.readBuffer(p)
	}
	n, err := c.Conn.Read(p)
	if err == nil && len(p) == 1 {
		c.startAhead()
	}
	return n, err
}

// readBuffer waits for bytes in the buffer. What a caller sent before it closed the connection
// is dropped with it.
func (c *Conn) readBuffer(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.err != nil:
			return 0, c.err
		case len(c.buffer) > 0:
			n := copy(p, c.buffer)
			c.buffer = append(c.buffer[:0], c.buffer[n:]...)
			if len(c.buffer) == 0 {
				c.buffer = nil
				c.CoverAhead(0)
			}
			c.changed.Broadcast()
			return n, nil
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

// startAhead begins to read ahead.
func (c *Conn) startAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.ahead = true
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed; then the read does
	go c.readAhead()
}

// readAhead reads until the connection ends. Without memory for what the caller sends, it closes the
// connection: the kernel would keep it instead.
func (c *Conn) readAhead() {
	content := make([]byte, readSize)
	for c.awaitRoom() {
		n, err := c.Conn.Read(content)
		if err == nil && !c.keep(content[:n]) {
			err = errNoMemory
			c.Closed(framing.ClosedForReadAhead, 0)
			c.abort()
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// keep appends to the buffer and reports whether there was memory for it.
func (c *Conn) keep(content []byte) bool {
	return framing.WithRoom(func() bool { return c.tryKeep(content) }, c.MakeRoom)
}

func (c *Conn) tryKeep(content []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	size := int64(len(c.buffer) + len(content))
	if size > maxAhead-readSize {
		size += receiveBytes // no more is read, so that the kernel keeps what follows
	}
	if !c.CoverAhead(keptPerByte * size) {
		return false
	}
	c.buffer = append(c.buffer, content...)
	c.changed.Broadcast()
	return true
}

// awaitRoom waits until the buffer has room and reports whether the connection is open.
func (c *Conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.buffer) > maxAhead-readSize && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// end records why reading ended and calls those who wait for it.
func (c *Conn) end(err error) {
	c.mu.Lock()
	c.err = err
	waiting := c.onEnd
	c.onEnd = make(map[int]func())
	c.changed.Broadcast()
	c.mu.Unlock()
	for _, call := range waiting {
		call()
	}
}

// notify calls the function when the caller closes the connection, also if it has already.
func (c *Conn) notify(call func()) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go call()
		return func() {}
	}
	key := c.nextKey
	c.nextKey++
	c.onEnd[key] = call
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.onEnd, key)
	}
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ahead {
		return c.Conn.SetReadDeadline(at)
	}
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.deadline = at
	if !at.IsZero() {
		c.timer = time.AfterFunc(time.Until(at), c.changed.Broadcast)
	}
	c.changed.Broadcast()
	return nil
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(at time.Time) error {
	if err := c.Conn.SetWriteDeadline(at); err != nil {
		return err
	}
	return c.SetReadDeadline(at)
}

// Close closes the connection. After a response to a request that has not arrived whole, the rest of it is
// read first, within bounds and in the background; a second call ends that.
func (c *Conn) Close() error {
	if c.setClosed() {
		go c.discardRest()
		return nil
	}
	return c.Conn.Close()
}

// setClosed ends the reading ahead and reports whether the rest of a request is to be discarded.
func (c *Conn) setClosed() (lingers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lingers = !c.closed && !c.ahead && !c.isReset && c.responded.Load() && c.IsPartial()
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.changed.Broadcast()
	return lingers
}

// SetLinger sets the linger time, in seconds; with 0, closing resets the connection.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.isReset = seconds == 0
	c.mu.Unlock()
	return c.Conn.SetLinger(seconds)
}

// Listener returns a listener whose connections are read ahead, and whose server refuses requests with
// two lengths. The options are those of such refusals.
func Listener(inner net.Listener, options framing.Options) net.Listener {
	return connwrap.Listener(inner, func(conn net.Conn) net.Conn { return NewConn(framing.NewConn(conn, options)) })
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ResetOnClose makes the connection of a request be reset when it is closed, so that its caller
// does not take the end of the connection for that of the response. ctx is the request's context,
// on a server that Watch has prepared; with another one nothing changes.
func ResetOnClose(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		_ = conn.SetLinger(0) // not supported, or closed already: the connection just ends
	}
}

// Watch makes a server end the contexts of requests whose caller has closed the connection, and
// returns a Watcher of its connections. These must come from Listener. The server's Handler and
// ConnState are to be set before.
func Watch(server *http.Server) *Watcher {
	watcher := &Watcher{conns: make(map[*Conn]bool), lingering: make(map[*Conn]bool)}
	onStateChange := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		watcher.onStateChange(conn, state)
		if onStateChange != nil {
			onStateChange(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer conn.notify(cancel)()
		conn.begin()
		if r.ProtoMajor == 2 {
			conn.serveStream(next, w, r.WithContext(ctx))
			return
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
	return watcher
}
