package targetconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
)

const (
	// DefaultIdleTimeout is how long an unused connection is kept by default.
	DefaultIdleTimeout = 15 * time.Second
	// ageLimit is how long a connection is used.
	ageLimit = 5 * time.Minute
	// maxAnswerHeadBytes bounds the head of an answer.
	maxAnswerHeadBytes = 64 << 10
	// connectTimeout bounds the set-up of a connection by default.
	connectTimeout = time.Second
)

// errConnectionLimit is returned when all connections of a share are in use.
var errConnectionLimit = errors.New("all connections of this VM's share are in use")

// Options bound the connections of a pool.
type Options struct {
	// MaxConnections is the number of connections that may be open.
	MaxConnections int
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// ConnectTimeout bounds the set-up of a connection.
	ConnectTimeout time.Duration
}

// DefaultOptions returns the options of a pool of at most limit connections.
func DefaultOptions(limit int) Options {
	return Options{MaxConnections: limit, IdleTimeout: DefaultIdleTimeout, ConnectTimeout: connectTimeout}
}

// Pool holds the connections of this VM to one target and counts them.
type Pool struct {
	address   string
	options   Options
	transport *http.Transport

	mu    sync.Mutex
	limit int
	// open counts idle connections, those in use and those being set up.
	open   int
	idle   []*connection
	closed bool
}

// New returns a pool of connections to an "IP:port" address.
func New(address string, network contract.Network, options Options) *Pool {
	p := &Pool{address: address, limit: options.MaxConnections, options: options}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			conn, err := network.DialContext(ctx, kind, address)
			if err != nil {
				return nil, err
			}
			watch := &watchedConn{Conn: conn}
			if into, ok := ctx.Value(watchKey{}).(**watchedConn); ok {
				*into = watch
			}
			return watch, nil
		},
	}
	return p
}

type watchKey struct{}

// take returns an idle connection, or a new one when there is none that suits
// the attempt.
func (p *Pool) take(ctx context.Context, trip *contract.RoundTrip) (*connection, error) {
	reused, dead, err := p.reserve(trip)
	closeAll(dead)
	if err != nil || reused != nil {
		return reused, err
	}
	opened, err := p.dial(ctx)
	if err != nil {
		p.forget()
		return nil, fmt.Errorf("connect to target at %s: %w", p.address, err)
	}
	return opened, nil
}

// reserve returns an idle connection or counts a new one.
func (p *Pool) reserve(trip *contract.RoundTrip) (reused *connection, dead []*connection, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	dead = p.dropUnusable(now)
	last := len(p.idle) - 1
	suits := last >= 0 && !trip.Fresh && (trip.MaxIdle == 0 || now.Sub(p.idle[last].idleSince) < trip.MaxIdle)
	if suits {
		reused = p.idle[last]
		p.idle = p.idle[:last]
		return reused, dead, nil
	}
	if p.open >= p.limit && last >= 0 {
		dead = append(dead, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.limit {
		return nil, dead, errConnectionLimit
	}
	p.open++
	return nil, dead, nil
}

func (p *Pool) dial(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	var watch *watchedConn
	client, err := p.transport.NewClientConn(context.WithValue(ctx, watchKey{}, &watch), "http", p.address)
	if err != nil {
		return nil, err
	}
	return &connection{client: client, watch: watch, opened: time.Now()}, nil
}

// put returns a connection; one that must not be used again is closed.
func (p *Pool) put(c *connection, reusable bool) {
	now := time.Now()
	p.mu.Lock()
	if reusable && !p.closed && c.client.Err() == nil && now.Sub(c.opened) < ageLimit && p.open <= p.limit {
		c.idleSince, c.used = now, true
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.open--
	p.mu.Unlock()
	_ = c.client.Close()
}

// forget uncounts a connection that could not be opened.
func (p *Pool) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseExpired closes connections that were idle for too long or have ended.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	dead := p.dropUnusable(time.Now())
	p.mu.Unlock()
	closeAll(dead)
}

// SetMaxConnections changes the number of connections allowed.
func (p *Pool) SetMaxConnections(limit int) {
	p.mu.Lock()
	p.limit = limit
	var dead []*connection
	for p.open > p.limit && len(p.idle) > 0 {
		dead = append(dead, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	closeAll(dead)
}

// SetIdleTimeout changes how long an unused connection is kept.
func (p *Pool) SetIdleTimeout(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.IdleTimeout = idle
}

// Close closes the idle connections; those in use are closed when returned.
func (p *Pool) Close() {
	p.mu.Lock()
	dead := p.idle
	p.open -= len(dead)
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	closeAll(dead)
}

// Size returns the number of connections open or being set up.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// dropUnusable takes expired and ended connections out of the idle ones; the
// lock is held.
func (p *Pool) dropUnusable(now time.Time) []*connection {
	var dead []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.client.Err() != nil || now.Sub(c.idleSince) >= p.options.IdleTimeout || now.Sub(c.opened) >= ageLimit {
			dead = append(dead, c)
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return dead
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		_ = c.client.Close()
	}
}
