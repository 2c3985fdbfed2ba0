package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// headers has the names of the platform's headers.
var headers platform.Headers

// healthPath is the services' path of status checks.
const healthPath = "/health"

// upstream stands in for one upstream of a service. It follows PROTOCOL.md: it echoes the id of an
// attempt, seals its answers, rejects what it has no room for, and drops a request when its connection
// closes.
type upstream struct {
	id, service, address, zone string
	slots                      int
	work                       time.Duration
	record                     *record
	server                     *http.Server
	born                       time.Time

	mu      sync.Mutex
	running int
	// office is an answer's further header, in the bytes that are sent; empty for none.
	office string
	// partitioned holds the IP addresses from which no connection is taken.
	partitioned map[string]bool
	conns       map[net.Conn]bool
	runs        []run
}

// run is one request that reached an upstream.
type run struct {
	id string
	at time.Time
	// ran is whether it began to run.
	ran bool
}

func newUpstream(record *record, id, service, address, zone string, slots int, work time.Duration) (*upstream, error) {
	u := &upstream{id: id, service: service, address: address, zone: zone, slots: slots, work: work, record: record, born: time.Now()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.address = listener.Addr().String()
	u.server = &http.Server{Handler: u, ConnState: u.follow}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// entry is what the upstream says of itself in the store while it is ready.
func (u *upstream) entry() roster.Target {
	return roster.Target{
		ID: u.id, Service: u.service, Address: u.address, Zone: u.zone, SoftwareVersion: "v1", Slots: u.slots,
		State: roster.StateReady, StartedAt: u.born, Sequence: 1,
	}
}

// follow keeps the open connections, and resets a new one from an address that is partitioned.
func (u *upstream) follow(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = make(map[net.Conn]bool)
	}
	switch state {
	case http.StateNew:
		u.conns[conn] = true
		if u.partitioned[ipOf(conn)] {
			reset(conn)
		}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, conn)
	}
}

// partition resets the connections from IP addresses, and all new ones until it is called again.
func (u *upstream) partition(addresses map[string]bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.partitioned = addresses
	for conn := range u.conns {
		if addresses[ipOf(conn)] {
			reset(conn)
		}
	}
}

func ipOf(conn net.Conn) string {
	ip, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return ip
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := headers.ReadAttempt(r.Header)
	w.Header().Set("X-Instance-Id", u.id)
	if r.URL.Path == healthPath {
		return
	}
	if asked.TargetID != "" && asked.TargetID != u.id {
		headers.WriteResponse(w.Header(), dialect.ResponseMetadata{AttemptID: asked.AttemptID})
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
	others := u.running
	u.runs = append(u.runs, run{id: asked.AttemptID, at: arrived, ran: !isFull})
	if !isFull {
		u.running++
	}
	u.mu.Unlock()
	answer := dialect.ResponseMetadata{AttemptID: asked.AttemptID, Load: &dialect.Load{Running: others, Slots: u.slots}}
	if isFull {
		answer.NotRun = true
		headers.WriteResponse(w.Header(), answer)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.record.line("%s runs %s (%s %s, %d bytes)", u.id, asked.AttemptID, r.Method, r.URL.Path, len(body))
	defer func() {
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
	}()
	isDone := u.pace(arrived, asked.Remaining, r)
	answer.Signed = true
	headers.WriteResponse(w.Header(), answer)
	if !isDone {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if u.office != "" {
		w.Header().Set("X-Office", u.office)
	}
	_, _ = fmt.Fprintf(w, "%s answers %s\n", u.id, asked.AttemptID)
}

// pace works on a request until it is done, or returns false once its time limit has passed.
func (u *upstream) pace(arrived time.Time, limit time.Duration, r *http.Request) bool {
	left := time.Until(arrived.Add(limit))
	if limit <= 0 {
		left = u.work
	}
	select {
	case <-time.After(min(u.work, left)):
		return u.work <= left
	case <-r.Context().Done():
		panic(http.ErrAbortHandler) // the connection has closed
	}
}

// arrivals returns the requests that have reached the upstream.
func (u *upstream) arrivals() []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]run(nil), u.runs...)
}
