package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	service     = "booking"
	targetSlots = 3
	// workTime is what a target works on a request.
	workTime = 40 * time.Millisecond
	// slowWork is what a slow target works.
	slowWork = 600 * time.Millisecond
)

// targetFault is how a target misbehaves.
type targetFault int

// The faults of a target; health is never told.
const (
	targetHealthy targetFault = iota
	targetFails
	targetSlow
	targetHangs
	targetResets
	targetTruncates
	targetSheds
	targetFaults
)

// target is a stand-in target behind a link.
type target struct {
	info  roster.Target
	link  *link
	judge *judge

	mu      sync.Mutex
	fault   targetFault
	running int
}

// newTarget starts a target that callers reach at a link's address.
func newTarget(ctx context.Context, id, address, zone string, judge *judge) (*target, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for target %s: %w", id, err)
	}
	t := &target{judge: judge, info: roster.Target{
		ID: id, Service: service, Address: address, Zone: zone, SoftwareVersion: "v1", Slots: targetSlots, State: roster.StateReady, StartedAt: time.Now(),
	}}
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	t.link, err = newLink(ctx, address, listener.Addr().String())
	return t, err
}

func (t *target) set(fault targetFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

// take counts a request; ok is false when there is no room, or the target sheds.
func (t *target) take() (fault targetFault, load dialect.Load, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load = dialect.Load{Running: t.running, Slots: targetSlots}
	if t.running >= targetSlots || t.fault == targetSheds {
		return t.fault, load, false
	}
	t.running++
	return t.fault, load, true
}

func (t *target) free() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := platform.Headers{}.ReadAttempt(r.Header)
	answer := dialect.ResponseMetadata{AttemptID: asked.AttemptID}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the sender broke off; nothing ran
	}
	if asked.TargetID != t.info.ID {
		platform.Headers{}.WriteResponse(w.Header(), answer)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault, load, ok := t.take()
	answer.Load = &load
	if !ok {
		answer.NotRun = true
		platform.Headers{}.WriteResponse(w.Header(), answer)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.free()
	t.judge.ran(run{attempt: asked.AttemptID, target: t.info.ID, at: time.Now(), failed: fault != targetHealthy})
	answer.Signed = true
	t.answer(r.Context(), w, answer, fault, wholeAnswer(asked.AttemptID, body))
}

// answer works and answers, or fails as the fault says.
func (t *target) answer(ctx context.Context, w http.ResponseWriter, answer dialect.ResponseMetadata, fault targetFault, body string) {
	work := workTime
	if fault == targetSlow {
		work = slowWork
	}
	select {
	case <-time.After(work):
	case <-ctx.Done():
	}
	platform.Headers{}.WriteResponse(w.Header(), answer)
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
		_ = http.NewResponseController(w).Flush() // a sender that is gone needs no answer
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// wholeAnswer is the body that answers a request.
func wholeAnswer(attempt string, body []byte) string {
	return fmt.Sprintf("answer to %s of %d bytes", attempt, len(body))
}
