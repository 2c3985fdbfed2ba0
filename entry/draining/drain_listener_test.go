package draining

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// busyListener is a TCP listener of a VM without processor time: its Accept returns some time after it
// was closed.
type busyListener struct {
	net.Listener
	isClosed chan struct{}
}

func (l busyListener) Accept() (net.Conn, error) {
	<-l.isClosed
	time.Sleep(10 * time.Millisecond)
	return nil, net.ErrClosed
}

// Close closes the listener; a second one fails, as it does for TCP.
func (l busyListener) Close() error {
	select {
	case <-l.isClosed:
		return &net.OpError{Op: "close", Net: "tcp", Err: net.ErrClosed}
	default:
		close(l.isClosed)
		return l.Listener.Close()
	}
}

// TestDrainOfAnIdleVMSucceeds guards against a planned stop that ends with an error, and is logged as
// one that cut requests, although none was in progress: the server closes the closed listener again.
func TestDrainOfAnIdleVMSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner, err := memnet.New().Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		listener := busyListener{inner, make(chan struct{})}
		handler := &countingHandler{}
		server := &http.Server{Handler: handler}
		connections := readahead.Watch(server)
		go func() { _ = server.Serve(readahead.Listener(listener, framing.Options{})) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		callers := Server{HTTP: server, Listener: listener, Connections: connections}
		if err := callers.Drain(ctx, handler); err != nil {
			t.Errorf("drain: %v", err)
		}
	})
}
