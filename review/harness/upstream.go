package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// healthPath is the path of the status checks of all services.
const healthPath = "/health"

// healthTime is how long a status check takes.
const healthTime = 25 * time.Millisecond

// oneWay is the time of one way between zones, as in the site files. Loopback has none of its own, so
// upstreams add it on arrival and before they answer.
const oneWay = 1400 * time.Microsecond

// run is one request that an upstream has begun to work on.
type run struct {
	at        time.Time
	id        string
	upstream  string
	service   string
	fromIP    string
	method    string
	target    string
	bodyBytes int64
	bodyHash  string
}

// upstream is a stand-in of a sound upstream. It reads the whole request, works and answers.
type upstream struct {
	id, service, address string
	slots                int
	work                 time.Duration
	book                 *book
	server               *http.Server
	// cutFrom holds the machines, by IP address, that can't reach the upstream: their connections
	// are reset.
	mu      sync.Mutex
	cutFrom map[string]bool
	conns   map[net.Conn]struct{}
	// running and waiting count the requests that have a slot, and those in the queue.
	running, waiting int
	free             chan struct{}
	born             time.Time
	leaving          atomic.Bool
	// photos is how uploads are served; nil for as other requests.
	photos atomic.Pointer[photos]
	// grey is true while the upstream fails a part of its requests.
	grey atomic.Bool
}

// queueLength is how many requests wait for a slot, as in the site files.
const queueLength = 12

// take waits for a slot; ok is false when the queue is full or the time is over. load counts the
// other requests.
func (u *upstream) take(ctx context.Context, over <-chan time.Time) (load dialect.Load, ok bool) {
	u.mu.Lock()
	load = dialect.Load{Running: u.running, Waiting: u.waiting, Slots: u.slots}
	if u.waiting >= queueLength {
		u.mu.Unlock()
		return load, false
	}
	u.waiting++
	u.mu.Unlock()
	select {
	case <-u.free:
		ok = true
	case <-over:
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	load = dialect.Load{Running: u.running, Waiting: u.waiting, Slots: u.slots}
	if ok {
		u.running++
	}
	return load, ok
}

// release gives a slot back and returns the load of the other requests.
func (u *upstream) release() dialect.Load {
	u.mu.Lock()
	u.running--
	load := dialect.Load{Running: u.running, Waiting: u.waiting, Slots: u.slots}
	u.mu.Unlock()
	u.free <- struct{}{}
	return load
}

// respond writes the head of a response. An upstream that leaves says so in all its answers.
func (u *upstream) respond(w http.ResponseWriter, metadata dialect.ResponseMetadata, status int) {
	metadata.Notice.IsLeaving = u.leaving.Load()
	if metadata.Notice.IsLeaving {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Instance-Id", u.id)
	platform.Headers{}.WriteResponse(w.Header(), metadata)
	w.WriteHeader(status)
}

// serveHealth answers a status check, which needs a slot as any other request.
func (u *upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	load, ok := u.take(r.Context(), time.After(time.Second))
	if !ok {
		u.respond(w, dialect.ResponseMetadata{NotRun: true, Load: &load}, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(healthTime)
	load = u.release()
	status := http.StatusOK
	if u.leaving.Load() {
		status = http.StatusServiceUnavailable
	}
	u.respond(w, dialect.ResponseMetadata{Load: &load}, status)
}

// book is what all upstreams together have run.
type book struct {
	mu   sync.Mutex
	runs []run
}

func (b *book) add(r run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, r)
}

func (b *book) all() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// cutListener resets the connections of machines that are cut off from the upstream.
type cutListener struct {
	net.Listener
	u *upstream
}

func (l cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.u.isCutFrom(ipOf(conn.RemoteAddr().String())) {
			reset(conn)
			continue
		}
		l.u.mu.Lock()
		l.u.conns[conn] = struct{}{}
		l.u.mu.Unlock()
		return conn, nil
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func ipOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func newUpstream(id, service, address string, slots int, work time.Duration, b *book) (*upstream, error) {
	u := &upstream{
		id: id, service: service, address: address, slots: slots, work: work, book: b,
		cutFrom: make(map[string]bool), conns: make(map[net.Conn]struct{}), free: make(chan struct{}, slots), born: time.Now(),
	}
	for range slots {
		u.free <- struct{}{}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(cutListener{listener, u}) }()
	return u, nil
}

func (u *upstream) isCutFrom(ip string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cutFrom[ip]
}

// cut begins or ends the partition between the upstream and some machines.
func (u *upstream) cut(ips []string, isCut bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, ip := range ips {
		u.cutFrom[ip] = isCut
	}
	if !isCut {
		return
	}
	for conn := range u.conns {
		if u.cutFrom[ipOf(conn.RemoteAddr().String())] {
			reset(conn)
			delete(u.conns, conn)
		}
	}
}

// entry is what the upstream publishes in the store.
func (u *upstream) entry(zone string) roster.Target {
	return roster.Target{
		ID: u.id, Service: u.service, Address: u.address, Zone: zone, SoftwareVersion: "v1", Slots: u.slots,
		State: roster.StateReady, Sequence: 1, StartedAt: u.born,
	}
}

// ServeHTTP runs one request, unless its body is truncated or it is meant for another upstream.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		u.serveHealth(w, r)
		return
	}
	attempt := platform.Headers{}.ReadAttempt(r.Header)
	metadata := dialect.ResponseMetadata{AttemptID: attempt.AttemptID}
	if attempt.TargetID != "" && attempt.TargetID != u.id {
		u.respond(w, metadata, http.StatusMisdirectedRequest)
		return
	}
	if p := u.photos.Load(); p != nil && r.Method == http.MethodPost {
		u.servePhoto(w, r, attempt, p)
		return
	}
	time.Sleep(oneWay)
	deadline := time.NewTimer(timeLeft(attempt))
	defer deadline.Stop()
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request isn't whole: it doesn't run
	}
	load, ok := u.take(r.Context(), deadline.C)
	if !ok {
		metadata.NotRun, metadata.Load = true, &load
		u.respond(w, metadata, http.StatusServiceUnavailable)
		return
	}
	u.book.add(run{
		at: time.Now(), id: attempt.AttemptID, upstream: u.id, service: u.service, fromIP: ipOf(r.RemoteAddr),
		method: r.Method, target: r.RequestURI, bodyBytes: size, bodyHash: hex.EncodeToString(hash.Sum(nil)),
	})
	status := http.StatusOK
	select {
	case <-time.After(u.work):
	case <-deadline.C:
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		u.release()
		return
	}
	if status == http.StatusOK && u.failsNow() {
		status = http.StatusServiceUnavailable
	}
	load = u.release()
	time.Sleep(oneWay)
	metadata.Signed, metadata.Load = true, &load
	body := fmt.Sprintf("request %s ran at %s with %d bytes of body\n", attempt.AttemptID, u.id, size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	u.respond(w, metadata, status)
	_, _ = io.WriteString(w, body)
	if p := u.photos.Load(); p != nil {
		p.count()
	}
}

// servePhoto serves an upload once it has a slot.
func (u *upstream) servePhoto(w http.ResponseWriter, r *http.Request, attempt platform.StandInRequest, p *photos) {
	load, ok := u.take(r.Context(), time.After(timeLeft(attempt)))
	if !ok {
		u.respond(w, dialect.ResponseMetadata{AttemptID: attempt.AttemptID, NotRun: true, Load: &load}, http.StatusServiceUnavailable)
		return
	}
	defer u.release()
	p.serve(u, w, r, attempt, load)
}

// timeLeft returns the time that the request leaves for an answer.
func timeLeft(attempt platform.StandInRequest) time.Duration {
	const most = time.Minute
	if attempt.Remaining <= 0 {
		return most
	}
	return attempt.Remaining
}

// stop ends the upstream at once, as a crash does.
func (u *upstream) stop() { _ = u.server.Close() }
