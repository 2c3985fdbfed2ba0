package slowreader

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/connwrap"
	"github.com/primroseloom/primroseloom/entry/internal/linger"
)

// Conn is a connection whose write deadline is renewed by progress.
type Conn struct {
	net.Conn
	// progressTimeout is the time without progress that is allowed, in nanoseconds; 0 sets no bound.
	progressTimeout atomic.Int64
}

// SetWriteDeadline allows the time until at without progress; a zero time sets no bound. A
// time that has passed ends writes at once.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	progressTimeout := time.Duration(0)
	if !at.IsZero() {
		progressTimeout = max(time.Until(at), 0)
	}
	c.progressTimeout.Store(int64(progressTimeout))
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(at time.Time) error {
	if err := c.SetWriteDeadline(at); err != nil {
		return err
	}
	return c.SetReadDeadline(at)
}

// SetLinger sets the linger time, in seconds.
func (c *Conn) SetLinger(seconds int) error { return linger.Set(c.Conn, seconds) }

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error { return linger.CloseWrite(c.Conn) }

// checksPerTimeout is how often a write that waits looks for progress within the allowed
// time, so that a peer is ended at most a quarter of it late.
const checksPerTimeout = 4

// Write writes all of p, or returns an error when the peer takes nothing for the allowed
// time.
func (c *Conn) Write(p []byte) (written int, err error) {
	progressTimeout := time.Duration(c.progressTimeout.Load())
	if progressTimeout <= 0 {
		return c.Conn.Write(p)
	}
	progress := time.Now()
	for {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(progressTimeout / checksPerTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if n > 0 {
			progress = time.Now()
		}
		if time.Since(progress) >= progressTimeout {
			return written, err
		}
	}
}

// Listener returns a listener whose connections renew their write deadlines.
func Listener(inner net.Listener) net.Listener {
	return connwrap.Listener(inner, func(conn net.Conn) net.Conn { return &Conn{Conn: conn} })
}
