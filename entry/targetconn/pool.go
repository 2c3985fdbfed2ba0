package targetconn

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
)

const (
	// DefaultIdleTimeout is how long an unused connection is kept by default.
	DefaultIdleTimeout = 15 * time.Second
	// maxConnectionAge is the age from which a connection is no longer reused.
	maxConnectionAge = 5 * time.Minute
	// maxResponseHeadBytes bounds the head of a response.
	maxResponseHeadBytes = 64 << 10
	// maxRefusals is the number of refusals after which a connection is no longer reused. It
	// bounds the memory for their identifiers.
	maxRefusals = 64
	// connectTimeout bounds the time to open a connection by default.
	connectTimeout = time.Second
)

// errConnectionLimit is returned when all connections of this VM's share are in
// use.
var errConnectionLimit = errors.New("all connections of this VM's share are in use")

// errNoOpenConnection is returned when only an open connection would do and none is idle.
var errNoOpenConnection = errors.New("no open connection is idle")

// Options sets the limits of a pool.
type Options struct {
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// ConnectTimeout bounds the time to open a connection.
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
	// seed is that of the hashes of request identifiers.
	seed maphash.Seed

	mu    sync.Mutex
	limit int
	// open counts the connections that are idle, in use or being opened.
	open   int
	idle   []*connection
	closed bool
}

// New returns a pool of connections to an "IP:port" address.
func New(address string, network contract.Network, options Options) *Pool {
	p := &Pool{address: address, limit: options.MaxConnections, options: options, seed: maphash.MakeSeed()}
	p.transport = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
		DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
			conn, err := network.DialContext(ctx, kind, address)
			if err != nil {
				return nil, err
			}
			watch := &watchedConn{Conn: conn}
			if destination, ok := ctx.Value(watchKey{}).(**watchedConn); ok {
				*destination = watch
			}
			return watch, nil
		},
	}
	return p
}

// watchKey is the context key of the variable that receives the watchedConn of a
// new connection.
type watchKey struct{}

// take returns an idle connection, or opens a new one when none may be used for
// the attempt.
func (p *Pool) take(ctx context.Context, trip *contract.RoundTrip) (*connection, error) {
	reused, toClose, err := p.reserve(trip)
	closeAll(toClose)
	if err != nil || reused != nil {
		return reused, err
	}
	opened, err := p.dial(ctx)
	if err != nil {
		p.releaseReservation()
		return nil, fmt.Errorf("connect to target at %s: %w", p.address, err)
	}
	return opened, nil
}

// reserve returns an idle connection or, if there is none to reuse, counts a
// connection to be opened. The caller closes the connections in toClose.
func (p *Pool) reserve(trip *contract.RoundTrip) (reused *connection, toClose []*connection, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	toClose = p.dropUnusable(now)
	if i := p.reusable(trip, now); i >= 0 {
		reused = p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		return reused, toClose, nil
	}
	if trip.OpenConnectionOnly {
		return nil, toClose, errNoOpenConnection
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		toClose = append(toClose, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	if p.open >= p.limit {
		return nil, toClose, errConnectionLimit
	}
	p.open++
	return nil, toClose, nil
}

// reusable returns the index of the idle connection that was used last of those that the attempt
// may use, -1 if there is none; the lock must be held.
func (p *Pool) reusable(trip *contract.RoundTrip, now time.Time) int {
	if trip.NewConnection {
		return -1
	}
	id := p.hashOf(trip.RequestID)
	for i, c := range slices.Backward(p.idle) {
		if trip.MaxIdle > 0 && now.Sub(c.idleSince) >= trip.MaxIdle {
			return -1 // those before it have been idle for longer
		}
		if trip.RequestID == "" || !c.hasRefused(id) {
			return i
		}
	}
	return -1
}

// hashOf returns the hash of a request identifier.
func (p *Pool) hashOf(id string) uint64 { return maphash.String(p.seed, id) }

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

// put returns a connection to the pool, or closes it when it must not be reused.
func (p *Pool) put(c *connection, reusable bool) {
	now := time.Now()
	p.mu.Lock()
	isFresh := now.Sub(c.opened) < maxConnectionAge && len(c.refused) < maxRefusals
	if reusable && isFresh && !p.closed && c.client.Err() == nil && p.open <= p.limit {
		c.idleSince, c.usedBefore = now, true
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.open--
	p.mu.Unlock()
	_ = c.client.Close()
}

// HasIdle reports whether an open connection is idle.
func (p *Pool) HasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for _, c := range p.idle {
		if c.client.Err() == nil && now.Sub(c.idleSince) < p.options.IdleTimeout {
			return true
		}
	}
	return false
}

// releaseReservation uncounts a connection that could not be opened.
func (p *Pool) releaseReservation() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// CloseExpired closes idle connections that have expired or were closed by the
// target.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return
	}
	toClose := p.dropUnusable(time.Now())
	p.mu.Unlock()
	closeAll(toClose)
}

// SetMaxConnections changes the maximum number of open connections and closes
// idle ones above it.
func (p *Pool) SetMaxConnections(limit int) {
	p.mu.Lock()
	p.limit = limit
	var surplus []*connection
	for p.open > p.limit && len(p.idle) > 0 {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	closeAll(surplus)
}

// SetIdleTimeout changes how long an unused connection is kept.
func (p *Pool) SetIdleTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.IdleTimeout = timeout
}

// Close closes the idle connections; those in use are closed when returned.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.open -= len(idle)
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	closeAll(idle)
}

// Size returns the number of connections that are open or being opened.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// dropUnusable removes expired and broken connections from the idle ones and
// returns them to be closed; the lock must be held.
func (p *Pool) dropUnusable(now time.Time) []*connection {
	var unusable []*connection
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.client.Err() != nil || now.Sub(c.idleSince) >= p.options.IdleTimeout || now.Sub(c.opened) >= maxConnectionAge {
			unusable = append(unusable, c)
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	return unusable
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		_ = c.client.Close()
	}
}
