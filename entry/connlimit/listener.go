package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/linger"
)

// reportInterval is the least time between two log lines of a listener.
const reportInterval = time.Second

// Options describe a listener.
type Options struct {
	// Name tells the listener from others in the log and the metrics.
	Name string
	// Limit is the maximum number of open connections.
	Limit int
	// MakeRoom closes an open connection and reports whether it has; nil for never.
	MakeRoom func() bool
	// Logger receives an event when connections were closed, at most one a second; nil for none.
	Logger *log.Logger
	// Scope counts the connections that were closed; nil for none.
	Scope tally.Scope
}

// Listener keeps at most Limit connections open.
type Listener struct {
	net.Listener
	options Options
	open    chan struct{}

	mu sync.Mutex
	// refused and closed count the connections that were closed when they were new, and to make room,
	// since the last log line.
	refused, closed int
	reported        time.Time
}

// NewListener returns a listener whose connections are bounded.
func NewListener(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options, open: make(chan struct{}, options.Limit)}
}

// Accept returns the next connection within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
		}
		_ = conn.Close() // nothing has arrived on it
	}
}

// admit counts a new connection, and makes room for it if there is none.
func (l *Listener) admit() bool {
	if l.count() {
		return true
	}
	madeRoom := l.options.MakeRoom != nil && l.options.MakeRoom()
	admitted := l.count()
	l.report(madeRoom, admitted)
	return admitted
}

// count counts a new connection if there is room.
func (l *Listener) count() bool {
	select {
	case l.open <- struct{}{}:
		return true
	default:
		return false
	}
}

// report logs and counts a connection for which there was no room.
func (l *Listener) report(madeRoom, admitted bool) {
	action := "refused"
	if madeRoom {
		action = "closed"
	}
	if l.options.Scope != nil {
		l.options.Scope.SubScope("connections").Tagged(map[string]string{"listener": l.options.Name, "action": action}).Counter("over_limit").Inc(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if madeRoom {
		l.closed++
	}
	if !admitted {
		l.refused++
	}
	if l.options.Logger == nil || time.Since(l.reported) < reportInterval {
		return
	}
	events.ConnectionsLimited.Log(l.options.Logger, "listener", l.options.Name, "limit", l.options.Limit, "closed", l.closed, "refused", l.refused)
	l.closed, l.refused, l.reported = 0, 0, time.Now()
}

type limitedConn struct {
	net.Conn
	release func()
}

// SetLinger sets the linger time, in seconds.
func (c *limitedConn) SetLinger(seconds int) error { return linger.Set(c.Conn, seconds) }

// CloseWrite closes the sending direction.
func (c *limitedConn) CloseWrite() error { return linger.CloseWrite(c.Conn) }

// Close closes the connection and makes room for another one.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
