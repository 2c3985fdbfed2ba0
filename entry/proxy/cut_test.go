package proxy

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// cutResponses are responses of a target that ends the connection early. Those without a length are
// never taken for complete.
var cutResponses = map[string]string{
	"length":             "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 12\r\n\r\nwhole answer",
	"chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nPrimroseloom-Correlation: $C\r\n\r\n6\r\nwhole \r\n06\r\nanswer\r\n0\r\n\r\n",
	"chunks and trailer": "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\nX-Sum: 12\r\n\r\n",
	"no length":          "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\n\r\nwhole answer",
	"HTTP/1.0":           "HTTP/1.0 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 12\r\n\r\nwhole answer",
	"no content":         "HTTP/1.1 204 No Content\r\nPrimroseloom-Correlation: $C\r\n\r\n",
	"not modified":       "HTTP/1.1 304 Not Modified\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 12\r\n\r\n",
}

// TestCutResponseIsNeverPassedOnAsWhole guards against a caller that takes a response for whole
// which its target broke off, by FIN or by a reset, after any number of bytes. The caller's bytes
// are compared, with another request behind.
func TestCutResponseIsNeverPassedOnAsWhole(t *testing.T) {
	for name, response := range cutResponses {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset %v", name, isReset), func(t *testing.T) {
				missing := 1
				serve := func(conn net.Conn) {
					serveScript(conn, func(r *http.Request) string {
						_, _ = io.Copy(io.Discard, r.Body)
						switch {
						case r.URL.Path == "/health":
							return healthResponse
						case !strings.HasPrefix(r.URL.Path, "/cut"):
							return completeResponse
						}
						text := strings.ReplaceAll(response, "$C", r.Header.Get(CorrelationHeader))
						_, _ = io.WriteString(conn, text[:max(len(text)-missing, 0)])
						time.Sleep(time.Millisecond)
						if isReset {
							conn.(interface{ Reset() }).Reset()
						}
						return ""
					})
				}
				accept := func(listener net.Listener) {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						go serve(conn)
					}
				}
				withRealTarget(t, accept, func(t *testing.T, f *fleet) {
					length := len(strings.ReplaceAll(response, "$C", rand.Text()))
					for missing = 1; missing <= length; missing++ {
						f.send(0, "GET", "/before", "")
						checkCutResponse(t, f, missing)
						time.Sleep(time.Second)
					}
				})
			})
		}
	}
}

// checkCutResponse sends a request whose response lacks some bytes, and another one behind it.
func checkCutResponse(t *testing.T, f *fleet, missing int) {
	t.Helper()
	conn, err := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const request = "%s %s HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nContent-Length: 0\r\n%s\r\n"
	_, _ = fmt.Fprintf(conn, request+request, "POST", fmt.Sprintf("/cut%d", missing), "", "GET", "/behind", "Connection: close\r\n")
	got, err := io.ReadAll(conn)
	reader := bufio.NewReader(strings.NewReader(string(got)))
	first, firstErr := http.ReadResponse(reader, nil)
	if err != nil || firstErr != nil || first.StatusCode != 502 || first.Header.Get(OutcomeHeader) != "may_have_run" {
		t.Errorf("%d bytes missing: %v, %v, %q", missing, err, firstErr, got)
		return
	}
	_, _ = io.Copy(io.Discard, first.Body)
	second, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Errorf("%d bytes missing: no response behind: %v, %q", missing, err, got)
		return
	}
	if body, err := io.ReadAll(second.Body); second.StatusCode != 200 || string(body) != "whole" || err != nil || reader.Buffered() > 0 {
		t.Errorf("%d bytes missing: behind it %d %q %v of %q", missing, second.StatusCode, body, err, got)
	}
}
