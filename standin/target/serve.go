package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPastResponses is the number of responses kept for the out-of-order fault.
const maxPastResponses = 4

// pastResponse is a response that a later request may receive in place of its own.
type pastResponse struct {
	correlation string
	body        []byte
}

// Response is the JSON body of a response: which request ran on which target.
type Response struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	// BodyBytes is the number of bytes received with the request.
	BodyBytes int64 `json:"body_bytes"`
	// Padding is as long as the query parameter "bytes" requests.
	Padding string `json:"padding,omitempty"`
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if t.onRequest != nil {
		t.onRequest(r)
	}
	w.Header().Set(CorrelationHeader, r.Header.Get(CorrelationHeader))
	faults := t.activeFaults()
	if t.refuseIfDraining(w) {
		return
	}
	if faults.CrashPath != "" && strings.HasPrefix(r.URL.Path, faults.CrashPath) {
		t.crash(r, faults)
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !t.acquireSlot(ctx, w) {
		return
	}
	defer t.releaseSlot()
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.recordRun(r.Header.Get(RequestIDHeader))
	t.run(ctx, w, r, faults, received)
}

// run waits for the service time and writes the response, or fails as the faults
// specify.
func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request, faults Faults, received int64) {
	if happens(faults.HangShare) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !wait(ctx, t.drawServiceTime(faults)) {
		http.Error(w, "deadline passed or canceled", http.StatusGatewayTimeout)
		return
	}
	_ = wait(context.WithoutCancel(ctx), faults.LateBy.Std())
	if happens(faults.ResetShare) {
		panic(http.ErrAbortHandler)
	}
	response := Response{Target: t.options.Name, RequestID: r.Header.Get(RequestIDHeader), BodyBytes: received}
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > 0 {
		response.Padding = strings.Repeat("x", min(size, 64<<20))
	}
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	t.writeResponse(w, r, faults, body)
}

// writeResponse writes the response, altered as the faults specify.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, faults Faults, body []byte) {
	correlation := r.Header.Get(CorrelationHeader)
	status := http.StatusOK
	switch {
	case happens(faults.ErrorShare):
		status = http.StatusInternalServerError
		body = []byte(`{"error":"internal"}`)
	case happens(faults.WrongShare):
		correlation = "wrong-" + correlation
		body = []byte(`{"target":"nobody","request_id":"another"}`)
	case happens(faults.OutOfOrderShare):
		correlation, body = t.swapResponse(correlation, body)
	}
	w.Header().Set(CorrelationHeader, correlation)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if happens(faults.TruncateShare) {
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// swapResponse stores a response and returns the oldest stored one in its place,
// which is the same response if no other is stored.
func (t *Target) swapResponse(correlation string, body []byte) (string, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pastResponses = append(t.pastResponses, pastResponse{correlation: correlation, body: body})
	earlier := t.pastResponses[0]
	if len(t.pastResponses) > maxPastResponses {
		t.pastResponses = t.pastResponses[1:]
	}
	return earlier.correlation, earlier.body
}

// recordRun counts a run of the request with the given identifier.
func (t *Target) recordRun(id string) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}

// acquireSlot waits for a free slot. If the queue is full or the context ends, it
// sheds the request and returns false.
func (t *Target) acquireSlot(ctx context.Context, w http.ResponseWriter) bool {
	stop := context.AfterFunc(ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.changed.Broadcast()
	})
	defer stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= t.options.Slots && t.queued >= t.options.Queue {
		writeShed(w)
		return false
	}
	t.queued++
	for t.inFlight >= t.options.Slots && ctx.Err() == nil {
		t.changed.Wait()
	}
	t.queued--
	if ctx.Err() != nil {
		writeShed(w)
		return false
	}
	t.inFlight++
	return true
}

// writeShed responds that the request was shed without being run.
func writeShed(w http.ResponseWriter) {
	w.Header().Set(ShedHeader, "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.changed.Broadcast()
}

// refuseIfDraining refuses the request if the target is draining and reports
// whether it did.
func (t *Target) refuseIfDraining(w http.ResponseWriter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		return false
	}
	w.Header().Set(DrainingHeader, "1")
	http.Error(w, "draining", http.StatusServiceUnavailable)
	return true
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	faults := t.activeFaults()
	t.mu.Lock()
	draining := t.draining
	t.mu.Unlock()
	if draining {
		w.Header().Set(DrainingHeader, "1")
	}
	faulty := faults.HangShare > 0 || faults.ErrorShare > 0 || faults.WrongShare > 0
	unhealthy := faults.Health == HealthAlwaysUnhealthy || (faults.Health == HealthTruthful && faulty)
	if unhealthy {
		http.Error(w, "unwell", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "well")
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	faults := t.activeFaults()
	t.mu.Lock()
	if t.lastLoadReport.at.IsZero() || time.Since(t.lastLoadReport.at) >= faults.LoadLag.Std() {
		t.lastLoadReport = loadReport{at: time.Now(), value: Load{InFlight: t.inFlight, Slots: t.options.Slots, Queued: t.queued}}
	}
	report := t.lastLoadReport.value
	t.mu.Unlock()
	if faults.LoadIdle {
		report = Load{Slots: t.options.Slots}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// requestContext returns a context that ends at the caller's deadline or when the
// caller disconnects.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := strconv.ParseInt(r.Header.Get(TimeoutHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
}

// wait sleeps for d and returns false if the context ended first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
