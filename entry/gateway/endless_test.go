package gateway

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// chunkBytes are sent every chunkPause by a target that does not stop.
	chunkBytes = 16 << 10
	chunkPause = 2 * time.Millisecond
)

// endless returns a behavior that writes a begin and then chunks until the connection is
// closed.
func endless(begin, chunk string) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(out).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		begin := strings.ReplaceAll(begin, "ID", r.Header.Get("Id"))
		_, err = conn.Write([]byte(begin))
		for err == nil {
			time.Sleep(chunkPause)
			_, err = conn.Write([]byte(strings.Repeat(chunk, chunkBytes/len(chunk))))
		}
	}
}

// discardingWriter is a caller that reads a response without keeping it.
type discardingWriter struct {
	header http.Header
	status int
	bytes  int
}

func (w *discardingWriter) Header() http.Header    { return w.header }
func (w *discardingWriter) WriteHeader(status int) { w.status = status }
func (w *discardingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// TestBytesWithoutEndAreNoResponse guards against a request that goes on, a caller that
// takes what came for a complete response, or memory that grows, when a target sends bytes
// that are no response without end, in the head or the body.
func TestBytesWithoutEndAreNoResponse(t *testing.T) {
	const (
		maxGrowthBytes = 16 << 20
		head           = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: sealed\r\n"
	)
	for _, c := range []struct {
		name, begin, chunk string
		// ends is the time by which the request ends.
		ends time.Duration
	}{
		{"no HTTP", "", "noise", time.Second / 2},
		{"one header", head + "X: ", "x", time.Second / 2},
		{"many headers", head, "X: y\r\n", time.Second / 2},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", time.Second / 2},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", "x", time.Second / 2},
		{"body until the connection ends", head + "\r\n", "x", routeTimeout + timeoutResponseSlack},
		{"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", routeTimeout + timeoutResponseSlack},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, []behavior{endless(c.begin, c.chunk)}, func(h *harness) {
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				caller := &discardingWriter{header: make(http.Header)}
				began := time.Now()
				isAborted := sendAborted(h, caller)
				runtime.GC()
				runtime.ReadMemStats(&after)
				if took := time.Since(began); took > c.ends+50*time.Millisecond {
					t.Errorf("the request took %v", took)
				}
				if caller.status == http.StatusOK && !isAborted {
					t.Errorf("a response of %d bytes looks complete", caller.bytes)
				}
				if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > maxGrowthBytes {
					t.Errorf("the heap has grown by %d bytes", growth)
				}
				time.Sleep(time.Second) // the target notices that its connection is closed
			})
		})
	}
}

// sendAborted sends one request and reports whether the gateway aborted the caller's
// connection.
func sendAborted(h *harness, caller http.ResponseWriter) (isAborted bool) {
	defer func() {
		if cause := recover(); cause == http.ErrAbortHandler {
			isAborted = true
		} else if cause != nil {
			panic(cause)
		}
	}()
	request, err := http.NewRequestWithContext(h.t.Context(), http.MethodPost, "http://"+host+oncePath+"x", strings.NewReader("body"))
	if err != nil {
		h.t.Fatal(err)
	}
	request.RemoteAddr = net.JoinHostPort("10.9.0.1", "1000")
	request.Header.Set("Id", "r1")
	request.Header.Set("Left", "5000")
	h.gateway.ServeHTTP(caller, request)
	return false
}

// TestTargetThatBreaksOffLongResponsesIsSuspected guards against a target whose responses
// end early, or never, after the part that is buffered, and still count as served.
func TestTargetThatBreaksOffLongResponsesIsSuspected(t *testing.T) {
	withHarness(t, []behavior{breaksOffLongBody, serves}, func(h *harness) {
		const requests = 40
		for range requests {
			sendAborted(h, &discardingWriter{header: make(http.Header)})
			time.Sleep(100 * time.Millisecond)
		}
		if got := h.arrivalsAt("t0"); got > requests/4 {
			t.Errorf("%d of %d requests that must not run twice went to the target", got, requests)
		}
	})
}
