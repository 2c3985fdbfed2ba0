package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// pool holds one HTTP/2 connection to each peer address in use.
type pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	keys *keys

	mu          sync.Mutex
	connections map[string]*peerConnection
	// candidates are new connections on which no call has succeeded yet.
	candidates map[string]*peerConnection
	nextPrune  time.Duration
}

// peerConnection is the HTTP transport to one address and the clients that use it.
type peerConnection struct {
	transport *http.Transport
	client    primroseloomv1connect.PeerServiceClient
	feed      primroseloomv1connect.FeedServiceClient
	evidence  primroseloomv1connect.EvidenceServiceClient
	lastUsed  time.Time
}

func newPool(dial func(context.Context, string, string) (net.Conn, error), keys *keys) *pool {
	return &pool{dial: dial, keys: keys, connections: make(map[string]*peerConnection), candidates: make(map[string]*peerConnection)}
}

func (p *pool) newPeerConnection(address string) *peerConnection {
	transport := &http.Transport{
		DialContext:     p.dial,
		Protocols:       new(http.Protocols),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfterSilence, PingTimeout: pingTimeout},
	}
	scheme := "http://"
	if p.keys.off {
		transport.Protocols.SetUnencryptedHTTP2(true)
	} else {
		scheme = "https://"
		transport.Protocols.SetHTTP2(true)
		transport.TLSClientConfig = p.keys.clientConfig()
		transport.TLSHandshakeTimeout = dialTimeout
	}
	httpClient := &http.Client{Transport: transport}
	sizeLimits := connect.WithClientOptions(connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
	return &peerConnection{
		transport: transport,
		client:    primroseloomv1connect.NewPeerServiceClient(httpClient, scheme+address, sizeLimits),
		feed:      primroseloomv1connect.NewFeedServiceClient(httpClient, scheme+address, sizeLimits),
		evidence:  primroseloomv1connect.NewEvidenceServiceClient(httpClient, scheme+address, sizeLimits),
		lastUsed:  time.Now(),
	}
}

// client returns the client of an address, over the connection in use.
func (p *pool) client(address string) primroseloomv1connect.PeerServiceClient {
	return p.connection(address).client
}

// connection returns the connection in use to an address, creating it if there is
// none.
func (p *pool) connection(address string) *peerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.connections[address]
	if !ok {
		c = p.newPeerConnection(address)
		p.connections[address] = c
	}
	c.lastUsed = time.Now()
	return c
}

// maxCandidateAge is the age up to which calls share a new connection. Sharing
// limits the number of TLS handshakes with a peer that fails to respond.
const maxCandidateAge = time.Second

// clientOnNewConnection returns a client over a new connection, or over one that
// another call opened less than maxCandidateAge ago. The returned function must be
// called once when the call has ended. If the call succeeded, the new connection
// replaces the old one, whose calls in progress continue.
func (p *pool) clientOnNewConnection(address string) (primroseloomv1connect.PeerServiceClient, func(succeeded bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.candidates[address]
	if !ok || time.Since(c.lastUsed) >= maxCandidateAge {
		if ok {
			c.transport.CloseIdleConnections()
		}
		c = p.newPeerConnection(address)
		p.candidates[address] = c
	}
	return c.client, func(succeeded bool) {
		if succeeded {
			p.promote(address, c)
		}
	}
}

// promote replaces the connection in use by a new one.
func (p *pool) promote(address string, c *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.candidates[address] == c {
		delete(p.candidates, address)
	}
	old := p.connections[address]
	c.lastUsed = time.Now()
	p.connections[address] = c
	if old != nil && old != c {
		old.transport.CloseIdleConnections()
	}
}

// prune closes and removes connections that have not been used for idleTimeout.
func (p *pool) prune(now time.Duration) {
	if now < p.nextPrune {
		return
	}
	p.nextPrune = now + idleTimeout/4
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connections := range []map[string]*peerConnection{p.connections, p.candidates} {
		for address, c := range connections {
			if time.Since(c.lastUsed) > idleTimeout {
				c.transport.CloseIdleConnections()
				delete(connections, address)
			}
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.transport.CloseIdleConnections()
	}
}
