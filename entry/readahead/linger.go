package readahead

import (
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/linger"
)

// Bounds on what is read of a request after its response, so that the response is not lost: a connection
// that is closed with bytes that were not read is reset, and the response may be dropped with it.
const (
	// lingerTime is how long a connection may stay open after its last response.
	lingerTime = time.Second
	// maxLingerBytes is the number of bytes that are read and discarded in that time.
	maxLingerBytes = 1 << 20
	// maxAwaitedBody is the length in bytes of a body for which a refusal waits, up to lingerTime, so that
	// the connection can be used further.
	maxAwaitedBody = 64 << 10
	// discardBytes is the size of one read.
	discardBytes = 4 << 10
)

// discardPool holds buffers for bytes that are discarded.
var discardPool = sync.Pool{New: func() any { return new([discardBytes]byte) }}

// LeaveBody is to be called before the response to a request of whose body the handler reads no more.
// Otherwise net/http's server would wait for the rest of the body, for as long as the caller likes, before
// it writes the response. What follows a long body is not read, so that its connection ends with the
// response. Nothing changes if all of the request has arrived.
func LeaveBody(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || r.ProtoMajor != 1 || conn.isWhole() {
		return
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	if r.ContentLength >= 0 && r.ContentLength <= maxAwaitedBody {
		return
	}
	if controller.EnableFullDuplex() == nil {
		w.Header().Set("Connection", "close")
	}
}

// isWhole reports whether all of the request in progress has arrived.
func (c *Conn) isWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.WholeRequests() >= c.begun
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.responded.Store(true)
	return c.Conn.Write(p)
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error { return linger.CloseWrite(c.Conn) }

// discardRest reads what the caller still sends after its last response, within bounds, and closes the
// connection.
func (c *Conn) discardRest() {
	defer func() { _ = c.Conn.Close() }()
	if c.watcher != nil {
		c.watcher.beginLingering(c)
		defer c.watcher.endLingering(c)
	}
	_ = c.CloseWrite()                                     // not supported: the caller sees the end later
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed; then Read does
	buffer := discardPool.Get().(*[discardBytes]byte)
	defer discardPool.Put(buffer)
	for read := 0; read < maxLingerBytes; {
		n, err := c.Conn.Conn.Read(buffer[:])
		if err != nil {
			return
		}
		read += n
	}
}
