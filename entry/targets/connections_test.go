package targets

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
)

func TestConnectionsAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		var connections atomic.Int32
		seen := map[string]bool{}
		f.serve(t, 0, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" && !seen[r.RemoteAddr] {
				seen[r.RemoteAddr] = true
				connections.Add(1)
			}
			_, _ = io.WriteString(w, "answer")
		})
		for range 10 {
			if got, err := exchangeOnce(t.Context(), f.acquire(t, "small"), "GET"); got != "answer" {
				t.Fatal(got, err)
			}
		}
		if connections.Load() != 1 {
			t.Fatalf("%d connections for consecutive requests", connections.Load())
		}
		time.Sleep(targetconn.DefaultIdleTimeout + time.Second)
		if size := f.service("booking").targets["t0"].pool.Size(); size > 1 {
			t.Fatalf("%d connections after the idle limit", size)
		}
	})
}

// TestRequestIsNeverResent closes a reused connection under a request that
// http.Transport would resend.
func TestRequestIsNeverResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.targets[0].Address = "10.0.1.9:80"
		f.reconfigure()
		listener, _ := f.network.Host("10.0.1.9").Listen(t.Context(), "10.0.1.9:80")
		var received atomic.Int32
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go answerOnceThenClose(conn, &received)
			}
		}()
		if _, err := exchangeOnce(t.Context(), f.acquire(t, "small"), "GET"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		trip := &contract.RoundTrip{}
		_, err := exchangeOnce(contract.WithRoundTrip(t.Context(), trip), f.acquire(t, "small"), "GET")
		var failure *contract.RoundTripError
		if !errors.As(err, &failure) || failure.Kind != contract.AttemptReset || !trip.Written() || !trip.Reused() {
			t.Fatalf("got %v, written %v, reused %v", err, trip.Written(), trip.Reused())
		}
		if received.Load() != 2 {
			t.Fatalf("the target received %d requests, want 2", received.Load())
		}
		_ = listener.Close()
	})
}

func answerOnceThenClose(conn net.Conn, received *atomic.Int32) {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		if strings.HasPrefix(request.URL.Path, "/health") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
			return
		}
		received.Add(1)
		if n > 0 {
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestForbiddenWriteSendsNoByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" {
				t.Error("the request reached the target")
			}
		})
		trip := &contract.RoundTrip{BeforeWrite: func() error { return errors.New("window closed") }}
		_, err := exchangeOnce(contract.WithRoundTrip(t.Context(), trip), f.acquire(t, "small"), "POST")
		var failure *contract.RoundTripError
		if !errors.As(err, &failure) || failure.Kind != contract.AttemptCanceled || trip.Written() {
			t.Fatalf("got %v, written %v", err, trip.Written())
		}
	})
}

func TestStallEndsTheAttemptAndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" {
				time.Sleep(10 * time.Second)
			}
		})
		began := time.Now()
		trip := &contract.RoundTrip{StallLimit: 100 * time.Millisecond}
		_, err := exchangeOnce(contract.WithRoundTrip(t.Context(), trip), f.acquire(t, "small"), "GET")
		var failure *contract.RoundTripError
		if !errors.As(err, &failure) || failure.Kind != contract.AttemptTimedOut || !trip.Written() {
			t.Fatalf("got %v", err)
		}
		if elapsed := time.Since(began); elapsed != 100*time.Millisecond {
			t.Fatalf("took %v", elapsed)
		}
		time.Sleep(20 * time.Second)
		if size := f.service("booking").targets["t0"].pool.Size(); size > 1 {
			t.Fatalf("%d connections kept", size)
		}
	})
}

func TestConnectionsStayWithinTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 3)
		var open, peak atomic.Int32
		address := f.targets[0].Address
		listener, _ := f.network.Host("10.0.1.1").Listen(t.Context(), address)
		server := &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/" {
					time.Sleep(time.Second)
				}
			}),
			ConnState: func(_ net.Conn, state http.ConnState) {
				switch state {
				case http.StateNew:
					peak.Store(max(peak.Load(), open.Add(1)))
				case http.StateClosed:
					open.Add(-1)
				}
			},
		}
		go func() { _ = server.Serve(listener) }()
		for range 20 {
			go func() {
				lease, err := f.Acquire(t.Context(), acquireRequest("small", 10*time.Second))
				if err == nil {
					_, _ = exchangeOnce(t.Context(), lease, "GET")
				}
			}()
		}
		time.Sleep(20 * time.Second)
		if got := peak.Load(); got != 4 {
			t.Fatalf("%d connections at most, want 3 slots and a probe", got)
		}
		_ = server.Close()
	})
}
