package readahead

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/pause"
)

// endOfHead ends the head of a request, and so a whole request if that has no body.
const endOfHead = "\r\n\r\n"

// pollInterval is the time between two looks of AwaitPipelined at the connections.
const pollInterval = 20 * time.Millisecond

// requestCounter counts the requests of a connection, to detect pipelined ones: those that have
// arrived before the response to an earlier one. It recognizes the end of a request only by the end
// of its head. The content of a body may look the same, so that the counts mean nothing once a
// request with a body has begun.
type requestCounter struct {
	// received is the number of requests that have arrived, those with a body counted at the end
	// of their head; begun is the number of requests passed to the handler.
	received, begun int
	// matched is the number of bytes of endOfHead that the latest bytes match.
	matched int
	// isUnknown is true once a request with a body has begun.
	isUnknown bool
}

// add counts the requests that end in content.
func (c *requestCounter) add(content []byte) {
	for _, b := range content {
		switch {
		case b == endOfHead[c.matched]:
			c.matched++
		case b == endOfHead[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		if c.matched == len(endOfHead) {
			c.received++
			c.matched = 0
		}
	}
}

// begin counts a request that is passed to the handler.
func (c *requestCounter) begin(r *http.Request) {
	c.begun++
	c.isUnknown = c.isUnknown || r.ContentLength != 0
}

// hasPipelined reports whether a whole request is known to wait behind the latest one that has begun.
func (c *requestCounter) hasPipelined() bool { return !c.isUnknown && c.received > c.begun }

// HasPipelined reports whether the caller of a request is known to have sent another whole request
// on the same connection. That one would get no response if this one's closed the connection.
func HasPipelined(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	return ok && conn.hasPipelined()
}

func (c *Conn) hasPipelined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.hasPipelined()
}

// Watcher holds the connections of a server on which a request is in progress. It is safe for
// concurrent use.
type Watcher struct {
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

func (w *Watcher) add(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = struct{}{}
}

func (w *Watcher) remove(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// AwaitPipelined waits until no connection is known to have a pipelined request behind the one in
// progress, or until the context ends.
func (w *Watcher) AwaitPipelined(ctx context.Context) {
	for w.anyPipelined() && pause.For(ctx, pollInterval) {
		continue
	}
}

// Pending reports whether a connection is known to hold a whole request that has not begun.
func (w *Watcher) Pending() bool { return w.anyPipelined() }

func (w *Watcher) anyPipelined() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if c.hasPipelined() {
			return true
		}
	}
	return false
}
