package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/entry/slowreader"
)

const (
	// slowLinkMbps is the link of a small VM; linkBytesPerSecond is the same in bytes.
	slowLinkMbps       = 10
	linkBytesPerSecond = slowLinkMbps * 1e6 / 8
	// lookUpTime is the work of a look-up of the deployments.
	lookUpTime = 210 * time.Millisecond
)

// link is a VM's link to its callers: what is written waits behind all that was written
// before, on any connection.
type link struct {
	net.Listener
	mu   sync.Mutex
	free time.Time
}

// Accept returns the next connection over the link.
func (l *link) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkedConn{Conn: conn, link: l}, nil
}

// linkedConn is a connection over a link. The kernel holds what was written but not sent, up
// to network.CallersBuffers.
type linkedConn struct {
	net.Conn
	link *link
}

// Write returns once all but what the kernel holds has passed the link.
func (c *linkedConn) Write(p []byte) (int, error) {
	for written := 0; written < len(p); {
		n := min(len(p)-written, network.CallersBuffers.UnsentBytes)
		c.link.mu.Lock()
		c.link.free = later(c.link.free, time.Now()).Add(time.Duration(float64(n) / linkBytesPerSecond * float64(time.Second)))
		sent := c.link.free
		c.link.mu.Unlock()
		time.Sleep(time.Until(sent))
		if _, err := c.Conn.Write(p[written : written+n]); err != nil {
			return written, err
		}
		written += n
	}
	return len(p), nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serveOver serves the gateway to callers on a listener that wrap returns.
func (h *harness) serveOver(wrap func(net.Listener) net.Listener) (address string) {
	h.t.Helper()
	address = net.JoinHostPort(ownIP, "80")
	listener, err := h.network.Host(ownIP).Listen(h.t.Context(), address)
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{Handler: h.gateway}
	go func() { _ = server.Serve(wrap(listener)) }()
	h.t.Cleanup(func() { _ = server.Close() })
	return address
}

// newCaller returns a client that opens a connection for each request.
func (h *harness) newCaller() *http.Client {
	transport := &http.Transport{DialContext: h.network.Host("10.9.0.1").DialContext, DisableKeepAlives: true}
	return &http.Client{Transport: transport}
}

// get sends a request from a caller and returns the bytes of its response.
func get(ctx context.Context, client *http.Client, address, path string) (length int64, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set("Id", "r1")
	request.Header.Set("Left", "4000")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	return io.Copy(io.Discard, response.Body)
}

// looksUpAndDownloads responds with a download on paths that name one, else with a small
// response after the work of a look-up.
func looksUpAndDownloads(out http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "download") {
		servesBytes(downloadBytes, true)(out, r)
		return
	}
	time.Sleep(lookUpTime)
	servesBytes(2000, true)(out, r)
}

// smallP99 returns the 99th percentile of the times of look-ups while the given number of
// callers download all the time over a link of slowLinkMbps.
func smallP99(t *testing.T, bounds *memory, downloaders int) (p99 time.Duration) {
	t.Helper()
	targets := slices.Repeat([]behavior{looksUpAndDownloads}, 16)
	withHarness(t, targets, func(h *harness) {
		if bounds != nil {
			h.gateway.memory = newMemory(testMemoryMB, slowLinkMbps, tally.NoopScope)
		}
		address := h.serveOver(func(inner net.Listener) net.Listener { return &link{Listener: slowreader.Listener(inner)} })
		ctx, stop := context.WithCancel(h.t.Context())
		client := h.newCaller()
		var callers sync.WaitGroup
		for range downloaders {
			callers.Go(func() {
				for ctx.Err() == nil {
					_, _ = get(ctx, client, address, safePath+"download")
				}
			})
		}
		time.Sleep(2 * time.Second)
		var times []time.Duration
		var mu sync.Mutex
		var lookUps sync.WaitGroup
		for range 400 {
			lookUps.Go(func() {
				began := time.Now()
				if _, err := get(h.t.Context(), client, address, safePath+"1"); err != nil {
					t.Errorf("look-up: %v", err)
				}
				mu.Lock()
				defer mu.Unlock()
				times = append(times, time.Since(began))
			})
			time.Sleep(50 * time.Millisecond)
		}
		lookUps.Wait()
		stop()
		callers.Wait()
		time.Sleep(time.Minute) // what was written passes the link
		slices.Sort(times)
		p99 = times[len(times)*99/100]
	})
	return p99
}

// TestSmallResponsesKeepTheirTimeWhileTheLinkIsFull guards against look-ups that wait behind
// the downloads that fill a VM's link.
func TestSmallResponsesKeepTheirTimeWhileTheLinkIsFull(t *testing.T) {
	const (
		downloaders = 20
		// maxGrowth is how much longer the p99 may be.
		maxGrowth = 1.1
	)
	bounds := newMemory(testMemoryMB, slowLinkMbps, tally.NoopScope)
	usual, full := smallP99(t, bounds, 0), smallP99(t, bounds, downloaders)
	t.Logf("p99 of look-ups: %v, with %d downloads at a time %v, %v without a bound", usual, downloaders, full, smallP99(t, nil, downloaders))
	if full > time.Duration(maxGrowth*float64(usual)) {
		t.Errorf("p99 %v while the link is full, %v else", full, usual)
	}
}

// TestCallerThatReadsNothingIsEnded guards against callers that hold memory for ever, and
// TestCallerThatReadsSlowlyIsServed against callers that are ended while they read.
func TestCallerThatReadsNothingIsEnded(t *testing.T) {
	for name, room := range map[string]int64{"held": 20 << 20, "streamed": requestBytes + 2*largePart} {
		withMemory(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
			h.leaveRoom(room)
			filled := h.gateway.memory.held()
			conn := h.dialAndAsk(h.serveOver(slowreader.Listener))
			time.Sleep(minProgressTimeout / 2)
			if held := h.gateway.memory.held() - filled; name == "held" && held < downloadBytes/2 {
				t.Errorf("%s: %d bytes are held after %v", name, held, minProgressTimeout/2)
			}
			time.Sleep(minProgressTimeout)
			if held := h.gateway.memory.held() - filled; held != 0 || len(h.targets.AttemptsInProgress()) != 0 {
				t.Errorf("%s: %d bytes are held, attempts in progress: %v", name, held, h.targets.AttemptsInProgress())
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			content, err := io.ReadAll(conn)
			if len(content) >= downloadBytes {
				t.Errorf("%s: the caller got %d bytes, %v", name, len(content), err)
			}
			_ = conn.Close()
			time.Sleep(time.Second) // the server notices
		})
	}
}

func TestCallerThatReadsSlowlyIsServed(t *testing.T) {
	withMemory(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
		conn := h.dialAndAsk(h.serveOver(slowreader.Listener))
		defer func() { _ = conn.Close() }()
		response, err := http.ReadResponse(bufio.NewReader(&slowConn{conn}), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || !bytes.Equal(got, pattern(downloadBytes)) {
			t.Errorf("%d bytes, %v", len(got), err)
		}
	})
}

// slowConn is a connection of which a part is read each second.
type slowConn struct{ net.Conn }

func (c *slowConn) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return c.Conn.Read(p[:min(len(p), 4<<10)])
}

// dialAndAsk sends a request on a new connection and reads nothing.
func (h *harness) dialAndAsk(address string) net.Conn {
	h.t.Helper()
	conn, err := h.network.Host("10.9.0.1").DialContext(h.t.Context(), "tcp", address)
	if err != nil {
		h.t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET %s1 HTTP/1.1\r\nHost: %s\r\nId: r1\r\nLeft: 4000\r\n\r\n", safePath, host); err != nil {
		h.t.Fatal(err)
	}
	return conn
}
