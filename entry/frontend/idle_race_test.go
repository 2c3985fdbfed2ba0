package frontend

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

// gatedListener returns connections whose reads wait, once bytes have arrived, until the gate opens.
type gatedListener struct {
	net.Listener
	gate *atomic.Pointer[chan struct{}]
}

func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *atomic.Pointer[chan struct{}]
}

// Read returns as late as to a goroutine that waits for the processor.
func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if gate := c.gate.Load(); gate != nil {
		<-*gate
	}
	return n, err
}

// TestRequestReadBeforeTheIdleCloseIsNotServed guards against a request that is passed on to a
// target although its kept connection is closed, so that it gets no answer (LOST): net/http calls a
// connection idle until it has parsed the head of the next request.
func TestRequestReadBeforeTheIdleCloseIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 5 * time.Second
		network := memnet.New()
		idle := newIdleCloser(func() time.Duration { return limit })
		inner, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		var gate atomic.Pointer[chan struct{}]
		var served, answered int
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }), ConnState: idle.onStateChange}
		go func() { _ = server.Serve(gatedListener{inner, &gate}) }()
		defer func() { _ = server.Close() }()
		conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		send := func() {
			if _, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")); err != nil {
				return
			}
			if response, err := http.ReadResponse(reader, nil); err == nil {
				answered++
				_ = response.Body.Close()
			}
		}
		send()
		synctest.Wait() // the server waits for the next request
		held := make(chan struct{})
		gate.Store(&held)
		time.Sleep(limit + idleSlack - time.Millisecond)
		go func() { // the server's goroutine gets the processor again 2 ms later
			time.Sleep(2 * time.Millisecond)
			gate.Store(nil)
			close(held)
		}()
		send()
		time.Sleep(5 * time.Millisecond)
		synctest.Wait()
		if served != answered {
			t.Errorf("%d requests were served, %d answered", served, answered)
		}
	})
}
