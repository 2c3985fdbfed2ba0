package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

const testLimit = 3

// withServer runs a test of a server with at most testLimit connections.
func withServer(t *testing.T, makesRoom bool, test func(dial func() net.Conn, scope tally.TestScope)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		inner, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		recent, scope := NewRecent(), tally.NewTestScope("", nil)
		options := Options{Name: "page", Limit: testLimit, Scope: scope}
		if makesRoom {
			options.MakeRoom = recent.CloseOldest
		}
		server := &http.Server{ConnState: recent.OnStateChange, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
		go func() { _ = server.Serve(NewListener(inner, options)) }()
		t.Cleanup(func() { _ = server.Close() })
		test(func() net.Conn {
			conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			time.Sleep(time.Millisecond)
			return conn
		}, scope)
	})
}

// isAnswered reports whether a request on a connection is answered.
func isAnswered(conn net.Conn) bool {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	time.Sleep(time.Millisecond) // the server takes the connection for idle a little later
	return err == nil && response.StatusCode == http.StatusOK
}

// TestCrowdDoesNotLockOutOthers guards against connections that do nothing and keep new callers out, and
// against one that is closed although others have done less for longer.
func TestCrowdDoesNotLockOutOthers(t *testing.T) {
	withServer(t, true, func(dial func() net.Conn, scope tally.TestScope) {
		silent, used := dial(), dial()
		for range 10 * testLimit {
			if !isAnswered(used) || !isAnswered(dial()) {
				t.Fatal("a caller was locked out")
			}
		}
		if isAnswered(silent) {
			t.Error("the connection that did nothing is open")
		}
		if n := scope.Snapshot().Counters()["connections.over_limit+action=closed,listener=page"]; n == nil || n.Value() == 0 {
			t.Errorf("counters %v", scope.Snapshot().Counters())
		}
	})
}

// TestConnectionsOverTheLimitAreClosed guards against more open connections than the limit, and against a
// limit that is not free again after connections have ended.
func TestConnectionsOverTheLimitAreClosed(t *testing.T) {
	withServer(t, false, func(dial func() net.Conn, _ tally.TestScope) {
		for range 2 {
			var open []net.Conn
			for range testLimit {
				open = append(open, dial())
			}
			if isAnswered(dial()) {
				t.Error("a connection over the limit was served")
			}
			for _, conn := range open {
				if !isAnswered(conn) {
					t.Error("a connection within the limit was not served")
				}
				_ = conn.Close()
			}
			time.Sleep(time.Second)
		}
	})
}

func TestSocketsAndShares(t *testing.T) {
	for descriptors, want := range map[int]int{4100: 3900, 10: 56} {
		if got := Sockets(descriptors); got != want {
			t.Errorf("%d descriptors: %d sockets, want %d", descriptors, got, want)
		}
	}
	if got := Sockets(0); got <= 0 {
		t.Errorf("%d sockets by the operating system's limit", got)
	}
	for _, c := range []struct {
		share      float64
		most, want int
	}{{0.5, 3000, 1950}, {0.5, 100, 100}, {0.0001, 10, 1}} {
		if got := Share(3900, c.share, c.most); got != c.want {
			t.Errorf("share %v, at most %d: %d, want %d", c.share, c.most, got, c.want)
		}
	}
}
