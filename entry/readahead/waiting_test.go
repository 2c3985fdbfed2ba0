package readahead_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// TestRoomIsMadeByWhoDoesLeast guards against a request that is closed while its target works on it, to make
// room for another connection, and against the order in which connections are closed.
func TestRoomIsMadeByWhoDoesLeast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		listener, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
		if err != nil {
			t.Fatal(err)
		}
		work := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/refuse" {
				readahead.LeaveBody(w, r)
				w.WriteHeader(http.StatusNotFound)
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				<-work
			}
		})}
		watcher := readahead.Watch(server)
		go func() { _ = server.Serve(readahead.Listener(listener, framing.Options{})) }()
		var names []string
		closed := make(chan string, 10)
		for _, caller := range []struct{ name, text string }{
			{"working", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"},
			{"stalled body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123456789"},
			{"half a head", "GET / HTTP/1.1\r\n"},
			{"silent", ""},
			{"still sending", "POST /refuse HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1"},
		} {
			conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			names = append(names, caller.name)
			_, _ = io.WriteString(conn, caller.text)
			go func(conn net.Conn) {
				for buffer := make([]byte, 1000); ; {
					if _, err := conn.Read(buffer); err != nil {
						closed <- caller.name
						return
					}
				}
			}(conn)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(1200 * time.Millisecond) // the connection that was refused is closed by the server, and still read
		for _, want := range []string{names[4], names[1], names[2], names[3]} {
			made := watcher.CloseWaiting()
			time.Sleep(time.Millisecond)
			if got := <-closed; !made || got != want {
				t.Errorf("%q was closed, want %q", got, want)
			}
		}
		if watcher.CloseWaiting() {
			t.Error("a request was closed while it was worked on")
		}
		close(work)
		_ = server.Close()
	})
}
