package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	service     = "booking"
	targetSlots = 3
	// workTime is how long a target takes to run a request.
	workTime = 40 * time.Millisecond
	// slowWorkTime is how long a slow target takes.
	slowWorkTime = 600 * time.Millisecond
)

// targetFault is how a target misbehaves.
type targetFault int

// The faults of a target. A target never announces its fault.
const (
	targetHealthy targetFault = iota
	targetFails
	targetSlow
	targetHangs
	targetResets
	targetTruncates
	targetSheds
	targetFaultCount
)

// target is a simulated target behind a link.
type target struct {
	info    roster.Target
	link    *link
	checker *checker

	// crash takes the target down for a request that crashes it and returns once the
	// connection of the request is gone.
	crash func(t *target, r *http.Request)

	mu      sync.Mutex
	fault   targetFault
	running int
	// disturbedAt is when a fault of the target last began or ended.
	disturbedAt time.Time
	// said is what the target says of itself in its responses. While it holds a pause, the
	// target refuses all requests.
	said notice.Notice
	// down is true while the target is down after a crash, silent when it answers no
	// connection attempts meanwhile; restarts counts its returns.
	down, silent bool
	restarts     int
}

// newTarget starts a target that daemons reach through a link at the address.
func newTarget(ctx context.Context, id, address, zone string, checker *checker) (*target, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for target %s: %w", id, err)
	}
	t := &target{checker: checker, info: roster.Target{
		ID: id, Service: service, Address: address, Zone: zone, SoftwareVersion: "v1", Slots: targetSlots, State: roster.StateReady, StartedAt: time.Now(),
	}}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	t.link, err = newLink(ctx, address, listener.Addr().String())
	return t, err
}

// id returns the identifier of the running process.
func (t *target) id() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info.ID
}

// process returns a name of the running process, which differs from those of all others.
func (t *target) process() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.info.ID + "@" + strconv.FormatInt(t.info.StartedAt.UnixMilli(), 10)
}

// report returns the target's next report of itself.
func (t *target) report() roster.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.info.Sequence++
	return t.info
}

// say sets what the target says of itself in its responses.
func (t *target) say(change func(said *notice.Notice)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := t.said.Pause
	change(&t.said)
	if t.said.Pause != pause {
		t.disturbedAt = time.Now()
	}
}

func (t *target) setFault(fault targetFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.disturbedAt = fault, time.Now()
}

// disturb records a fault that is over at once.
func (t *target) disturb() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disturbedAt = time.Now()
}

// admit takes a slot for a request; ok is false when all slots are in use, or the target
// sheds load or wants a pause.
func (t *target) admit() (fault targetFault, load dialect.Load, said notice.Notice, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load = dialect.Load{Running: t.running, Slots: targetSlots}
	if t.running >= targetSlots || t.fault == targetSheds || t.said.Pause > 0 {
		return t.fault, load, t.said, false
	}
	t.running++
	return t.fault, load, t.said, true
}

func (t *target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := platform.Headers{}.ReadAttempt(r.Header)
	metadata := dialect.ResponseMetadata{AttemptID: attempt.AttemptID}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the request was truncated; nothing ran
	}
	if attempt.TargetID != t.id() {
		platform.Headers{}.WriteResponse(w.Header(), metadata)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, load, said, ok := t.admit()
	metadata.Load, metadata.Notice = &load, said
	sender := vmAt(t.link.clientAt(r.RemoteAddr))
	t.checker.recordArrival(arrival{process: t.process(), requestID: attempt.AttemptID, at: time.Now(), said: said, vm: sender})
	if !ok {
		metadata.NotRun = true
		platform.Headers{}.WriteResponse(w.Header(), metadata)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release()
	if crashesTarget(r) {
		t.checker.recordCrash(r.URL.Path, run{requestID: attempt.AttemptID, target: t.id(), at: time.Now()})
		t.crash(t, r)
		panic(http.ErrAbortHandler)
	}
	begun := run{requestID: attempt.AttemptID, target: t.id(), at: time.Now(), vm: sender, linkHarmed: t.link.harmedWithin(StabilityTime), targetFaulty: fault != targetHealthy}
	t.checker.recordRun(begun)
	if strings.HasPrefix(r.URL.Path, keyedPrefix) {
		t.checker.recordKeyedRun(keyedRun{requestID: attempt.AttemptID, target: t.id(), customer: attempt.Customer, hasKey: attempt.Key != "", at: time.Now()})
	}
	t.work(r, begun, fault)
	metadata.Signed = true
	t.respond(r.Context(), w, metadata, fault, expectedBody(attempt.AttemptID, body))
}

// respond writes the response, or fails as the fault demands.
func (t *target) respond(ctx context.Context, w http.ResponseWriter, metadata dialect.ResponseMetadata, fault targetFault, body string) {
	platform.Headers{}.WriteResponse(w.Header(), metadata)
	w.Header().Set(placeHeader, placeValue)
	switch fault {
	case targetFails:
		w.WriteHeader(http.StatusInternalServerError)
	case targetHangs:
		<-ctx.Done()
	case targetResets:
		panic(http.ErrAbortHandler)
	case targetTruncates:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush() // the client may be gone
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// placeHeader is a header of each served response; its value is in ISO 8859-1, as HTTP allows.
const placeHeader, placeValue = "X-Place", "J\xf5hvi"

// expectedBody returns the response body that a target sends for a request.
func expectedBody(requestID string, body []byte) string {
	return fmt.Sprintf("answer to %s of %d bytes", requestID, len(body))
}
