package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// linkFault is the fault that a link applies to its connections.
type linkFault int

// The faults of a link.
const (
	linkHealthy linkFault = iota
	// linkDelayed delays each chunk by delayTime.
	linkDelayed
	// linkDropsRequests forwards nothing to the server; responses still pass.
	linkDropsRequests
	// linkDropsResponses forwards nothing to the client; requests still pass.
	linkDropsResponses
	// linkDropsBoth forwards nothing in either direction.
	linkDropsBoth
)

const (
	// delayTime is how long a delayed link delays each chunk.
	delayTime = 60 * time.Millisecond
	// faultPoll is how often a blocked chunk checks whether the fault has ended.
	faultPoll   = 10 * time.Millisecond
	bufferBytes = 16 << 10
)

// link is a TCP proxy on a loopback address that can inject faults.
type link struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	fault linkFault
	// faultyUntil is when the latest fault ended.
	faultyUntil time.Time
	conns       map[*linkConn]bool
	// cutSources holds the partitions of clients by IP address.
	cutSources map[string]partition
	// sources holds the IP address of the client of each connection to the server, by the
	// link's own address of that connection, also after its end: a request may arrive late.
	sources map[string]string
	// releaseAddress ends the silence of a link that was taken down silently.
	releaseAddress func()
}

// linkConn is one connection through a link.
type linkConn struct {
	client, server net.Conn
	// stalled is true once the link drops all data of the connection, which stays
	// open, as if a middlebox had lost track of it; new connections work.
	stalled bool
}

// newLink listens on an address and forwards connections to a server.
func newLink(ctx context.Context, address, server string) (*link, error) {
	l := &link{server: server, conns: make(map[*linkConn]bool), cutSources: make(map[string]partition), sources: make(map[string]string)}
	if err := l.listen(ctx, address); err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, l.close)
	return l, nil
}

// listen accepts connections at the address.
func (l *link) listen(ctx context.Context, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen for link to %s: %w", l.server, err)
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return // the link was taken down or closed
		}
		if l.partitionOf(client) == partitionResets {
			reset(client)
			continue
		}
		go l.proxy(client)
	}
}

// proxy forwards a client's connection to the server. If the server refuses the
// connection, the client's connection is reset.
func (l *link) proxy(client net.Conn) {
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		reset(client)
		return
	}
	c := &linkConn{client: client, server: server}
	own := server.LocalAddr().String()
	l.mu.Lock()
	l.conns[c] = true
	l.sources[own] = sourceOf(client)
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(c, server, client, linkDropsRequests) })
	copies.Go(func() { l.copy(c, client, server, linkDropsResponses) })
	copies.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// clientAt returns the IP address of the client whose connection reaches the server from an
// address of the link.
func (l *link) clientAt(own string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sources[own]
}

// sourceOf returns the IP address of a client.
func sourceOf(client net.Conn) string {
	host, _, err := net.SplitHostPort(client.RemoteAddr().String())
	if err != nil {
		return "" // cannot happen: TCP addresses have a port
	}
	return host
}

// copy forwards data in one direction; blockingFault is the fault that blocks it.
func (l *link) copy(c *linkConn, to, from net.Conn, blockingFault linkFault) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.awaitPassage(c, blockingFault) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// Close both directions when one ends: HTTP does not use half-closed connections.
	_ = to.Close()
	_ = from.Close()
}

// awaitPassage waits while a fault blocks or delays a chunk, and reports whether to
// forward the chunk or drop it.
func (l *link) awaitPassage(c *linkConn, blockingFault linkFault) bool {
	for {
		l.mu.Lock()
		fault, stalled, open := l.fault, c.stalled, l.conns[c]
		l.mu.Unlock()
		if l.partitionOf(c.client) == partitionSilent {
			fault = linkDropsBoth
		}
		switch {
		case stalled || !open:
			return false
		case fault == linkDelayed:
			time.Sleep(delayTime)
			return true
		case fault != blockingFault && fault != linkDropsBoth:
			return true
		}
		time.Sleep(faultPoll)
	}
}

// setFault sets the link's fault; linkHealthy ends it.
func (l *link) setFault(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != linkHealthy {
		l.faultyUntil = time.Now()
	}
	l.fault = fault
}

// harmedWithin reports whether the link has had a fault in the last time span.
func (l *link) harmedWithin(span time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault != linkHealthy || time.Since(l.faultyUntil) < span
}

// resetAll closes all open connections by a TCP reset.
func (l *link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c.client)
		reset(c.server)
	}
}

// stallAll stalls all open connections permanently; new connections work.
func (l *link) stallAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.stalled = true
	}
}

func (l *link) close() {
	l.mu.Lock()
	_ = l.listener.Close()
	l.mu.Unlock()
	l.endSilence()
	l.resetAll()
}

// endSilence releases the address of a link that was taken down silently.
func (l *link) endSilence() {
	l.mu.Lock()
	release := l.releaseAddress
	l.releaseAddress = nil
	l.mu.Unlock()
	if release != nil {
		release()
	}
}

// takeDown closes all connections and stops listening. When silent, the connections
// stay open without passing data, and connection attempts are not answered.
func (l *link) takeDown(silent bool) {
	address := l.address()
	l.mu.Lock()
	_ = l.listener.Close()
	l.mu.Unlock()
	if !silent {
		l.resetAll()
		return
	}
	l.stallAll()
	if release, err := blackhole(address); err == nil {
		l.mu.Lock()
		l.releaseAddress = release
		l.mu.Unlock()
	}
}

// bringUp listens again after takeDown.
func (l *link) bringUp(ctx context.Context) error {
	l.endSilence()
	l.resetAll()
	return l.listen(ctx, l.address())
}

// address returns the address that the link listens at.
func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

// reset closes a connection by a TCP reset instead of an orderly shutdown.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	_ = conn.Close()
}
