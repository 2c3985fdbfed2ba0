package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// linkFault is what a link does to the connections through it.
type linkFault int

// The faults of a link.
const (
	linkHealthy linkFault = iota
	// linkDelayed holds each piece for delayTime.
	linkDelayed
	// linkDropsRequests passes nothing on towards the server; answers still come.
	linkDropsRequests
	// linkDropsAnswers passes nothing on towards the client; requests still go.
	linkDropsAnswers
	// linkDropsBoth loses both directions.
	linkDropsBoth
)

const (
	// delayTime is what a delayed link adds to each piece.
	delayTime = 60 * time.Millisecond
	// faultPoll is how often a held piece looks whether its fault has ended.
	faultPoll = 10 * time.Millisecond
	pieceSize = 16 << 10
)

// link is a TCP proxy on a loopback address.
type link struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	fault linkFault
	conns map[*linkConn]bool
}

// linkConn is one connection through a link.
type linkConn struct {
	client, server net.Conn
	// silenced is true once the link lost track of the connection: it stays open
	// and carries nothing, while new ones work.
	silenced bool
}

// newLink listens on an address and passes connections on to a server.
func newLink(ctx context.Context, address, server string) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for link to %s: %w", server, err)
	}
	l := &link{listener: listener, server: server, conns: make(map[*linkConn]bool)}
	context.AfterFunc(ctx, l.close)
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // the listener was closed at the end of the run
		}
		go l.carry(client)
	}
}

// carry connects a client to the server. A server that refuses refuses the client.
func (l *link) carry(client net.Conn) {
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		reset(client)
		return
	}
	c := &linkConn{client: client, server: server}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(c, server, client, linkDropsRequests) })
	copies.Go(func() { l.copy(c, client, server, linkDropsAnswers) })
	copies.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy passes pieces on in one direction; stopped is the fault that stops it.
func (l *link) copy(c *linkConn, to, from net.Conn, stopped linkFault) {
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.hold(c, stopped) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	// The end of one direction ends the connection: HTTP has no half-closed ones.
	_ = to.Close()
	_ = from.Close()
}

// hold waits while a fault holds a piece back, and reports whether the piece is
// passed on at all.
func (l *link) hold(c *linkConn, stopped linkFault) bool {
	for {
		l.mu.Lock()
		fault, silenced, known := l.fault, c.silenced, l.conns[c]
		l.mu.Unlock()
		switch {
		case silenced || !known:
			return false
		case fault == linkDelayed:
			time.Sleep(delayTime)
			return true
		case fault != stopped && fault != linkDropsBoth:
			return true
		}
		time.Sleep(faultPoll)
	}
}

// set changes the link's fault.
func (l *link) set(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// resetAll resets all open connections.
func (l *link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c.client)
		reset(c.server)
	}
}

// silenceAll silences all open connections for good; new ones work.
func (l *link) silenceAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenced = true
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.resetAll()
}

// reset closes a connection with a reset rather than an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be gone already
	}
	_ = conn.Close()
}
