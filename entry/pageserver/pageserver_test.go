package pageserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// countedHold counts the bytes that are reserved, without a bound.
type countedHold struct {
	sum  *atomic.Int64
	held int64
}

// Resize implements framing.Hold.
func (h *countedHold) Resize(bytes int64) bool {
	h.sum.Add(bytes - h.held)
	h.held = bytes
	return true
}

// TestPageHoldsNothingForLong guards against callers of a page that hold its connections and memory for as long
// as they like: with a body that does not end, a head of many fields, or responses that they do not read.
func TestPageHoldsNothingForLong(t *testing.T) {
	var fields strings.Builder
	for i := range 1500 {
		fields.WriteString("f" + strconv.Itoa(i) + ":\r\n")
	}
	const begin = "GET / HTTP/1.1\r\nHost: a\r\n"
	for name, text := range map[string]string{
		"body":      begin + "Content-Length: 1000\r\n\r\n123",
		"head":      begin + fields.String(),
		"responses": strings.Repeat(begin+"\r\n", 10_000),
	} {
		synctest.Test(t, func(t *testing.T) {
			network := memnet.New()
			inner, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
			if err != nil {
				t.Fatal(err)
			}
			var reserved atomic.Int64
			page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 2000)) })
			heads := framing.Options{NewHold: func() framing.Hold { return &countedHold{sum: &reserved} }}
			server, listener := New(inner, page, connlimit.Options{Limit: 1}, heads)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			dial := func() net.Conn {
				conn, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
				if err != nil {
					t.Fatal(err)
				}
				return conn
			}
			conn := dial()
			go func() { _, _ = io.WriteString(conn, text) }()
			time.Sleep(time.Second)
			if held := reserved.Load(); (name == "head") != (held > 0) {
				t.Errorf("%s: %d bytes are reserved", name, held)
			}
			time.Sleep(responseTimeout + requestTimeout)
			if _, err := io.WriteString(conn, "x"); err == nil || reserved.Load() != 0 {
				t.Errorf("%s: the connection is open after %v, %d bytes are reserved", name, responseTimeout+requestTimeout, reserved.Load())
			}
			_ = conn.Close()
			next := dial()
			_, _ = io.WriteString(next, begin+"\r\n")
			if response, err := http.ReadResponse(bufio.NewReader(next), nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("%s: an ordinary request afterwards: %v", name, err)
			}
			_ = next.Close()
		})
	}
}
