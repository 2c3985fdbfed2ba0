package proxy

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/targets"
)

// connRecorder records the bytes of each connection to a target. It responds with
// what the script returns for the bytes since the last response; "close" closes
// the connection.
type connRecorder struct {
	mu    sync.Mutex
	conns []*strings.Builder
}

func (w *connRecorder) serve(listener net.Listener, script func(got string) string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		number := len(w.conns)
		w.conns = append(w.conns, &strings.Builder{})
		w.mu.Unlock()
		go w.serveConn(conn, number, script)
	}
}

func (w *connRecorder) serveConn(conn net.Conn, number int, script func(got string) string) {
	defer func() { _ = conn.Close() }()
	piece := make([]byte, 64<<10)
	got := ""
	for {
		n, err := conn.Read(piece)
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[number].Write(piece[:n])
		w.mu.Unlock()
		got += string(piece[:n])
		response := script(got)
		if response == "close" {
			return
		}
		response = strings.ReplaceAll(response, "$C", correlationOf(got))
		if response != "" {
			got = ""
		}
		_, _ = io.WriteString(conn, response)
	}
}

func correlationOf(got string) string {
	_, rest, _ := strings.Cut(got, CorrelationHeader+": ")
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// count returns how often a text was received over all connections.
func (w *connRecorder) count(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, conn := range w.conns {
		total += strings.Count(conn.String(), text)
	}
	return total
}

// connectionOf returns the number of the connection on which a text was received,
// or -1.
func (w *connRecorder) connectionOf(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for number, conn := range w.conns {
		if strings.Contains(conn.String(), text) {
			return number
		}
	}
	return -1
}

// withRealConnections runs a test of one VM that uses the package targets for its
// connections to one target.
func withRealConnections(t *testing.T, script func(got string) string, test func(t *testing.T, f *fleet, w *connRecorder)) {
	t.Helper()
	w := &connRecorder{}
	serve := func(listener net.Listener) {
		w.serve(listener, func(got string) string {
			if strings.HasPrefix(got, "GET /health") {
				return healthResponse
			}
			return script(got)
		})
	}
	withRealTarget(t, serve, func(t *testing.T, f *fleet) { test(t, f, w) })
}

// healthResponse answers a health check.
const healthResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// withRealTarget runs a test of one VM that uses the package targets for its connections to one
// target, which serves a listener.
func withRealTarget(t *testing.T, serve func(listener net.Listener), test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t.Context(), 0, oneTarget(), nil)
		measured := metrics.New()
		f.options = func(o *Options) {
			m := targets.New(o.Configuration, o.Network, o.Members, measured, log.New(io.Discard))
			go func() { _ = m.Run(f.ctx) }()
			o.Targets = m
		}
		f.vms = make([]*vm, 1)
		listener, err := f.network.Host(targetIP(0)).Listen(f.ctx, targetIP(0)+":80")
		if err != nil {
			t.Fatal(err)
		}
		go serve(listener)
		f.start(0)
		defer func() {
			_ = listener.Close()
			_ = measured.Close()
			f.close()
			time.Sleep(10 * time.Minute)
		}()
		time.Sleep(time.Second)
		test(t, f)
	})
}

func TestRequestOnClosedReusedConnectionIsNotRepeated(t *testing.T) {
	script := func(got string) string {
		if strings.Contains(got, "POST /book") {
			return "close"
		}
		return completeResponse
	}
	withRealConnections(t, script, func(t *testing.T, f *fleet, w *connRecorder) {
		if got := f.send(0, "GET", "/first", ""); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
		got := f.send(0, "POST", "/book", "order", f.vms[0].keyHeader("k"))
		if got.header.Get(OutcomeHeader) != "may_have_run" || w.count("POST /book") != 1 {
			t.Errorf("the target saw the booking %d times, caller %+v", w.count("POST /book"), got)
		}
		if w.connectionOf("GET /first") != w.connectionOf("POST /book") {
			t.Error("the booking did not reuse the connection of the first request")
		}
	})
}

func TestPartlySentBodyIsNotSentAgain(t *testing.T) {
	script := func(got string) string {
		if len(got) > 200_000 {
			return "close"
		}
		return ""
	}
	withRealConnections(t, script, func(t *testing.T, f *fleet, w *connRecorder) {
		got := f.send(0, "PUT", "/scan", strings.Repeat("b", 900_000))
		if got.header.Get(OutcomeHeader) != "may_have_run" || w.count("PUT /scan") != 1 {
			t.Errorf("the target saw the upload %d times, caller %d %.100q", w.count("PUT /scan"), got.status, got.body)
		}
	})
}

func TestConnectionOfAbandonedAttemptIsNotReused(t *testing.T) {
	script := func(got string) string {
		if strings.Contains(got, "POST /slow") {
			return ""
		}
		return completeResponse
	}
	withRealConnections(t, script, func(t *testing.T, f *fleet, w *connRecorder) {
		f.send(0, "POST", "/slow", "x", "Primroseloom-Timeout-Ms: 500")
		if got := f.send(0, "GET", "/next", ""); got.status != 200 || got.body != "whole" {
			t.Errorf("got %+v", got)
		}
		if w.connectionOf("POST /slow") == w.connectionOf("GET /next") {
			t.Error("the connection of the abandoned attempt was reused")
		}
	})
}

func TestDuplicateResponseReachesNoOtherCaller(t *testing.T) {
	script := func(got string) string {
		if strings.Contains(got, "GET /doubled") {
			return completeResponse + strings.Replace(completeResponse, "whole", "other", 1)
		}
		return completeResponse
	}
	withRealConnections(t, script, func(t *testing.T, f *fleet, w *connRecorder) {
		f.send(0, "GET", "/doubled", "")
		for range 3 {
			if got := f.send(0, "GET", "/next", ""); got.status != 200 || got.body != "whole" {
				t.Errorf("got %+v", got)
			}
		}
	})
}

func TestSuspendedProcessSendsNoByte(t *testing.T) {
	withRealConnections(t, func(string) string { return completeResponse }, func(t *testing.T, f *fleet, w *connRecorder) {
		v := f.vms[0]
		key := v.keyHeader("k")
		f.network.Block(targetIP(0), vmIP(0))
		done := make(chan callerResponse, 1)
		go func() { done <- f.send(0, "POST", "/book", "x", key, "Primroseloom-Timeout-Ms: 20000") }()
		time.Sleep(500 * time.Millisecond)
		v.clock.suspended.Add(int64(30 * time.Second))
		f.network.Unblock(targetIP(0), vmIP(0))
		got := <-done
		if w.count("POST /book") != 0 || got.header.Get(OutcomeHeader) != "not_run" {
			t.Errorf("the target saw the booking %d times, caller %+v", w.count("POST /book"), got)
		}
	})
}
