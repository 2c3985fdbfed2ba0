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

// maxKeptAnswers bounds the answers held for swapping.
const maxKeptAnswers = 4

// keptAnswer is an answer that a later request may get by mistake.
type keptAnswer struct {
	correlation string
	body        []byte
}

// Response is what a target answers: which request it ran and where.
type Response struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	// BodyBytes is the number of bytes received with the request.
	BodyBytes int64 `json:"body_bytes"`
	// Padding brings the answer to the size asked for by the query's "bytes".
	Padding string `json:"padding,omitempty"`
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if t.onRequest != nil {
		t.onRequest(r)
	}
	w.Header().Set(CorrelationHeader, r.Header.Get(CorrelationHeader))
	faults := t.activeFaults()
	if t.refuseDraining(w) {
		return
	}
	if faults.CrashPath != "" && strings.HasPrefix(r.URL.Path, faults.CrashPath) {
		t.crash(r, faults)
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !t.takeSlot(ctx, w) {
		return
	}
	defer t.freeSlot()
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	t.record(r.Header.Get(RequestIDHeader))
	t.run(ctx, w, r, faults, received)
}

// run spends the service time and writes the answer, or fails as the faults say.
func (t *Target) run(ctx context.Context, w http.ResponseWriter, r *http.Request, faults Faults, received int64) {
	if happens(faults.HangShare) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !wait(ctx, t.serviceTime(faults)) {
		http.Error(w, "deadline passed or canceled", http.StatusGatewayTimeout)
		return
	}
	_ = wait(context.WithoutCancel(ctx), faults.LateBy.Std())
	if happens(faults.ResetShare) {
		panic(http.ErrAbortHandler)
	}
	answer := Response{Target: t.options.Name, RequestID: r.Header.Get(RequestIDHeader), BodyBytes: received}
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > 0 {
		answer.Padding = strings.Repeat("x", min(size, 64<<20))
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	t.write(w, r, faults, body)
}

func (t *Target) write(w http.ResponseWriter, r *http.Request, faults Faults, body []byte) {
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
		correlation, body = t.swap(correlation, body)
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

// swap keeps an answer and returns an earlier one in its place, if there is one.
func (t *Target) swap(correlation string, body []byte) (string, []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = append(t.kept, keptAnswer{correlation: correlation, body: body})
	earlier := t.kept[0]
	if len(t.kept) > maxKeptAnswers {
		t.kept = t.kept[1:]
	}
	return earlier.correlation, earlier.body
}

func (t *Target) record(id string) {
	if id == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}

// takeSlot waits for a slot; it answers and returns false when there is none.
func (t *Target) takeSlot(ctx context.Context, w http.ResponseWriter) bool {
	stop := context.AfterFunc(ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.changed.Broadcast()
	})
	defer stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= t.options.Slots && t.queued >= t.options.Queue {
		shed(w)
		return false
	}
	t.queued++
	for t.inFlight >= t.options.Slots && ctx.Err() == nil {
		t.changed.Wait()
	}
	t.queued--
	if ctx.Err() != nil {
		shed(w)
		return false
	}
	t.inFlight++
	return true
}

// shed tells that the request was not run.
func shed(w http.ResponseWriter) {
	w.Header().Set(ShedHeader, "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (t *Target) freeSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.changed.Broadcast()
}

func (t *Target) refuseDraining(w http.ResponseWriter) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.draining {
		return false
	}
	w.Header().Set(DrainingHeader, "1")
	http.Error(w, "draining", http.StatusServiceUnavailable)
	return true
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	faults := t.activeFaults()
	t.mu.Lock()
	draining := t.draining
	t.mu.Unlock()
	if draining {
		w.Header().Set(DrainingHeader, "1")
	}
	sick := faults.HangShare > 0 || faults.ErrorShare > 0 || faults.WrongShare > 0
	unwell := faults.Health == HealthAlwaysUnhealthy || (faults.Health == HealthTruthful && sick)
	if unwell {
		http.Error(w, "unwell", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "well")
}

func (t *Target) load(w http.ResponseWriter, _ *http.Request) {
	faults := t.activeFaults()
	t.mu.Lock()
	if t.reported.at.IsZero() || time.Since(t.reported.at) >= faults.LoadLag.Std() {
		t.reported = loadReport{at: time.Now(), value: Load{InFlight: t.inFlight, Slots: t.options.Slots, Queued: t.queued}}
	}
	report := t.reported.value
	t.mu.Unlock()
	if faults.LoadIdle {
		report = Load{Slots: t.options.Slots}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// requestContext ends with the caller's deadline or when the caller goes away.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := strconv.ParseInt(r.Header.Get(TimeoutHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(timeout)*time.Millisecond)
}

// wait sleeps and reports whether the context was still good at the end.
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
