package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Recent holds the open connections of a server whose handlers neither wait nor read bodies, by when they
// last completed a request. It is safe for concurrent use.
type Recent struct {
	mu sync.Mutex
	// used is when a connection was opened, or its last request was completed.
	used map[net.Conn]time.Time
}

// NewRecent returns a Recent without connections.
func NewRecent() *Recent { return &Recent{used: make(map[net.Conn]time.Time)} }

// OnStateChange follows the state of a connection; it is the server's ConnState hook.
func (r *Recent) OnStateChange(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		r.used[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(r.used, conn)
	}
}

// CloseOldest closes the connection that was used least recently and reports whether there was one.
func (r *Recent) CloseOldest() bool {
	conn := r.takeOldest()
	if conn == nil {
		return false
	}
	_ = conn.Close() // it may have been closed meanwhile, which makes room as well
	return true
}

// takeOldest returns the connection that was used least recently, or nil, and forgets it.
func (r *Recent) takeOldest() net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest net.Conn
	for conn, used := range r.used {
		if oldest == nil || used.Before(r.used[oldest]) {
			oldest = conn
		}
	}
	delete(r.used, oldest)
	return oldest
}
