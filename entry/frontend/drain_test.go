package frontend

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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

// TestDrainWaitsForRequestsInProgress guards against a stop that ends requests in progress, and
// against one that waits longer than its context.
func TestDrainWaitsForRequestsInProgress(t *testing.T) {
	for work, complete := range map[time.Duration]bool{2 * time.Second: true, 8 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New()
			listener, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			handler := &countingHandler{work: work}
			server := &http.Server{Handler: handler}
			connections := readahead.Watch(server)
			go func() { _ = server.Serve(readahead.Listener(listener)) }()
			conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
			synctest.Wait()
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err = drain(ctx, server, listener, connections, handler)
			if took := time.Since(began); (err == nil) != complete || took > 5*time.Second+drainPollInterval {
				t.Errorf("work of %v: %v after %v", work, err, took)
			}
			_ = conn.Close()
			time.Sleep(work)
			_ = server.Close()
		})
	}
}
