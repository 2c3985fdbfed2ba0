package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

// TestIdleConnectionIsClosedAtTheRoutesLimit changes the limit while a
// connection is idle.
func TestIdleConnectionIsClosedAtTheRoutesLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after time.Duration
		// open and closed are times after the response at which the connection still
		// carries a request, or does not.
		open, closed time.Duration
	}{
		{"unchanged", 10 * time.Second, 10 * time.Second, 9 * time.Second, 11 * time.Second},
		{"longer", 5 * time.Second, 15 * time.Second, 14 * time.Second, 16 * time.Second},
	} {
		for _, wait := range []time.Duration{c.open, c.closed} {
			synctest.Test(t, func(t *testing.T) {
				served := secondRequestServed(t, c.before, c.after, wait)
				if want := wait == c.open; served != want {
					t.Errorf("%s: idle for %v: served %v", c.name, wait, served)
				}
			})
		}
	}
}

// secondRequestServed sends two requests over one connection with a pause, in
// which the limit changes, and reports whether the second was answered.
func secondRequestServed(t *testing.T, before, after, wait time.Duration) bool {
	t.Helper()
	network := memnet.New()
	var limit atomic.Int64
	limit.Store(int64(before))
	idle := newIdleCloser(func() time.Duration { return time.Duration(limit.Load()) })
	listener, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: idle.onStateChange}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if !exchange(conn, reader) {
		t.Fatal("the first request was not answered")
	}
	time.Sleep(time.Second)
	limit.Store(int64(after))
	time.Sleep(wait - time.Second)
	return exchange(conn, reader)
}

// exchange sends one request and reports whether it was answered.
func exchange(conn net.Conn, reader *bufio.Reader) bool {
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil
}
