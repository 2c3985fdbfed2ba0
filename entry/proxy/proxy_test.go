package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/policy/dispatch"
)

func targetIP(index int) string { return "10.0.2." + strconv.Itoa(index+1) }

// startScriptedTargets starts targets that respond with the bytes that the script
// returns for a request, "$C" replaced by its correlation identifier. An empty
// response closes the connection, and so does one with "!close", after it is sent.
func startScriptedTargets(t *testing.T, f *fleet, script func(r *http.Request) string) {
	t.Helper()
	for i := range f.targets {
		acceptConnections(t, f, i, func(conn net.Conn) { serveScript(conn, script) })
	}
}

// acceptConnections listens at a target's address and handles each connection.
func acceptConnections(t *testing.T, f *fleet, index int, handle func(net.Conn)) {
	t.Helper()
	address := f.targets[index].Address
	ip, _, _ := net.SplitHostPort(address)
	listener, err := f.network.Host(ip).Listen(f.ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(f.ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
}

func serveScript(conn net.Conn, script func(r *http.Request) string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := script(request)
		if text == "" {
			return
		}
		text = strings.ReplaceAll(text, "$C", request.Header.Get(CorrelationHeader))
		if _, err := io.WriteString(conn, text); err != nil || strings.Contains(text, "!close") {
			return
		}
	}
}

func oneTarget() []document.Target {
	return []document.Target{{Name: "t0", Address: targetIP(0) + ":80", Zone: "z"}}
}

func twoTargets() []document.Target {
	return append(oneTarget(), document.Target{Name: "t1", Address: targetIP(1) + ":80", Zone: "z"})
}

// withFleet runs a test with a fleet in virtual time.
func withFleet(t *testing.T, vms int, targets []document.Target, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), vms, targets, nil)
		defer func() {
			f.close()
			time.Sleep(time.Minute)
		}()
		test(t, f)
	})
}

// callerResponse is the response that a caller got.
type callerResponse struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

// sendRaw sends bytes on a new connection and reads one response.
func (f *fleet) sendRaw(vm int, method, text string) callerResponse {
	conn, err := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(vm)+":80")
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Minute))
	go func() { _, _ = io.WriteString(conn, text) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return callerResponse{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(body), response.Trailer, err}
}

// send sends one request with customer a's credential and the given header lines.
func (f *fleet) send(vm int, method, path, body string, lines ...string) callerResponse {
	head := method + " " + path + " HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\n"
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	for _, line := range lines {
		head += line + "\r\n"
	}
	return f.sendRaw(vm, method, head+"\r\n"+body)
}

func (v *vm) keyHeader(own string) string {
	return "Idempotency-Key: " + dispatch.Prefix(v.self.Vm, v.self.Instance, dispatch.WindowAt(v.clock.Uptime())) + own
}

const completeResponse = "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 5\r\n\r\nwhole"

func TestResponsesOfEveryFraming(t *testing.T) {
	cases := []struct {
		name, method, response string
		status                 int
		body                   string
		broken                 bool
	}{
		{"length", "GET", completeResponse, 200, "whole", false},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole", false},
		{"no length", "GET", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nConnection: close\r\n\r\nhalf!close", 502, "target_truncated", false},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 5\r\n\r\n", 200, "", false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\nPrimroseloom-Correlation: $C\r\n\r\n", 204, "", false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nPrimroseloom-Correlation: $C\r\n\r\n", 304, "", false},
		{"empty 404", "GET", "HTTP/1.1 404 Not Found\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 0\r\n\r\n", 404, "", false},
		{"truncated", "POST", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 99\r\n\r\n!close", 502, "target_truncated", false},
		{"truncated chunks", "POST", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n!close", 502, "target_truncated", false},
		{"correlation of another request", "POST", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: other\r\nContent-Length: 2\r\n\r\nno", 502, "target_wrong_answer", false},
		{"two correlation headers", "POST", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 2\r\n\r\nno", 502, "target_wrong_answer", false},
		{"two lengths", "POST", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno", 502, "", false},
		{"not HTTP", "POST", "garbage\r\n\r\n", 502, "target_wrong_answer", false},
		{"shed", "POST", "HTTP/1.1 503 Shed\r\nPrimroseloom-Correlation: $C\r\nPrimroseloom-Shed: 1\r\nContent-Length: 0\r\n\r\n", 503, "target_shed", false},
		{"long", "GET", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300000), 200, strings.Repeat("x", 300000), false},
		{"long and truncated", "GET", "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("x", 300000) + "\r\n!close", 200, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
				startScriptedTargets(t, f, func(*http.Request) string { return c.response })
				got := f.send(0, c.method, "/", "")
				if got.status != c.status || (got.err != nil) != c.broken {
					t.Fatalf("status %d, error %v, body %.80q", got.status, got.err, got.body)
				}
				if !c.broken && c.status < 500 && got.body != c.body || !strings.Contains(got.body, c.body) {
					t.Errorf("body %.80q", got.body)
				}
			})
		})
	}
}

func TestRefusalsBeforeDispatch(t *testing.T) {
	cases := []struct{ name, request, want string }{
		{"no credential", "GET / HTTP/1.1\r\nHost: booking.test\r\n\r\n", "unknown_customer"},
		{"unknown host", "GET / HTTP/1.1\r\nHost: x.test\r\nPrimroseloom-Credential: secret-a\r\n\r\n", "unknown_host"},
		{"bad timeout", "GET / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nPrimroseloom-Timeout-Ms: 1s\r\n\r\n", "bad_request"},
		{"two keys", "POST / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", "bad_request"},
		{"bad key", "POST / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nIdempotency-Key: order-1\r\n\r\n", "key_malformed"},
		{"large body", "POST / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nContent-Length: 9999999999\r\n\r\n", "body_too_large"},
		{"malformed chunk", "POST / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "bad_request"},
		{"two lengths", "POST / HTTP/1.1\r\nHost: booking.test\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 Bad Request"},
		{"two transfer codings", "POST / HTTP/1.1\r\nHost: booking.test\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", "nsupported transfer encoding"},
		{"large header", "GET / HTTP/1.1\r\nHost: booking.test\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431"},
		{"connect", "CONNECT booking.test:443 HTTP/1.1\r\nHost: booking.test\r\n\r\n", "bad_request"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
				got := f.sendRaw(0, "GET", c.request)
				clear := got.status >= 400 && got.status < 500 || got.status == http.StatusNotImplemented
				if !clear || !strings.Contains(got.body, c.want) {
					t.Errorf("got %d %q %v, want a 4xx or 501 with %q", got.status, got.body, got.err, c.want)
				}
				if again := f.send(0, "GET", "/", ""); again.status != 503 {
					t.Errorf("next request, without a running target: %+v", again)
				}
			})
		})
	}
}

func TestHTTP10CallerGetsNoResponseWithoutLength(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		startScriptedTargets(t, f, func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + strings.Repeat("x", 300_000) + "!close"
		})
		got := f.sendRaw(0, "GET", "GET / HTTP/1.0\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\n\r\n")
		if got.status != 502 || got.header.Get(OutcomeHeader) != "may_have_run" {
			t.Errorf("got %d, %d bytes, %v", got.status, len(got.body), got.err)
		}
	})
}

// TestSmuggledRequestIsNotRun guards against a request in the body of one that names both a length and
// chunks, which runs since a proxy before the VM has taken the length; the outer one doesn't run either.
func TestSmuggledRequestIsNotRun(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		var paths []string
		startScriptedTargets(t, f, func(r *http.Request) string {
			paths = append(paths, r.URL.Path)
			_, _ = io.Copy(io.Discard, r.Body)
			return completeResponse
		})
		smuggled := "GET /smuggled HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\n\r\n"
		got := f.send(0, "POST", "/outer", "", "Content-Length: 4", "Transfer-Encoding: chunked", "\r\n0\r\n\r\n"+smuggled)
		time.Sleep(time.Second)
		if got.status != http.StatusBadRequest || len(paths) != 0 {
			t.Errorf("status %d, %v; the target saw %v", got.status, got.err, paths)
		}
	})
}

func TestSlowHeaderTimesOut(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		conn, err := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: ")
		start := time.Now()
		_ = conn.SetReadDeadline(start.Add(time.Minute))
		_, _ = io.ReadAll(conn)
		if waited := time.Since(start); waited > 6*time.Second {
			t.Errorf("the connection with an incomplete header stayed open for %s", waited)
		}
	})
}

func TestStalledUploadIsRefused(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		got := f.send(0, "POST", "/", "", "Content-Length: 10", "Primroseloom-Timeout-Ms: 60000", "\r\nhalf")
		if got.status != 400 || got.header.Get(OutcomeHeader) != "not_run" {
			t.Errorf("got %+v", got)
		}
	})
}

func TestHopByHopAndFleetHeadersAreNotForwarded(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		var got string
		startScriptedTargets(t, f, func(r *http.Request) string {
			dump, _ := httputil.DumpRequest(r, true)
			got = string(dump)
			return "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 7\r\n\r\n"
		})
		response := f.send(0, "POST", "/p?q=%2F", "body", "Connection: X-Mine", "X-Mine: 1", "X-End: 1", "Primroseloom-Correlation: forged", "Upgrade: x")
		for _, absent := range []string{"secret-a", "X-Mine", "forged", "Upgrade"} {
			if strings.Contains(got, absent) {
				t.Errorf("%s reached the target: %s", absent, got)
			}
		}
		for _, present := range []string{"POST /p?q=%2F HTTP/1.1", "X-End: 1", "Content-Length: 4", "\r\n\r\nbody", "Primroseloom-Timeout-Ms: 9"} {
			if !strings.Contains(got, present) {
				t.Errorf("%s did not reach the target: %s", present, got)
			}
		}
		if response.header.Get("X-Hop") != "" || response.header.Get(CorrelationHeader) != "" || response.trailer.Get("X-Sum") != "7" {
			t.Errorf("response %+v", response)
		}
	})
}
