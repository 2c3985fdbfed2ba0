package readahead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// lingerServer refuses each request before it reads the body.
type lingerServer struct {
	network *memnet.Network
	watcher *readahead.Watcher
}

func startLingerServer(t *testing.T) *lingerServer {
	t.Helper()
	s := &lingerServer{network: memnet.New()}
	listener, err := s.network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		readahead.LeaveBody(w, r)
		w.WriteHeader(http.StatusNotFound)
	})}
	s.watcher = readahead.Watch(server)
	go func() { _ = server.Serve(readahead.Listener(listener, framing.Options{})) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *lingerServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := s.network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestRefusalIsReadByACallerThatStillSends guards against a refusal that is lost with the connection,
// since its caller sends all of the body before it reads: the body was being read when it was refused, or
// was never read.
func TestRefusalIsReadByACallerThatStillSends(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 600000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n927C0\r\n", "awaited": "Content-Length: 60000\r\n\r\n",
	} {
		synctest.Test(t, func(t *testing.T) {
			conn := startLingerServer(t).dial(t)
			defer func() { _ = conn.Close() }()
			size := 600_000
			if name == "awaited" {
				size = 60_000
			}
			for _, part := range []string{"POST / HTTP/1.1\r\nHost: a\r\n" + head, strings.Repeat("x", size/2), strings.Repeat("x", size/2)} {
				if _, err := io.WriteString(conn, part); err != nil {
					t.Errorf("%s: %v", name, err)
				}
				time.Sleep(300 * time.Millisecond)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusNotFound || response.Close != (name != "awaited") {
				t.Errorf("%s: %+v, %v", name, response, err)
			}
		})
	}
}

// TestStalledBodyDelaysNothing guards against a refusal that waits for the rest of a body, and against a
// connection that stays open after it for as long as the caller likes.
func TestStalledBodyDelaysNothing(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 600000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n9\r\n", "awaited": "Content-Length: 10\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			s := startLingerServer(t)
			conn := s.dial(t)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+head+"12345")
			reader := bufio.NewReader(conn)
			if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusNotFound {
				t.Errorf("%s: %+v, %v", name, response, err)
			}
			for range 30 { // a byte at a time keeps nothing open
				time.Sleep(100 * time.Millisecond)
				_, _ = io.WriteString(conn, "x")
			}
			if _, err := io.WriteString(conn, "x"); err == nil || s.watcher.HasLingering() {
				t.Errorf("%s: the connection is still open", name)
			}
		})
	}
}
