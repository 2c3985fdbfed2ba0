package readahead

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// HasPipelined reports whether the caller of a request is known to have sent another whole request
// on the same connection. That one would get no response if this one's closed the connection.
func HasPipelined(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	return ok && conn.hasPending()
}

// begin counts a request that is passed to the handler.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun++
	c.isHandled = true
	c.waitingSince = time.Now()
	c.responded.Store(false)
}

// endRequest ends a request whose response leaves the connection open. The server answers some by
// itself, such as OPTIONS *.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHandled {
		c.begun++
	}
	c.isHandled = false
	c.waitingSince = time.Now()
	c.responded.Store(false)
	c.ReleaseHead()
}

// hasPending reports whether a whole request is known to have arrived that has not begun. Those of a
// connection that has ended never begin.
func (c *Conn) hasPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.err == nil && c.WholeRequests() > c.begun
}

// Watcher holds the open connections of a server. It is safe for concurrent use.
type Watcher struct {
	mu sync.Mutex
	// conns holds whether a connection is new: nothing has arrived on it yet.
	conns map[*Conn]bool
	// lingering are the connections that the server has closed while their callers still send.
	lingering map[*Conn]bool
}

// onStateChange follows the state of a server's connection.
func (w *Watcher) onStateChange(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.watcher = w
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

func (w *Watcher) beginLingering(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lingering[c] = true
	c.Lingering(len(w.lingering))
}

func (w *Watcher) endLingering(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lingering, c)
	c.Lingering(len(w.lingering))
}

// HasLingering reports whether a connection is open whose caller still sends after its response.
func (w *Watcher) HasLingering() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lingering) > 0
}
