package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in of an upstream. A request works for the milliseconds of its query work_ms, and its body is
// read in parts, each after the milliseconds of slow_read.
type target struct {
	id, address, service string
	// size is the length of a response in bytes; 0 for a short one.
	size int

	slots chan struct{}
	// present counts the requests in slots and in the queue.
	present atomic.Int64

	mu   sync.Mutex
	runs map[string]int
	// bytes holds how many bytes of a body arrived, by attempt.
	bytes map[string]int64
	// answered counts the responses that were written.
	answered map[string]int
}

func (s *store) newTarget(id, service string, host int) *target {
	t := &target{id: id, service: service, slots: make(chan struct{}, slotNumber), runs: make(map[string]int), bytes: make(map[string]int64), answered: make(map[string]int)}
	listener := &cuttable{Listener: listen(loopback(host)), conns: make(map[net.Conn]bool)}
	cuttables = append(cuttables, listener)
	t.address = listener.Addr().String()
	server := &http.Server{Handler: t, IdleTimeout: idleTime}
	go func() { _ = server.Serve(listener) }()
	s.publish(t)
	return t
}

func (s *store) publish(t *target) {
	s.put("servers/"+t.id, map[string]any{
		"address": t.address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": "zone-a", "slots": slotNumber},
		"status": map[string]any{"state": "ready", "seq": 1, "cold_left_ms": 0},
	})
}

// Limits of a target. Its queue holds queueLength requests beside those in its slots. It cuts off a response of which
// nothing was taken for unreadTime, and closes a connection that was idle for idleTime.
const (
	slotNumber, queueLength = 50, 12
	unreadTime, idleTime    = 5 * time.Second, 10 * time.Second
)

// enter waits for a slot until the time limit; false means that the request is not run.
func (t *target) enter(until time.Time) bool {
	if t.present.Add(1) > slotNumber+queueLength {
		t.present.Add(-1)
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-time.After(time.Until(until)):
		t.present.Add(-1)
		return false
	}
}

func (t *target) leave() {
	<-t.slots
	t.present.Add(-1)
}

// ServeHTTP runs one request, or says that it does not.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
	until := time.Now().Add(30 * time.Second)
	if limit, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		until = time.Now().Add(time.Duration(limit) * time.Millisecond)
	}
	isHealth := r.URL.Path == "/health"
	expected := r.Header.Get("X-Expect-Instance")
	status := 0
	switch {
	case !isHealth && id == "":
		status = http.StatusBadRequest
	case expected != "" && expected != t.id:
		status = http.StatusMisdirectedRequest
	case !t.enter(until):
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer t.leave()
	if isHealth {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	t.run(w, r, id, until)
}

// run runs a request, and stops work at its time limit with a 504.
func (t *target) run(w http.ResponseWriter, r *http.Request, id string, until time.Time) {
	time.Sleep(linkDelay)
	until = until.Add(linkDelay)
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	note("%s runs %s: %s %s, time left %s ms", t.id, id, r.Method, r.RequestURI, r.Header.Get("X-Deadline-Ms"))
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // a 504 may come before the whole body is in
	_ = controller.SetReadDeadline(until)
	body := io.Reader(r.Body)
	if pause, _ := strconv.Atoi(r.URL.Query().Get("slow_read")); pause > 0 {
		body = slowly{r.Body, time.Duration(pause) * time.Millisecond, until}
	}
	n, err := io.Copy(io.Discard, body)
	isLate := !time.Now().Before(until)
	t.mu.Lock()
	t.bytes[id] = n
	t.mu.Unlock()
	if err != nil && !isLate {
		note("%s: the body of %s broke off after %d bytes: %v", t.id, id, n, err)
		return
	}
	if !isLate {
		work, _ := strconv.Atoi(r.URL.Query().Get("work_ms"))
		ends := time.Now().Add(time.Duration(work) * time.Millisecond)
		if isLate = ends.After(until); isLate {
			ends = until
		}
		select {
		case <-time.After(time.Until(ends)):
		case <-r.Context().Done():
			note("%s: the connection of %s closed while it ran", t.id, id)
			return
		}
	}
	time.Sleep(linkDelay)
	text := fmt.Sprintf("done %s by %s\n", id, t.id)
	if t.size > 0 && r.URL.Query().Get("size") == "" && !isLate {
		text = strings.Repeat("x", t.size)
	}
	w.Header().Set("X-Response-Seal", seal(id, text))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if isLate {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	for start := 0; start < len(text); start += 64 << 10 {
		_ = controller.SetWriteDeadline(time.Now().Add(unreadTime))
		if _, err := io.WriteString(w, text[start:min(start+64<<10, len(text))]); err != nil {
			note("%s: the response to %s broke off after %d bytes", t.id, id, start)
			return
		}
	}
	_ = controller.Flush()
	_ = controller.SetWriteDeadline(time.Time{})
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

// linkDelay is the delay of the link between machines and targets, one way.
var linkDelay time.Duration

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
	until time.Time
}

// Read reads at most 32 KiB after each pause.
func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(min(s.pause, time.Until(s.until)))
	if !time.Now().Before(s.until) {
		return 0, os.ErrDeadlineExceeded
	}
	return s.Reader.Read(p[:min(len(p), 32<<10)])
}
