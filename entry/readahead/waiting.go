package readahead

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
)

// minWait is how long a caller may take to send a request, also while others have no memory.
const minWait = 500 * time.Millisecond

// waitsForCaller reports whether the connection waits for its caller's bytes, and since when: it is idle,
// or its request has not arrived whole.
func (c *Conn) waitsForCaller() (since time.Time, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived := c.WholeRequests() >= c.begun
	if !c.isHandled {
		arrived = c.WholeRequests() > c.begun // the server is about to begin the next one
	}
	return c.waitingSince, !c.closed && !arrived && !(c.isHandled && c.IsHTTP2())
}

// hasOldStreams reports whether the connection is one of HTTP/2 on which requests are in progress, and since when
// none has begun. Whether they wait for their caller isn't known.
func (c *Conn) hasOldStreams() (since time.Time, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince, !c.closed && c.isHandled && c.IsHTTP2()
}

// isBetweenRequests reports whether no response is due or in progress.
func (c *Conn) isBetweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isHandled && !c.ahead && c.WholeRequests() <= c.begun
}

// abort closes the connection at once.
func (c *Conn) abort() {
	c.mu.Lock()
	c.isReset = true
	c.mu.Unlock()
	_ = c.Close() // it may have been closed meanwhile
}

// holdsMemory reports whether memory is reserved for the connection or its request.
func (c *Conn) holdsMemory() bool {
	c.mu.Lock()
	isHandled := c.isHandled
	c.mu.Unlock()
	return isHandled || c.HoldsMemory()
}

// CloseWaiting closes the connection that has waited for its caller for the longest, and reports whether
// there was one. Those whose callers still send after their last response come first.
func (w *Watcher) CloseWaiting() bool {
	if conn := w.takeLingering(); conn != nil {
		conn.abort()
		return true
	}
	conn, _ := w.takeLongest((*Conn).waitsForCaller, func(*Conn, time.Time) bool { return true })
	if conn == nil {
		return false
	}
	conn.abort()
	return true
}

// CloseHolding is like CloseWaiting, among the connections for which memory is reserved and whose callers have
// had some time. If there is none, it closes a connection of HTTP/2 on which no request has begun for as long: one
// may hold as much as many others.
func (w *Watcher) CloseHolding() bool {
	conn, since := w.takeLongest((*Conn).waitsForCaller, func(c *Conn, since time.Time) bool { return time.Since(since) >= minWait && c.holdsMemory() })
	if conn == nil {
		conn, since = w.takeLongest((*Conn).hasOldStreams, func(_ *Conn, since time.Time) bool { return time.Since(since) >= minWait })
	}
	if conn == nil {
		return false
	}
	conn.Closed(framing.ClosedForMemory, time.Since(since))
	conn.abort()
	return true
}

// takeLingering returns a connection whose caller still sends after its last response, or nil, and forgets it.
func (w *Watcher) takeLingering() *Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.lingering {
		delete(w.lingering, c)
		return c
	}
	return nil
}

// takeLongest returns the eligible connection that has waited for the longest, or nil, and since when; it
// forgets the connection.
func (w *Watcher) takeLongest(waits func(c *Conn) (since time.Time, waits bool), isEligible func(c *Conn, since time.Time) bool) (longest *Conn, began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		since, does := waits(c)
		if does && (longest == nil || since.Before(began)) && isEligible(c, since) {
			longest, began = c, since
		}
	}
	delete(w.conns, longest)
	return longest, began
}
