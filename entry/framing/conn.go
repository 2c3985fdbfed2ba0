package framing

import (
	"net"

	"github.com/primroseloom/primroseloom/entry/internal/connwrap"
	"github.com/primroseloom/primroseloom/entry/internal/linger"
)

// malformedLine is neither a field, a request line nor the size of a chunk.
const malformedLine = "contradictory length\r\n"

// Conn is a caller's connection whose server refuses requests with two lengths.
type Conn struct {
	net.Conn
	scanner scanner
	// isRefused is true once a request is refused; refusal is the rest of malformedLine.
	isRefused bool
	refusal   string
}

// Read reads from the connection. Behind the second length of a request it returns malformedLine and
// discards what follows, until the connection ends.
func (c *Conn) Read(p []byte) (int, error) {
	for c.refusal == "" {
		n, err := c.Conn.Read(p)
		if c.isRefused && err == nil && len(p) > 0 {
			continue
		}
		if c.isRefused {
			return 0, err
		}
		scanned, ok := c.scanner.scan(p[:n])
		if ok {
			return n, err
		}
		c.isRefused, c.refusal = true, malformedLine
		if scanned > 0 {
			return scanned, nil
		}
	}
	n := copy(p, c.refusal)
	c.refusal = c.refusal[n:]
	return n, nil
}

// SetLinger sets the linger time, in seconds.
func (c *Conn) SetLinger(seconds int) error { return linger.Set(c.Conn, seconds) }

// Listener returns a listener of connections whose server refuses requests with two lengths.
func Listener(inner net.Listener) net.Listener {
	return connwrap.Listener(inner, func(conn net.Conn) net.Conn { return &Conn{Conn: conn} })
}
