package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream stands in for one upstream of a service. It follows PROTOCOL.md: it echoes the id of an
// attempt, seals its answers, rejects what it has no room for, and drops a request when its connection
// closes.
type upstream struct {
	id, service, address, zone string
	slots                      int
	work                       time.Duration
	record                     *record
	server                     *http.Server
	born                       int64
	seq                        int

	mu      sync.Mutex
	running int
	// loses decides for a request that has run whether its answer is lost; nil for never.
	loses func() bool
	runs  []run
}

// run is one request that reached an upstream.
type run struct {
	id string
	at time.Time
	// ran is whether it began to run, ended whether its answer was written.
	ran, ended bool
}

func newUpstream(record *record, id, service, address, zone string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{id: id, service: service, address: address, zone: zone, slots: slots, work: work, record: record, born: time.Now().UnixMilli()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.address = listener.Addr().String()
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// entry is what the upstream says of itself in the store.
func (u *upstream) entry(state string) map[string]any {
	u.seq++
	return map[string]any{
		"address": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "seq": u.seq, "cold_left_ms": 0},
	}
}

// end ends the upstream as the end of its process does.
func (u *upstream) end() { _ = u.server.Close() }

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", u.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	u.mu.Lock()
	isFull := u.running >= u.slots
	number := len(u.runs)
	u.runs = append(u.runs, run{id: id, at: arrived, ran: !isFull})
	if !isFull {
		u.running++
	}
	load := fmt.Sprintf("%d,0,%d", u.running, u.slots)
	u.mu.Unlock()
	w.Header().Set("X-Server-Load", load)
	if isFull {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.record.line("%s runs %s (%s %s, %d bytes)", u.id, id, r.Method, r.URL.Path, len(body))
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	if !u.pace(arrived, r) {
		w.Header().Set("X-Response-Seal", "sealed."+u.id+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if u.losesAnswer() {
		u.record.line("%s has run %s, and its answer is lost", u.id, id)
		<-r.Context().Done() // nothing more arrives on the connection
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Response-Seal", "sealed."+u.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s answers %s\n", u.id, id)
	u.mu.Lock()
	u.runs[number].ended = true
	u.mu.Unlock()
}

// pace works on a request until it is done, or returns false once its time limit has passed.
func (u *upstream) pace(arrived time.Time, r *http.Request) bool {
	u.mu.Lock()
	work := u.work
	u.mu.Unlock()
	limit := 30 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil && ms > 0 {
		limit = time.Until(arrived.Add(time.Duration(ms * float64(time.Millisecond))))
	}
	select {
	case <-time.After(min(work, limit)):
		return work <= limit
	case <-r.Context().Done():
		panic(http.ErrAbortHandler) // the connection has closed
	}
}

func (u *upstream) losesAnswer() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loses != nil && u.loses()
}

// setLoses changes which answers are lost.
func (u *upstream) setLoses(loses func() bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.loses = loses
}

// setWork changes how long a request takes.
func (u *upstream) setWork(work time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = work
}

// arrivals returns the requests that have reached the upstream.
func (u *upstream) arrivals() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}
