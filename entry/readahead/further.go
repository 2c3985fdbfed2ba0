package readahead

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/pause"
)

// endOfHead ends the head of a request, and, for one without a body, the request.
const endOfHead = "\r\n\r\n"

// pollInterval is how often AwaitFurther looks at the connections.
const pollInterval = 20 * time.Millisecond

// counter counts the whole requests that a connection has brought and those that were begun.
// Only requests without a body are told apart: after one with a body, nothing is known.
type counter struct {
	received, begun int
	// matched is the number of bytes of endOfHead that the latest bytes match.
	matched   int
	isUnknown bool
}

// add counts the requests that end in content.
func (c *counter) add(content []byte) {
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

// begin counts a request that is begun.
func (c *counter) begin(r *http.Request) {
	c.begun++
	c.isUnknown = c.isUnknown || r.ContentLength != 0
}

// hasFurther reports whether a whole request waits behind the latest one that was begun.
func (c *counter) hasFurther() bool { return !c.isUnknown && c.received > c.begun }

// HasFurther reports whether the caller of a request is known to have sent a further whole request
// on the same connection. A response that closes the connection would leave it unanswered.
func HasFurther(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	return ok && conn.hasFurther()
}

func (c *Conn) hasFurther() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counter.hasFurther()
}

// Watcher knows the connections of a server on which a request is in progress.
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

// AwaitFurther waits until no connection has a further request behind the one in progress, or
// until the context ends.
func (w *Watcher) AwaitFurther(ctx context.Context) {
	for w.anyFurther() && pause.For(ctx, pollInterval) {
		continue
	}
}

func (w *Watcher) anyFurther() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if c.hasFurther() {
			return true
		}
	}
	return false
}
