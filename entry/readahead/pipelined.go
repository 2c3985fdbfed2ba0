package readahead

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/pause"
)

// pollInterval is the time between two looks of AwaitPipelined at the connections.
const pollInterval = 20 * time.Millisecond

// requestCounter compares the whole requests that have arrived on a connection with those that have
// begun, to detect pipelined ones: those that have arrived before the response to an earlier one.
type requestCounter struct {
	framer
	// begun is the number of requests that were passed to the handler, or answered by the server
	// without it.
	begun int
	// isHandled is true once the request in progress was passed to the handler.
	isHandled bool
}

// begin counts a request that is passed to the handler.
func (c *requestCounter) begin() {
	c.begun++
	c.isHandled = true
}

// end ends a request whose response leaves the connection open. The server answers some by itself,
// such as OPTIONS *.
func (c *requestCounter) end() {
	if !c.isHandled {
		c.begun++
	}
	c.isHandled = false
}

// hasPending reports whether a whole request is known to have arrived that has not begun.
func (c *requestCounter) hasPending() bool { return c.whole > c.begun }

// HasPipelined reports whether the caller of a request is known to have sent another whole request
// on the same connection. That one would get no response if this one's closed the connection.
func HasPipelined(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	return ok && conn.hasPending()
}

// hasPending reports whether a whole request is known to wait. Those of a connection that has ended
// never begin.
func (c *Conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.err == nil && c.counter.hasPending()
}

// Watcher holds the open connections of a server. It is safe for concurrent use.
type Watcher struct {
	mu sync.Mutex
	// conns holds whether a connection is new: nothing has arrived on it yet.
	conns map[*Conn]bool
}

// onStateChange follows the state of a server's connection.
func (w *Watcher) onStateChange(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		w.set(c, true)
	case http.StateActive:
		w.set(c, false)
	case http.StateIdle:
		c.endRequest()
	case http.StateClosed, http.StateHijacked:
		w.remove(c)
	}
}

func (w *Watcher) set(c *Conn, isNew bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = isNew
}

func (w *Watcher) remove(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// Pending reports whether any connection is known to hold a whole request that has not begun, also one
// without a request in progress: between two pipelined requests there is none.
func (w *Watcher) Pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if c.hasPending() {
			return true
		}
	}
	return false
}

// HasNew reports whether a connection is open on which nothing has arrived yet.
func (w *Watcher) HasNew() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, isNew := range w.conns {
		if isNew {
			return true
		}
	}
	return false
}

// AwaitPipelined waits until no connection is known to hold a whole request that has not begun, or
// until the context ends.
func (w *Watcher) AwaitPipelined(ctx context.Context) {
	for w.Pending() && pause.For(ctx, pollInterval) {
		continue
	}
}
