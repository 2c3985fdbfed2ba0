// Package target stands in for a target of a service, with faults on demand.
//
// A target runs as many requests at a time as it has slots and queues a few
// more; what goes beyond is shed. Every request that it runs is recorded by
// its identifier. Faults are set while it runs.
package target

import (
	"net/http"
	"sync"
	"time"
)

// Header fields that a target reads and writes.
const (
	CorrelationHeader = "Primroseloom-Correlation"
	TimeoutHeader     = "Primroseloom-Timeout-Ms"
	ShedHeader        = "Primroseloom-Shed"
	DrainingHeader    = "Primroseloom-Draining"
	// TrialHeader marks a request that tests whether the target is well again.
	TrialHeader = "Primroseloom-Trial"
	// RequestIDHeader identifies a request for the record of runs.
	RequestIDHeader = "Request-Id"
)

// Options describe a target.
type Options struct {
	Name string
	// Slots is the number of requests run at a time.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// MaxConnections is the number of connections accepted at a time.
	MaxConnections int
	// ServiceTime returns how long the next request takes.
	ServiceTime func() time.Duration
	// ColdFor is how long after its start the target is slow.
	ColdFor time.Duration
	// ColdFactor multiplies the service time of a cold target.
	ColdFactor float64
}

// Target is a running stand-in.
type Target struct {
	options Options

	mu      sync.Mutex
	changed *sync.Cond
	// started is when the process last started; in the future while it is down.
	started  time.Time
	faults   Faults
	inFlight int
	queued   int
	draining bool
	runs     map[string]int
	kept     []keptAnswer
	conns    map[connection]struct{}
	reported loadReport
	// onRequest is called when a request arrives, before anything else.
	onRequest func(*http.Request)
}

// loadReport is what the load endpoint last told.
type loadReport struct {
	at    time.Time
	value Load
}

// Load is a target's load report.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	Queued   int `json:"queued"`
}

// New returns a target without faults.
func New(options Options) *Target {
	if options.ServiceTime == nil {
		options.ServiceTime = func() time.Duration { return 0 }
	}
	t := &Target{
		options: options,
		started: time.Now(),
		runs:    make(map[string]int),
		conns:   make(map[connection]struct{}),
	}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// Name returns the target's name.
func (t *Target) Name() string { return t.options.Name }

// OnRequest sets a function that is called at the arrival of each request; it
// is set before the target serves.
func (t *Target) OnRequest(notify func(*http.Request)) { t.onRequest = notify }

// Drain makes the target refuse new work and say that it leaves.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Runs returns how often each request identifier was run.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, count := range t.runs {
		runs[id] = count
	}
	return runs
}

// Connections returns the number of open connections.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Handler serves the health and load endpoints and the target's requests.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.health)
	mux.HandleFunc("GET /load", t.load)
	mux.HandleFunc("/", t.serve)
	return mux
}
