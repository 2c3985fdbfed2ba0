package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/follow"
)

// idleSlack is how much longer than the routes' limit an idle connection stays
// open, so that a request sent at the limit still finds it open.
const idleSlack = 500 * time.Millisecond

// idleCloser closes callers' connections that stay idle for longer than the
// routes in force allow. The limit changes with the routes, so it is read again
// when a connection's timer fires.
type idleCloser struct {
	limit func() time.Duration

	mu sync.Mutex
	// idleConns holds the connections that are idle now.
	idleConns map[net.Conn]*idleConn
}

// idleConn is one idle connection.
type idleConn struct {
	idleSince time.Time
	timer     *time.Timer
}

func newIdleCloser(limit func() time.Duration) *idleCloser {
	return &idleCloser{limit: limit, idleConns: make(map[net.Conn]*idleConn)}
}

// routesIdleLimit returns the limit of the routes in force, or the default
// while they set none.
func routesIdleLimit(follower *follow.Follower) time.Duration {
	if table := follower.Table(); table != nil && table.Limits().IdleTimeout > 0 {
		return table.Limits().IdleTimeout
	}
	return callerIdleTimeout
}

// onStateChange records a connection's new state; it is the server's ConnState hook.
func (l *idleCloser) onStateChange(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if idle, ok := l.idleConns[conn]; ok {
		idle.timer.Stop()
		delete(l.idleConns, conn)
	}
	if state != http.StateIdle {
		return
	}
	l.idleConns[conn] = &idleConn{
		idleSince: time.Now(),
		timer:     time.AfterFunc(l.limit()+idleSlack, func() { l.closeIfIdle(conn) }),
	}
}

// closeIfIdle closes a connection that is still idle, or waits longer when the
// limit has grown meanwhile.
func (l *idleCloser) closeIfIdle(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle, ok := l.idleConns[conn]
	if !ok {
		return
	}
	if left := l.limit() + idleSlack - time.Since(idle.idleSince); left > 0 {
		idle.timer.Reset(left)
		return
	}
	delete(l.idleConns, conn)
	// The server ends its wait for a request and closes the connection, unless it has just read
	// one, which a close here would leave unanswered.
	_ = conn.SetReadDeadline(time.Now())
}
