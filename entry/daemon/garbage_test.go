package daemon

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// garbage holds what a faulty or hostile program may send to any listener.
var garbage = []struct {
	name, text string
}{
	{"no HTTP", "\x16\x03\x01\x02\x00 hello\r\n\r\n"},
	{"broken request line", "GET\r\n\r\n"},
	{"unknown version", "GET / HTTP/9.9\r\nHost: x\r\n\r\n"},
	{"oversized header", "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 2<<20) + "\r\n\r\n"},
	{"two lengths", "POST /v1/status HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
	{"broken chunking", "POST /primroseloom.v1.PeerService/Ping HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
	{"bad JSON", "POST /primroseloom.v1.PeerService/Ping HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\n{\"a\":"},
	{"unknown path", "GET /no/such/path HTTP/1.1\r\nHost: 10.7.0.1\r\n\r\n"},
	{"slow header", "GET / HTTP/1.1\r\nHost: x\r\n"},
}

func TestGarbageAtEachListenerIsRefused(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		for _, port := range []string{":80", ":81", ":82"} {
			for _, each := range garbage {
				status, err := w.sendRaw(vmIP(0)+port, each.text)
				if err == nil && (status < http.StatusBadRequest || status >= 600) {
					t.Errorf("%s at %s: status %d", each.name, port, status)
				}
			}
		}
		if got := w.send(0, http.MethodGet, "/availability", "r1", "", nil); got.outcome != "answered" {
			t.Errorf("a request after the garbage got %d %s", got.status, got.body)
		}
		if status := w.status(0); status.VM != vmName(0) {
			t.Errorf("the status after the garbage names %q", status.VM)
		}
	})
}

// sendRaw sends a text as it is and returns the status of the response; an
// error means that the connection was closed without one.
func (w *world) sendRaw(address, text string) (int, error) {
	w.t.Helper()
	conn, err := w.network.Host(callerIP).DialContext(w.t.Context(), "tcp", address)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		w.reportIfLeftOpen(address, err)
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, nil
}

// reportIfLeftOpen fails the test when the daemon kept the connection open for a minute.
func (w *world) reportIfLeftOpen(address string, err error) {
	w.t.Helper()
	if strings.Contains(err.Error(), "i/o timeout") || strings.Contains(err.Error(), "deadline") {
		w.t.Errorf("%s kept a connection with garbage open", address)
	}
}
