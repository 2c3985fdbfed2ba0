package readahead_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/slowreader"
)

// TestAbortedResponseOfHTTP10IsReset guards against a response that a caller of HTTP/1.0 takes for
// complete, since its connection was closed and not reset: over real sockets, through all the
// layers of a caller's connection.
func TestAbortedResponseOfHTTP10IsReset(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "begin")
			_ = http.NewResponseController(w).Flush()
			if isReset {
				readahead.ResetOnClose(r.Context())
			}
			panic(http.ErrAbortHandler)
		})}
		readahead.Watch(server)
		go func() {
			_ = server.Serve(readahead.Listener(slowreader.Listener(connlimit.NewListener(inner, connlimit.Options{Limit: 10})), framing.Options{}))
		}()
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
		if _, err := io.ReadAll(conn); errors.Is(err, syscall.ECONNRESET) != isReset {
			t.Errorf("reset %v: the connection ended with %v", isReset, err)
		}
		_ = conn.Close()
		_ = server.Close()
	}
}
