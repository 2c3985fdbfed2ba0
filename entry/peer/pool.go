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

// pool holds one HTTP/2 transport for each peer address in use.
type pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	keys *keys

	mu    sync.Mutex
	links map[string]*link
	// trials are new connections that are not in use yet.
	trials    map[string]*link
	nextPrune time.Duration
}

// link is the transport to one address.
type link struct {
	transport *http.Transport
	client    primroseloomv1connect.PeerServiceClient
	feed      primroseloomv1connect.FeedServiceClient
	used      time.Time
}

func newPool(dial func(context.Context, string, string) (net.Conn, error), keys *keys) *pool {
	return &pool{dial: dial, keys: keys, links: make(map[string]*link), trials: make(map[string]*link)}
}

func (p *pool) newLink(address string) *link {
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
	caller := &http.Client{Transport: transport}
	bounds := connect.WithClientOptions(connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes))
	return &link{
		transport: transport,
		client:    primroseloomv1connect.NewPeerServiceClient(caller, scheme+address, bounds),
		feed:      primroseloomv1connect.NewFeedServiceClient(caller, scheme+address, bounds),
		used:      time.Now(),
	}
}

// client returns the client of an address, over the connection in use.
func (p *pool) client(address string) primroseloomv1connect.PeerServiceClient {
	return p.link(address).client
}

// link returns the connection in use to an address.
func (p *pool) link(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[address]
	if !ok {
		l = p.newLink(address)
		p.links[address] = l
	}
	l.used = time.Now()
	return l
}

// trialAge is the age up to which calls share a new connection. It bounds the
// handshakes that a peer in trouble costs.
const trialAge = time.Second

// fresh returns a client over a new connection, or over one that another call
// has just begun to open. The function returned is called once when the call
// has ended; after a success the new connection takes the place of the old one,
// whose calls in progress go on.
func (p *pool) fresh(address string) (primroseloomv1connect.PeerServiceClient, func(worked bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.trials[address]
	if !ok || time.Since(l.used) >= trialAge {
		if ok {
			l.transport.CloseIdleConnections()
		}
		l = p.newLink(address)
		p.trials[address] = l
	}
	return l.client, func(worked bool) {
		if worked {
			p.adopt(address, l)
		}
	}
}

// adopt lets a new connection take the place of the old one.
func (p *pool) adopt(address string, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.trials[address] == l {
		delete(p.trials, address)
	}
	old := p.links[address]
	l.used = time.Now()
	p.links[address] = l
	if old != nil && old != l {
		old.transport.CloseIdleConnections()
	}
}

// prune forgets addresses that have not been used for a while.
func (p *pool) prune(now time.Duration) {
	if now < p.nextPrune {
		return
	}
	p.nextPrune = now + idleTimeout/4
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, links := range []map[string]*link{p.links, p.trials} {
		for address, l := range links {
			if time.Since(l.used) > idleTimeout {
				l.transport.CloseIdleConnections()
				delete(links, address)
			}
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.transport.CloseIdleConnections()
	}
}
