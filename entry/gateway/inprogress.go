package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
)

// requestsInProgress holds the requests that are being served, those of other VMs included. Its
// zero value is ready.
type requestsInProgress struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	// latest is when the latest request began.
	latest time.Time
}

// begin adds a request. The returned function removes it.
func (p *requestsInProgress) begin(q *request) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = make(map[*request]struct{})
	}
	p.requests[q] = struct{}{}
	p.latest = q.start
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.requests, q)
	}
}

// all returns the requests in progress and when the latest one began, which may have ended.
func (p *requestsInProgress) all() (requests []*request, latest time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for q := range p.requests {
		requests = append(requests, q)
	}
	return requests, p.latest
}

// InProgress returns the number of requests that are being served, those of other VMs included.
func (g *Gateway) InProgress() int {
	g.inProgress.mu.Lock()
	defer g.inProgress.mu.Unlock()
	return len(g.inProgress.requests)
}

// LogCut logs the requests that are in progress at the end of a planned stop, which began at a time.
// It returns their number and how long after its begin the latest request arrived.
func (g *Gateway) LogCut(stopBegan time.Time) (cut int, latest time.Duration) {
	requests, arrived := g.inProgress.all()
	for _, q := range requests {
		g.metrics.cut()
		events.RequestCut.Log(g.options.Logger, "request", q.metadata.AttemptID, "at", q.position(), "forwarded", q.isForwarded, "chunked", len(q.caller.TransferEncoding) > 0,
			"arrived_after_ms", q.start.Sub(stopBegan).Milliseconds(), "in_progress_ms", time.Since(q.start).Milliseconds(), "caller", q.caller.RemoteAddr)
	}
	return len(requests), max(arrived.Sub(stopBegan), 0)
}

// logCallerGone logs, while the VM stops, that a request ends without a response since its caller's
// connection has ended.
func (q *request) logCallerGone() {
	if !q.gateway.options.Stopping() {
		return
	}
	events.CallerGoneAtStop.Log(q.gateway.options.Logger, "request", q.metadata.AttemptID, "at", q.position(), "forwarded", q.isForwarded,
		"in_progress_ms", time.Since(q.start).Milliseconds(), "caller", q.caller.RemoteAddr, "cause", context.Cause(q.caller.Context()))
}

// moveTo records where the request is: the VM or the target that has it now.
func (q *request) moveTo(peer string) { q.peer.Store(&peer) }

// position returns the VM or the target that has the request; empty before it is passed on.
func (q *request) position() string {
	if peer := q.peer.Load(); peer != nil {
		return *peer
	}
	return ""
}
