// Package target simulates a target of a service, with faults on demand.
//
// A target runs as many requests at a time as it has slots and queues a few
// more; requests beyond that are shed. It counts the runs of each request
// identifier. Faults can be changed while the target is running.
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
	// TrialHeader marks a trial: a request that tests whether the target has recovered.
	TrialHeader = "Primroseloom-Trial"
	// RequestIDHeader carries the identifier under which runs of a request are counted.
	RequestIDHeader = "Request-Id"
)

// Options configure a target.
type Options struct {
	Name string
	// Slots is the number of requests that run at a time.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// MaxConnections is the maximum number of open connections; zero means no limit.
	MaxConnections int
	// ServiceTime returns the service time of the next request.
	ServiceTime func() time.Duration
	// ColdFor is how long after its start the target is cold, and thus slow.
	ColdFor time.Duration
	// ColdFactor multiplies the service time of a cold target.
	ColdFactor float64
}

// Target is a simulated target.
type Target struct {
	options Options

	mu      sync.Mutex
	changed *sync.Cond
	// startedAt is when the simulated process last started; it is in the future
	// while the target is down after a crash.
	startedAt      time.Time
	faults         Faults
	inFlight       int
	queued         int
	draining       bool
	runs           map[string]int
	pastResponses  []pastResponse
	conns          map[connection]struct{}
	lastLoadReport loadReport
	// onRequest, if set, is called when a request arrives, before any processing.
	onRequest func(*http.Request)
}

// loadReport is a load report and the time of its measurement.
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
		options:   options,
		startedAt: time.Now(),
		runs:      make(map[string]int),
		conns:     make(map[connection]struct{}),
	}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// Name returns the target's name.
func (t *Target) Name() string { return t.options.Name }

// OnRequest sets a function that is called when a request arrives. It must be
// called before the target serves.
func (t *Target) OnRequest(notify func(*http.Request)) { t.onRequest = notify }

// Drain makes the target refuse new requests and announce that it is draining.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Runs returns how many times each request was run, by request identifier.
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

// Handler returns a handler of the health and load endpoints and of requests to
// the service.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.serveHealth)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("/", t.serve)
	return mux
}
