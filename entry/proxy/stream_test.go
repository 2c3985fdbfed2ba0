package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func TestExpectContinueIsAnsweredOnlyWhenTheBodyIsWanted(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		startScriptedTargets(t, f, func(r *http.Request) string {
			if r.Header.Get("Expect") != "" {
				t.Error("Expect reached the target")
			}
			_, _ = io.Copy(io.Discard, r.Body)
			return completeResponse
		})
		talk := func(credential string) (first string, rest *bufio.Reader) {
			conn, err := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			_, _ = io.WriteString(conn, "PUT / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: "+credential+"\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
			reader := bufio.NewReader(conn)
			first, _ = reader.ReadString('\n')
			if strings.Contains(first, "100") {
				_, _ = reader.ReadString('\n')
				_, _ = io.WriteString(conn, "body")
			}
			return strings.TrimSpace(first), reader
		}
		first, rest := talk("secret-a")
		final, _ := rest.ReadString('\n')
		if first != "HTTP/1.1 100 Continue" || strings.TrimSpace(final) != "HTTP/1.1 200 OK" {
			t.Errorf("accepted request: %q, %q", first, final)
		}
		if first, _ := talk("nobody"); first != "HTTP/1.1 401 Unauthorized" {
			t.Errorf("refused request: %q", first)
		}
	})
}

func TestCallerDisconnectCancelsPlainButNotKeyedRequest(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		var runs atomic.Int64
		startScriptedTargets(t, f, func(r *http.Request) string {
			_, _ = io.Copy(io.Discard, r.Body)
			runs.Add(1)
			time.Sleep(2 * time.Second)
			return completeResponse
		})
		v := f.vms[0]
		key := v.keyHeader("k")
		leave := func(lines string) {
			conn, _ := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
			_, _ = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nContent-Length: 1\r\n"+lines+"\r\nx")
			time.Sleep(time.Second)
			_ = conn.Close()
		}
		leave("")
		time.Sleep(100 * time.Millisecond)
		if kind := v.targets.finishedAttempts()[0].Kind; kind != "canceled" {
			t.Errorf("plain request ended as %s", kind)
		}
		leave(key + "\r\n")
		time.Sleep(3 * time.Second)
		if got := f.send(0, "POST", "/book", "x", key); got.status != 200 || got.body != "whole" || runs.Load() != 2 {
			t.Errorf("resend of the keyed request: %+v after %d runs", got, runs.Load())
		}
	})
}

// TestSlowCallerHoldsBackTarget lets the caller stop reading and counts how
// much the target can send meanwhile.
func TestSlowCallerHoldsBackTarget(t *testing.T) {
	const total = 8 << 20
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		listener, err := f.network.Host(targetIP(0)).Listen(f.ctx, targetIP(0)+":80")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		var sent atomic.Int64
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			request, _ := http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, responseHead(200, request.Header.Get(CorrelationHeader))+"Content-Length: "+strconv.Itoa(total)+"\r\n\r\n")
			for sent.Load() < total {
				n, err := conn.Write(make([]byte, 32<<10))
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
		conn, _ := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET /download HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\n\r\n")
		time.Sleep(5 * time.Second)
		if n := sent.Load(); n > 1<<20 {
			t.Errorf("the target could send %d bytes to a caller that does not read", n)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := io.Copy(io.Discard, response.Body); n != total || err != nil {
			t.Errorf("the caller read %d bytes, %v", n, err)
		}
	})
}

func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		startScriptedTargets(t, f, func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("x", 4_000_000)
		})
		conn, _ := f.network.Host("10.0.0.9").DialContext(f.ctx, "tcp", vmIP(0)+":80")
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: booking.test\r\nPrimroseloom-Credential: secret-a\r\nPrimroseloom-Timeout-Ms: 60000\r\n\r\n")
		time.Sleep(15 * time.Second)
		if results := f.vms[0].targets.finishedAttempts(); len(results) != 1 || results[0].Kind != "canceled" {
			t.Errorf("the slot of a stalled download is still held, or it was counted against the target: %+v", results)
		}
	})
}

func TestTruncatedLongResponseResetsHTTP2Stream(t *testing.T) {
	withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
		startScriptedTargets(t, f, func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 300_000) + "!close"
		})
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{DialContext: f.network.Host("10.0.0.9").DialContext, Protocols: protocols}
		defer transport.CloseIdleConnections()
		request, _ := http.NewRequestWithContext(f.ctx, "GET", "http://"+vmIP(0)+":80/", nil)
		request.Host = "booking.test"
		request.Header.Set(CredentialHeader, "secret-a")
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		if _, err := io.Copy(io.Discard, response.Body); err == nil || response.ProtoMajor != 2 {
			t.Errorf("HTTP/%d, error %v: a truncated response ended like a complete one", response.ProtoMajor, err)
		}
	})
}
