package framing

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/connwrap"
	"github.com/primroseloom/primroseloom/entry/internal/linger"
)

// malformedLine is neither a field, a request line nor the size of a chunk. The empty line behind it ends
// trailers, for whose end net/http's server waits.
const malformedLine = "contradictory length\r\n\r\n"

// CloseReason is why a connection is closed for want of memory.
type CloseReason string

// The reasons.
const (
	// ClosedForMemory means that others needed the memory that it held.
	ClosedForMemory CloseReason = "memory"
	// ClosedForReadAhead means that there was no memory for what its caller sent ahead.
	ClosedForReadAhead CloseReason = "read_ahead"
)

// Options are where refusals are reported.
type Options struct {
	// Logger receives an event for each refused request; nil for none.
	Logger *log.Logger
	// Scope counts them by reason; nil for none.
	Scope tally.Scope
	// NewHold returns an empty part of the budget of memory for a connection; nil for no bound.
	NewHold func() Hold
	// MakeRoom closes a connection that holds memory, if there is one to close, and reports whether it has;
	// nil for never.
	MakeRoom func() bool
	// RefusalFields are header fields, as whole lines, of the refusal of a request for want of memory.
	RefusalFields string
}

// Conn is a caller's connection whose whole requests are counted, and whose server refuses requests with
// two lengths.
type Conn struct {
	net.Conn
	options Options
	framer  framer
	// whole is the number of whole requests, for other goroutines than that which reads.
	whole atomic.Int64
	// partial is true while a request has arrived in part, or was refused.
	partial atomic.Bool
	// keptPartial is what the head keeps that has arrived in part, in bytes.
	keptPartial atomic.Int64
	// isHTTP2 is true once the connection is known to be one of HTTP/2.
	isHTTP2 atomic.Bool
	// refusal is the rest of malformedLine, once a request is refused.
	refusal string
	memory  reservation
	// mayRespond reports whether no response to an earlier request is due or in progress; nil for never.
	mayRespond func() bool
	// failed is why nothing more is read, since there was no memory; nil otherwise.
	failed error
}

// NewConn returns a connection whose requests are followed.
func NewConn(inner net.Conn, options Options) *Conn {
	return &Conn{Conn: inner, options: options, memory: reservation{newHold: options.NewHold}}
}

// RespondIf sets the function that reports whether a refusal may be written now: no response to an earlier
// request is due or in progress. It is to be set before the first read.
func (c *Conn) RespondIf(mayRespond func() bool) { c.mayRespond = mayRespond }

// Read reads from the connection. Behind the line for which a request is refused it returns malformedLine
// and discards what follows, until the connection ends.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.coverHead(); err != nil {
		return 0, err
	}
	for c.refusal == "" {
		n, err := c.Conn.Read(p)
		if c.framer.state == refused && err == nil && len(p) > 0 {
			continue
		}
		if c.framer.state == refused {
			return 0, err
		}
		followed := c.framer.add(p[:n])
		c.whole.Store(int64(c.framer.whole))
		c.partial.Store(c.framer.isPartial())
		c.isHTTP2.Store(c.framer.isHTTP2Conn())
		c.keptPartial.Store(c.framer.keptBytes())
		if c.framer.state != refused {
			return n, err
		}
		c.refusal = malformedLine
		c.Refused(c.framer.reason)
		if followed > 0 {
			return followed, nil
		}
	}
	n := copy(p, c.refusal)
	c.refusal = c.refusal[n:]
	return n, nil
}

// WholeRequests returns the number of requests that are known to have arrived whole, each with its head
// and body. It leaves out those behind a request after which the server closes the connection, or may. It
// is safe for concurrent use.
func (c *Conn) WholeRequests() int { return int(c.whole.Load()) }

// IsPartial reports whether a part of a request has arrived and not all of it. It is safe for concurrent use.
func (c *Conn) IsPartial() bool { return c.partial.Load() }

// IsHTTP2 reports whether the connection is one of HTTP/2. It is safe for concurrent use.
func (c *Conn) IsHTTP2() bool { return c.isHTTP2.Load() }

// Refused logs and counts a refused request.
func (c *Conn) Refused(reason Reason) {
	if c.options.Logger != nil {
		events.FramingRefused.Log(c.options.Logger, "reason", reason, "address", c.RemoteAddr())
	}
	if c.options.Scope != nil {
		scope := c.options.Scope.SubScope("framing").Tagged(map[string]string{"reason": string(reason)})
		scope.Counter("requests_refused").Inc(1)
	}
}

// Closed logs and counts that the connection is closed for want of memory, after a time in which it waited for
// its caller.
func (c *Conn) Closed(reason CloseReason, waited time.Duration) {
	if c.options.Logger != nil {
		events.ConnectionClosed.Log(c.options.Logger, "reason", reason, "address", c.RemoteAddr(), "waited_ms", waited.Milliseconds())
	}
	if c.options.Scope != nil {
		c.options.Scope.SubScope("connections").Tagged(map[string]string{"reason": string(reason)}).Counter("closed").Inc(1)
	}
}

// Lingering updates the number of connections that are read after their last response.
func (c *Conn) Lingering(connections int) {
	if c.options.Scope != nil {
		c.options.Scope.SubScope("connections").Gauge("lingering").Update(float64(connections))
	}
}

// SetLinger sets the linger time, in seconds.
func (c *Conn) SetLinger(seconds int) error { return linger.Set(c.Conn, seconds) }

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error { return linger.CloseWrite(c.Conn) }

// Listener returns a listener of connections whose server refuses requests with two lengths.
func Listener(inner net.Listener, options Options) net.Listener {
	return connwrap.Listener(inner, func(conn net.Conn) net.Conn { return NewConn(conn, options) })
}
