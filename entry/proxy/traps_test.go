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

// wire records the bytes of each connection to a target and answers by a
// script that is called with the bytes since the last answer; the word "close"
// closes the connection.
type wire struct {
	mu    sync.Mutex
	conns []*strings.Builder
}

func (w *wire) serve(listener net.Listener, script func(got string) string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		number := len(w.conns)
		w.conns = append(w.conns, &strings.Builder{})
		w.mu.Unlock()
		go w.converse(conn, number, script)
	}
}

func (w *wire) converse(conn net.Conn, number int, script func(got string) string) {
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
		answer := script(got)
		if answer == "close" {
			return
		}
		answer = strings.ReplaceAll(answer, "$C", correlationIn(got))
		if answer != "" {
			got = ""
		}
		_, _ = io.WriteString(conn, answer)
	}
}

func correlationIn(got string) string {
	_, rest, _ := strings.Cut(got, CorrelationHeader+": ")
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// seen returns how often a text was received over all connections.
func (w *wire) seen(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for _, conn := range w.conns {
		count += strings.Count(conn.String(), text)
	}
	return count
}

// connOf returns the connection on which a text was received.
func (w *wire) connOf(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for number, conn := range w.conns {
		if strings.Contains(conn.String(), text) {
			return number
		}
	}
	return -1
}

// overWire runs a test of one VM with the real connections to one target.
func overWire(t *testing.T, script func(got string) string, test func(t *testing.T, f *fleet, w *wire)) {
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
		w := &wire{}
		go w.serve(listener, func(got string) string {
			if strings.HasPrefix(got, "GET /health") {
				return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
			}
			return script(got)
		})
		f.start(0)
		defer func() {
			_ = listener.Close()
			_ = measured.Close()
			f.close()
			time.Sleep(10 * time.Minute)
		}()
		time.Sleep(time.Second)
		test(t, f, w)
	})
}

func TestReusedConnectionThatClosesGetsNoSecondRequest(t *testing.T) {
	script := func(got string) string {
		if strings.Contains(got, "POST /book") {
			return "close"
		}
		return whole
	}
	overWire(t, script, func(t *testing.T, f *fleet, w *wire) {
		if got := f.ask(0, "GET", "/first", ""); got.status != 200 {
			t.Fatalf("got %+v", got)
		}
		got := f.ask(0, "POST", "/book", "order", f.vms[0].key("k"))
		if got.header.Get(OutcomeHeader) != "may_have_run" || w.seen("POST /book") != 1 {
			t.Errorf("the target saw the booking %d times, caller %+v", w.seen("POST /book"), got)
		}
		if w.connOf("GET /first") != w.connOf("POST /book") {
			t.Error("the booking did not use the connection that carried the first request")
		}
	})
}

func TestBodyPartlySentIsNotSentTwice(t *testing.T) {
	script := func(got string) string {
		if len(got) > 200_000 {
			return "close"
		}
		return ""
	}
	overWire(t, script, func(t *testing.T, f *fleet, w *wire) {
		got := f.ask(0, "PUT", "/scan", strings.Repeat("b", 900_000))
		if got.header.Get(OutcomeHeader) != "may_have_run" || w.seen("PUT /scan") != 1 {
			t.Errorf("the target saw the upload %d times, caller %d %.100q", w.seen("PUT /scan"), got.status, got.body)
		}
	})
}

func TestConnectionOfAnAbandonedAttemptIsNotUsedAgain(t *testing.T) {
	script := func(got string) string {
		if strings.Contains(got, "POST /slow") {
			return ""
		}
		return whole
	}
	overWire(t, script, func(t *testing.T, f *fleet, w *wire) {
		f.ask(0, "POST", "/slow", "x", "Primroseloom-Timeout-Ms: 500")
		if got := f.ask(0, "GET", "/next", ""); got.status != 200 || got.body != "whole" {
			t.Errorf("got %+v", got)
		}
		if w.connOf("POST /slow") == w.connOf("GET /next") {
			t.Error("the connection of the abandoned attempt was used again")
		}
	})
}

func TestDoubledAnswerReachesNobodyElse(t *testing.T) {
	script := func(got string) string {
		if strings.Contains(got, "GET /doubled") {
			return whole + strings.Replace(whole, "whole", "other", 1)
		}
		return whole
	}
	overWire(t, script, func(t *testing.T, f *fleet, w *wire) {
		f.ask(0, "GET", "/doubled", "")
		for range 3 {
			if got := f.ask(0, "GET", "/next", ""); got.status != 200 || got.body != "whole" {
				t.Errorf("got %+v", got)
			}
		}
	})
}

func TestSuspendedProcessSendsNoByte(t *testing.T) {
	overWire(t, func(string) string { return whole }, func(t *testing.T, f *fleet, w *wire) {
		v := f.vms[0]
		key := v.key("k")
		f.network.Block(targetIP(0), vmIP(0))
		done := make(chan seen, 1)
		go func() { done <- f.ask(0, "POST", "/book", "x", key, "Primroseloom-Timeout-Ms: 20000") }()
		time.Sleep(500 * time.Millisecond)
		v.clock.jump.Add(int64(30 * time.Second))
		f.network.Unblock(targetIP(0), vmIP(0))
		got := <-done
		if w.seen("POST /book") != 0 || got.header.Get(OutcomeHeader) != "not_run" {
			t.Errorf("the target saw the booking %d times, caller %+v", w.seen("POST /book"), got)
		}
	})
}
