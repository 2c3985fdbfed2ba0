package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// target is a stand-in of an upstream. A request works for the milliseconds of its query work_ms, and its body is
// read in parts, each after the milliseconds of slow_read.
type target struct {
	id, address, service string
	// size is the length of a response in bytes; 0 for a short one.
	size int

	mu   sync.Mutex
	runs map[string]int
	// bytes holds how many bytes of a body arrived, by attempt.
	bytes map[string]int64
	// answered counts the responses that were written.
	answered map[string]int
}

func (s *store) newTarget(id, service string, host int) *target {
	t := &target{id: id, service: service, runs: make(map[string]int), bytes: make(map[string]int64), answered: make(map[string]int)}
	listener := &cuttable{Listener: listen(loopback(host)), conns: make(map[net.Conn]bool)}
	cuttables = append(cuttables, listener)
	t.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, t) }()
	s.publish(t)
	return t
}

func (s *store) publish(t *target) {
	s.put("servers/"+t.id, map[string]any{
		"address": t.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": "zone-a", "slots": 50},
		"status": map[string]any{"state": "ready", "seq": 1, "cold_left_ms": 0},
	})
}

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("X-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	note("%s runs %s: %s %s, time left %s ms", t.id, id, r.Method, r.RequestURI, r.Header.Get("X-Deadline-Ms"))
	body := io.Reader(r.Body)
	if pause, _ := strconv.Atoi(r.URL.Query().Get("slow_read")); pause > 0 {
		body = slowly{r.Body, time.Duration(pause) * time.Millisecond}
	}
	n, err := io.Copy(io.Discard, body)
	t.mu.Lock()
	t.bytes[id] = n
	t.mu.Unlock()
	if err != nil {
		note("%s: the body of %s broke off after %d bytes: %v", t.id, id, n, err)
		return
	}
	work, _ := strconv.Atoi(r.URL.Query().Get("work_ms"))
	limit, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	isLate := limit > 0 && work > limit && r.URL.Query().Get("stubborn") == ""
	if isLate {
		work = limit // it stops work at the value that it receives
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		note("%s: the connection of %s closed while it ran", t.id, id)
		return
	}
	text := fmt.Sprintf("done %s by %s\n", id, t.id)
	if t.size > 0 && r.URL.Query().Get("size") == "" {
		text = strings.Repeat("x", t.size)
	}
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Response-Seal", seal(id, text))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if isLate {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	if written, err := io.WriteString(w, text); err != nil {
		note("%s: the response to %s broke off after %d bytes", t.id, id, written)
	}
	t.mu.Lock()
	t.answered[id]++
	t.mu.Unlock()
	note("%s answers %s, late: %v", t.id, id, isLate)
}

func seal(id, body string) string { return fmt.Sprintf("seal-%s-%d", id, len(body)) }

func dial(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	must(err)
	return conn
}

// cuttable is the listener of a target, which can be cut off from machines: their connections are reset.
type cuttable struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	cut   map[string]bool
}

var cuttables []*cuttable

// receiveBuffer is how many bytes wait at a target to be read; 0 leaves it to the kernel.
var receiveBuffer int

// Accept returns the next connection of a machine that is not cut off.
func (l *cuttable) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if receiveBuffer > 0 {
			_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		}
		l.mu.Lock()
		isCut := l.cut[ipOf(conn)]
		if !isCut {
			l.conns[conn] = true
		}
		l.mu.Unlock()
		if !isCut {
			return conn, nil
		}
		reset(conn)
	}
}

func ipOf(conn net.Conn) string { return conn.RemoteAddr().(*net.TCPAddr).IP.String() }

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// cutOff cuts a machine off from all targets, or ends that.
func cutOff(ip string, isCut bool) {
	for _, l := range cuttables {
		l.mu.Lock()
		if l.cut == nil {
			l.cut = make(map[string]bool)
		}
		l.cut[ip] = isCut
		for conn := range l.conns {
			if isCut && ipOf(conn) == ip {
				reset(conn)
				delete(l.conns, conn)
			}
		}
		l.mu.Unlock()
	}
}

// slowly reads a body slowly.
type slowly struct {
	io.Reader
	pause time.Duration
}

// Read reads at most 32 KiB after each pause.
func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Reader.Read(p[:min(len(p), 32<<10)])
}
