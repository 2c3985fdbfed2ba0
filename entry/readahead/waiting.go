package readahead

import "time"

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

// abort closes the connection at once.
func (c *Conn) abort() {
	c.mu.Lock()
	c.isReset = true
	c.mu.Unlock()
	_ = c.Close() // it may have been closed meanwhile
}

// CloseWaiting closes the connection that has waited for its caller for the longest, and reports whether
// there was one. Those whose callers still send after their last response come first.
func (w *Watcher) CloseWaiting() bool {
	conn := w.longestWaiting()
	if conn == nil {
		return false
	}
	conn.abort()
	return true
}

// longestWaiting returns the connection that has waited for its caller for the longest, nil if none waits,
// and takes it for closed.
func (w *Watcher) longestWaiting() *Conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.lingering {
		delete(w.lingering, c)
		return c
	}
	var longest *Conn
	var began time.Time
	for c := range w.conns {
		if since, waits := c.waitsForCaller(); waits && (longest == nil || since.Before(began)) {
			longest, began = c, since
		}
	}
	delete(w.conns, longest)
	return longest
}
