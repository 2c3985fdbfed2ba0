package main

import (
	"net"
	"sync"
)

// proxy stands for the path from one daemon to the store. While it is cut, it carries nothing in either
// direction, as a partition does: open connections hang, and so do new ones.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// open is closed while the path carries bytes, and replaced when it is cut.
	open  chan struct{}
	isCut bool
	// sources are the addresses of the connections that go on to the target.
	sources map[string]bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(chan struct{}), sources: make(map[string]bool)}
	close(p.open)
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

// cut makes the path carry nothing.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isCut {
		p.isCut, p.open = true, make(chan struct{})
	}
}

// heal makes the path carry bytes again.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		p.isCut = false
		close(p.open)
	}
}

// await waits until the path carries bytes.
func (p *proxy) await() {
	p.mu.Lock()
	open := p.open
	p.mu.Unlock()
	<-open
}

// carries reports whether a connection to the target is one of the path's.
func (p *proxy) carries(source string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sources[source]
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	p.await()
	onward, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = onward.Close() }()
	p.mu.Lock()
	p.sources[onward.LocalAddr().String()] = true
	p.mu.Unlock()
	go p.copy(onward, conn)
	p.copy(conn, onward)
}

// copy carries bytes in one direction until that ends, and then ends both.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
