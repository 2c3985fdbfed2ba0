package draining

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// countingHandler counts the requests in progress, each of which takes the same time.
type countingHandler struct {
	inProgress atomic.Int64
	work       time.Duration
}

func (h *countingHandler) ServeHTTP(http.ResponseWriter, *http.Request) {
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	time.Sleep(h.work)
}

func (h *countingHandler) InProgress() int                      { return int(h.inProgress.Load()) }
func (h *countingHandler) AwaitForwarded(context.Context) error { return nil }

const lookup = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// draining is a server in virtual time that is to be drained, with the connection of a caller.
type draining struct {
	listener    net.Listener
	server      *http.Server
	connections *readahead.Watcher
	handler     *countingHandler
	conn        net.Conn
}

func newDraining(t *testing.T, work time.Duration) *draining {
	t.Helper()
	network := memnet.New()
	listener, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	handler := &countingHandler{work: work}
	server := &http.Server{Handler: handler}
	connections := readahead.Watch(server)
	go func() { _ = server.Serve(readahead.Listener(listener, framing.Options{})) }()
	conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	return &draining{listener: listener, server: server, connections: connections, handler: handler, conn: conn}
}

// drain drains the server within a time, and returns how long that took.
func (d *draining) drain(t *testing.T, bound time.Duration) (time.Duration, error) {
	t.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	err := Server{HTTP: d.server, Listener: d.listener, Connections: d.connections}.Drain(ctx, d.handler)
	return time.Since(began), err
}

// end ends the server once its requests have.
func (d *draining) end() {
	_ = d.conn.Close()
	time.Sleep(d.handler.work)
	_ = d.server.Close()
}

// TestDrainWaitsForRequestsInProgress guards against a stop that ends requests in progress, and
// against one that waits longer than its context.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	for work, complete := range map[time.Duration]bool{2 * time.Second: true, 8 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			d := newDraining(t, work)
			defer d.end()
			_, _ = io.WriteString(d.conn, lookup)
			synctest.Wait()
			if took, err := d.drain(t, 5*time.Second); (err == nil) != complete || took > 5*time.Second+drainPollInterval {
				t.Errorf("work of %v: %v after %v", work, err, took)
			}
		})
	}
}

// TestDrainOfRequestsInARowIsBounded guards against a stop that a caller holds up by sending one request
// after another, and against one that goes on waiting once each of them is answered.
func TestDrainOfRequestsInARowIsBounded(t *testing.T) {
	const bound, work = 5 * time.Second, 400 * time.Millisecond
	for _, c := range []struct {
		requests          int
		shortest, longest time.Duration
		complete          bool
	}{
		{0, 0, 0, true},
		{3, 3 * work, 3*work + 2*drainPollInterval, true},
		{100, bound, bound, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := newDraining(t, work)
			defer d.end()
			_, _ = io.WriteString(d.conn, lookup)
			time.Sleep(2 * work) // until it is answered
			go func() {
				for range c.requests {
					if _, err := io.WriteString(d.conn, lookup); err != nil {
						return
					}
					time.Sleep(work / 2)
				}
			}()
			synctest.Wait()
			if took, err := d.drain(t, bound); (err == nil) != c.complete || took < c.shortest || took > c.longest {
				t.Errorf("%d requests: %v after %v", c.requests, err, took)
			}
		})
	}
}
