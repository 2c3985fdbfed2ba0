package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// target is a stand-in of an upstream. A request works for the milliseconds of its query work_ms, and its body is
// read in parts, each after the milliseconds of slow_read.
type target struct {
	id, address string

	slots chan struct{}
	// present counts the requests in slots and in the queue.
	present atomic.Int64

	mu   sync.Mutex
	runs map[string]int
}

// newTarget starts an upstream and publishes it.
func (s *store) newTarget(id string, host int) *target {
	t := &target{id: id, slots: make(chan struct{}, slotNumber), runs: make(map[string]int)}
	listener := listen(loopback(host))
	t.address = listener.Addr().String()
	server := &http.Server{Handler: t, IdleTimeout: idleTime}
	go func() { _ = server.Serve(listener) }()
	s.PublishTarget(roster.Target{
		ID: id, Service: service, Address: t.address, Zone: "zone-a", SoftwareVersion: "v1", Slots: slotNumber,
		State: roster.StateReady, Sequence: 1, StartedAt: time.Now(),
	})
	return t
}

// Limits of a target, as the sheet of the site has them. Its queue holds queueLength requests beside those in its
// slots. It cuts off a response of which nothing was taken for unreadTime, and closes a connection that was idle for
// idleTime.
const (
	slotNumber, queueLength = 4, 16
	unreadTime, idleTime    = 5 * time.Second, 10 * time.Second
	// readBytes is how much of a body is read after each pause.
	readBytes = 8 << 10
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

// load counts the requests beside the caller's own.
func (t *target) load(isRunning bool) *dialect.Load {
	running, present := len(t.slots), int(t.present.Load())
	waiting := max(present-running, 0)
	if isRunning {
		running = max(running-1, 0)
	}
	return &dialect.Load{Running: running, Waiting: waiting, Slots: slotNumber}
}

func (t *target) leave() {
	<-t.slots
	t.present.Add(-1)
}

// ServeHTTP runs one request, or says that it does not.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := platform.Headers{}.ReadAttempt(r.Header)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
	until := time.Now().Add(30 * time.Second)
	if attempt.Remaining > 0 {
		until = time.Now().Add(attempt.Remaining)
	}
	isHealth := r.URL.Path == healthPath
	status := 0
	switch {
	case !isHealth && attempt.AttemptID == "":
		status = http.StatusBadRequest
	case attempt.TargetID != "" && attempt.TargetID != t.id:
		status = http.StatusMisdirectedRequest
	case !t.enter(until):
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		platform.Headers{}.WriteResponse(w.Header(), dialect.ResponseMetadata{AttemptID: attempt.AttemptID, NotRun: true, Load: t.load(false)})
		w.WriteHeader(status)
		return
	}
	defer t.leave()
	if isHealth {
		said := make(http.Header)
		platform.Headers{}.WriteResponse(said, dialect.ResponseMetadata{Load: t.load(true)})
		for name, values := range said {
			if values[0] != "" { // a check has no identifier of an attempt to echo
				w.Header()[name] = values
			}
		}
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	t.run(w, r, attempt, until)
}

// run runs a request, and stops work at its time limit with a 504.
func (t *target) run(w http.ResponseWriter, r *http.Request, attempt platform.StandInRequest, until time.Time) {
	id := attempt.AttemptID
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	note("%s runs %s: %s %s, time left %d ms", t.id, id, r.Method, r.RequestURI, attempt.Remaining.Milliseconds())
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // a 504 may come before the whole body is in
	_ = controller.SetReadDeadline(until)
	body := io.Reader(r.Body)
	if pause, _ := strconv.Atoi(r.URL.Query().Get("slow_read")); pause > 0 {
		body = slowly{r.Body, time.Duration(pause) * time.Millisecond, until}
	}
	n, err := io.Copy(io.Discard, body)
	isLate := !time.Now().Before(until)
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
	text := fmt.Sprintf("done %s by %s\n", id, t.id)
	platform.Headers{}.WriteResponse(w.Header(), dialect.ResponseMetadata{AttemptID: id, Signed: true, Load: t.load(true)})
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if isLate {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(unreadTime))
	if _, err := io.WriteString(w, text); err != nil {
		note("%s: the response to %s broke off", t.id, id)
		return
	}
	_ = controller.Flush()
	_ = controller.SetWriteDeadline(time.Time{})
	note("%s answers %s, late: %v", t.id, id, isLate)
}

// slowly reads a body slowly.
type slowly struct {
	io.Reader
	pause time.Duration
	until time.Time
}

// Read reads at most readBytes after each pause.
func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(min(s.pause, time.Until(s.until)))
	if !time.Now().Before(s.until) {
		return 0, os.ErrDeadlineExceeded
	}
	return s.Reader.Read(p[:min(len(p), readBytes)])
}
