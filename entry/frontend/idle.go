package frontend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/follow"
)

// idleSlack is how long an idle connection outlives the routes' limit, so that a
// request sent at the limit still finds it open.
const idleSlack = 500 * time.Millisecond

// idleLimit closes callers' connections that stay idle for longer than the
// routes in force allow. The limit changes with the routes, so it is looked up
// when a connection's time is over.
type idleLimit struct {
	limit func() time.Duration

	mu sync.Mutex
	// since holds the idle connections.
	since map[net.Conn]*idleConn
}

// idleConn is one idle connection.
type idleConn struct {
	began time.Time
	timer *time.Timer
}

func newIdleLimit(limit func() time.Duration) *idleLimit {
	return &idleLimit{limit: limit, since: make(map[net.Conn]*idleConn)}
}

// routesIdleLimit returns the limit of the routes in force, or the default
// while they set none.
func routesIdleLimit(follower *follow.Follower) time.Duration {
	if table := follower.Table(); table != nil && table.Limits().IdleTimeout > 0 {
		return table.Limits().IdleTimeout
	}
	return callerIdleTime
}

// changed follows a connection's state; it is the server's ConnState hook.
func (l *idleLimit) changed(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if idle, ok := l.since[conn]; ok {
		idle.timer.Stop()
		delete(l.since, conn)
	}
	if state != http.StateIdle {
		return
	}
	l.since[conn] = &idleConn{
		began: time.Now(),
		timer: time.AfterFunc(l.limit()+idleSlack, func() { l.timeOver(conn) }),
	}
}

// timeOver closes a connection that is still idle, or waits on when the limit
// has grown meanwhile.
func (l *idleLimit) timeOver(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle, ok := l.since[conn]
	if !ok {
		return
	}
	if left := l.limit() + idleSlack - time.Since(idle.began); left > 0 {
		idle.timer.Reset(left)
		return
	}
	delete(l.since, conn)
	_ = conn.Close() // the server notices the end and reports it as such
}
