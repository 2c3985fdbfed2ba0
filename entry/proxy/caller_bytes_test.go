package proxy

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestBodiesAreReservedBeforeTheyAreKept guards against bodies that many callers leave unfinished and that are
// kept without being counted, and against reservations that outlast their request.
func TestBodiesAreReservedBeforeTheyAreKept(t *testing.T) {
	const room = 3
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		startScriptedTargets(t, f, func(r *http.Request) string {
			_, _ = io.Copy(io.Discard, r.Body)
			return completeResponse
		})
		p := f.vms[0].proxy
		p.callerBytes.limit = room * (requestBytes + maxPrefixBytes)
		head := "POST /book HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nContent-Length: " + strconv.Itoa(maxPrefixBytes) + "\r\n\r\n"
		var unfinished []net.Conn
		for range room {
			conn, err := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
			if err != nil {
				t.Fatal(err)
			}
			unfinished = append(unfinished, conn)
			_, _ = io.WriteString(conn, head+strings.Repeat("x", 1000))
		}
		time.Sleep(time.Second)
		if got := f.send(0, "POST", "/book", "x"); got.status != http.StatusServiceUnavailable || got.header.Get(OutcomeHeader) != "not_run" || got.header.Get("Retry-After") == "" {
			t.Errorf("%+v while unfinished bodies fill the budget", got)
		}
		p.UseMakeRoom(func() bool {
			for _, conn := range unfinished {
				_ = conn.Close()
			}
			return true
		})
		if got := f.send(0, "POST", "/book", "x"); got.status != http.StatusOK {
			t.Errorf("%+v after room was made", got)
		}
		if p.callerBytes.held != 0 {
			t.Errorf("%d bytes are reserved after the end", p.callerBytes.held)
		}
	})
}
