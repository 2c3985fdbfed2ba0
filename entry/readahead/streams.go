package readahead

import (
	"net/http"

	"github.com/primroseloom/primroseloom/entry/framing"
)

// serveStream serves a request of HTTP/2 within the budget of memory. net/http's server has parsed its head,
// whose size it bounds; the number of requests in progress on a connection is bounded, too.
func (c *Conn) serveStream(next http.Handler, w http.ResponseWriter, r *http.Request) {
	hold := c.NewHold()
	if hold == nil {
		next.ServeHTTP(w, r)
		return
	}
	if !hold.Resize(headBytes(r.Header)) {
		c.Refused(framing.NoMemory)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer hold.Resize(0)
	next.ServeHTTP(w, r)
}

// headBytes returns what a head keeps in memory, in bytes.
func headBytes(header http.Header) int64 {
	size, fields := 0, 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
			fields++
		}
	}
	return framing.HeadBytes(size, fields)
}
