package readahead_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

const lookup = "GET /look HTTP/1.1\r\nHost: a.example\r\n\r\n"

// recorder records whether requests were pending, and when. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	found []any
}

func (r *recorder) add(when string, isPending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, when, isPending)
}

func (r *recorder) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprint(r.found)
}

// serveWatched starts a server in virtual time and returns its Watcher and a caller's connection.
func serveWatched(t *testing.T, server *http.Server) (*readahead.Watcher, net.Conn) {
	t.Helper()
	network := memnet.New()
	listener, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Protocols = protocols
	watcher := readahead.Watch(server)
	go func() { _ = server.Serve(readahead.Listener(listener, framing.Options{})) }()
	conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = conn.Close(), server.Close() })
	return watcher, conn
}

// TestPendingHoldsBetweenRequests guards against a stop that closes a connection between two requests
// in a row, when no handler runs on it.
func TestPendingHoldsBetweenRequests(t *testing.T) {
	for name, first := range map[string]string{
		"without a body": lookup,
		"by length":      "POST /book HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nslot",
		"in chunks":      "POST /book HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				found := &recorder{}
				server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					time.Sleep(time.Second)
					found.add("handler", readahead.HasPipelined(r))
				})}
				watchers := make(chan *readahead.Watcher, 1)
				server.ConnState = func(_ net.Conn, state http.ConnState) {
					if state == http.StateIdle {
						watcher := <-watchers
						found.add("idle", watcher.Pending())
						watchers <- watcher
					}
				}
				watcher, conn := serveWatched(t, server)
				watchers <- watcher
				_, _ = io.WriteString(conn, first+lookup)
				time.Sleep(5 * time.Second)
				if got := found.String(); got != "[handler true idle true handler false idle false]" {
					t.Errorf("pending: %v", got)
				}
				if watcher.Pending() {
					t.Error("a request is pending although all are answered")
				}
			})
		})
	}
}

// TestNothingIsPendingOnceTheServerHasAnswered guards against a stop that waits for requests that
// never begin.
func TestNothingIsPendingOnceTheServerHasAnswered(t *testing.T) {
	const part = "POST /book HTTP/1.1\r\nHost: a.example\r\nContent-Length: 400000\r\n"
	for name, stream := range map[string]string{
		"answered without the handler":                 "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n",
		"answered without the handler, behind another": lookup + "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n",
		"refused by the server":                        "GET /look HTTP/1.1\r\n\r\n" + lookup,
		"an expectation that the server refuses":       "GET /look HTTP/1.1\r\nHost: a.example\r\nExpect: a\r\n\r\n" + lookup,
		"closed by the request":                        "GET /look HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n" + lookup,
		"a body that the handler doesn't read":         part + "\r\n" + strings.Repeat("x", 400000) + lookup,
		"a body that never ends":                       lookup + part + "\r\n" + lookup,
		"a body that was not asked for":                part + "Expect: 100-continue\r\n\r\n" + lookup,
		"HTTP/2":                                       "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + lookup + lookup,
		"no HTTP":                                      "\x16\x03\x01\r\n\r\n" + lookup,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				watcher, conn := serveWatched(t, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				go func() { _, _ = io.WriteString(conn, stream) }()
				time.Sleep(5 * time.Second)
				if watcher.Pending() {
					t.Error("a request is pending")
				}
			})
		})
	}
}

// TestRequestAnsweredByTheServerIsCounted guards against a stop that misses a request in a row, since
// the server has answered an earlier one without the handler.
func TestRequestAnsweredByTheServerIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watcher, conn := serveWatched(t, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })})
		_, _ = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %v, %v", response, err)
		}
		_, _ = io.WriteString(conn, lookup+lookup)
		for i, want := range []bool{true, false, false} {
			time.Sleep(time.Second / 2)
			if got := watcher.Pending(); got != want {
				t.Errorf("pending %v half a second into second %d, want %v", got, i, want)
			}
			time.Sleep(time.Second / 2)
		}
	})
}
