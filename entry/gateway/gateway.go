package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/entry/internal/requestpath"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

const (
	// DefaultTimeout is the time limit of a request whose route sets none; a caller
	// may shorten it.
	DefaultTimeout = 10 * time.Second
	// timeoutResponseSlack is how long after a request's deadline the gateway waits
	// for the target's own timeout response.
	timeoutResponseSlack = 80 * time.Millisecond
)

// Targets starts attempts at targets.
type Targets interface {
	RequestArrived(service string)
	Begin(wanted targetset.AttemptRequest) (*targetset.Attempt, error)
	// MayRetry reports whether the retry budget of a service has room for another attempt.
	MayRetry(service string) bool
	// HedgeAfter returns the time after which a second attempt beside one that has just begun
	// may be due; zero for never.
	HedgeAfter(first *targetset.Attempt) time.Duration
	// Hedge begins a second attempt beside one in progress, if that is allowed now.
	Hedge(first *targetset.Attempt, wanted targetset.AttemptRequest) targetset.HedgeAnswer
}

// Options are what a Gateway is built from.
type Options struct {
	Dialect dialect.Dialect
	// Table returns the current routes, or nil before the first version arrived.
	Table   func() *routing.Table
	Targets Targets
	// Crashes finds the requests that crash their targets.
	Crashes CrashTracker
	// Carriers chooses the other VMs that serve what this VM can't.
	Carriers Carriers
	// Keys tells whether requests with keys may be served by the routes; nil means always.
	Keys KeyFreshness
	// Quotas limits the requests of customers; nil limits none.
	Quotas Quotas
	// Fleet and VM name this fleet and this VM to other VMs.
	Fleet, VM string
	// Stopping reports whether connections are closed after their response.
	Stopping func() bool
	// MemoryMB is the VM's memory in megabytes; 0 sets no bound on the bytes held. LinkMbps is
	// its link in megabits a second, which matters only with MemoryMB.
	MemoryMB, LinkMbps float64
	// Capacity is the requests a second that the VM can serve.
	Capacity uint32
	Logger   *log.Logger
	Scope    tally.Scope
}

// Gateway is the HTTP handler of callers' requests.
type Gateway struct {
	options Options
	metrics *counters
	rate    rate
	// memory bounds the bytes held; nil for no bound.
	memory *memory
	// forwarded counts the requests of other VMs in progress.
	forwarded forwarding.InProgress
	// inProgress holds all requests in progress.
	inProgress requestsInProgress
	// stopBy is when the VM's process ends; nil before its planned stop.
	stopBy atomic.Pointer[time.Time]
}

// New returns a gateway.
func New(options Options) *Gateway {
	scope := options.Scope.SubScope("gateway")
	return &Gateway{options: options, metrics: newCounters(scope), memory: newMemory(options.MemoryMB, options.LinkMbps, scope)}
}

// request is the state of one caller's request.
type request struct {
	gateway  *Gateway
	caller   *http.Request
	writer   http.ResponseWriter
	metadata dialect.Request
	route    *routing.Route
	// customer is the authenticated customer; nil on public routes and where callers need no
	// key. authenticates is true when callers' credentials end at the proxy.
	customer      *routing.Customer
	authenticates bool
	// keysNotCurrent is true when another VM has to authenticate the request.
	keysNotCurrent bool
	// isCharged is true once the request was charged to its customer's limit, here or by
	// another VM.
	isCharged bool
	service   string
	// isForwarded is true when another VM forwards the request, for the service
	// forwardedService.
	isForwarded      bool
	forwardedService string
	// routesVersion is the version of the routes by which the request is served.
	routesVersion uint64
	start         time.Time
	// deadline is when the final response is due.
	deadline time.Time
	body     body
	// identity tells the request from others, fingerprint is its hash, the same for all
	// retries of a request; the crash tracker counts crashes by it.
	identity    quarantine.Identity
	fingerprint quarantine.Fingerprint
	// refusedAs is the fingerprint by which the request is quarantined; zero when it is not.
	refusedAs quarantine.Fingerprint
	attempted []string
	// sentAttempts is the number of attempts of which at least one byte was written.
	sentAttempts int
	// retryPaid is true when the retry budget was already charged for the next
	// attempt.
	retryPaid bool
	// isHedged is true once the request has had a second attempt beside its first.
	isHedged bool
	// notRetried is why the last attempt was not followed by another.
	notRetried string
	// mayHaveRun is true once an attempt ended without proof that the request did
	// not run.
	mayHaveRun bool
	// failure is the last failure response of a target that can be passed on, or nil.
	failure *targetResponse
	// holds are the reservations of memory.
	holds reservations
	// peer is the VM or the target that the request was passed on to last.
	peer atomic.Pointer[string]
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := g.newRequest(w, r)
	if refusal := g.serve(w, q); refusal != nil {
		g.announceClose(w.Header(), r)
		g.refuse(w, q, refusal)
	}
}

// announceClose tells the caller, while the VM stops, that its connection ends with this response,
// unless pipelined requests have arrived on it: they would get no response.
func (g *Gateway) announceClose(header http.Header, r *http.Request) {
	if g.options.Stopping() && !readahead.HasPipelined(r) {
		header.Set("Connection", "close")
	}
}

// newRequest returns the state of a request that has just arrived.
func (g *Gateway) newRequest(w http.ResponseWriter, r *http.Request) *request {
	q := &request{gateway: g, caller: r, writer: w, metadata: g.options.Dialect.ReadRequest(r.Header), start: time.Now()}
	g.rate.add(q.start)
	return q
}

// serve serves a request, or returns why not. When the caller is gone, it panics with
// http.ErrAbortHandler: net/http sends a response of status 200 for a handler that returns without
// one, and a caller that has closed only its sending direction would take it for a success.
func (g *Gateway) serve(w http.ResponseWriter, q *request) *outcome.Refusal {
	defer g.inProgress.begin(q)()
	defer q.releaseHolds()
	defer q.body.close()
	if refusal := q.prepare(w); refusal != nil {
		return refusal
	}
	r := q.caller
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline.Add(timeoutResponseSlack))
	defer cancel()
	got, refusal := q.run(ctx)
	switch {
	case r.Context().Err() != nil:
		g.metrics.refused(outcome.ReasonCallerGone)
		q.logCallerGone()
		if got != nil {
			got.discard()
		}
		panic(http.ErrAbortHandler)
	case refusal != nil:
		return refusal
	}
	return q.passOn(w, got)
}

// prepare checks the request, finds its route and reads its body.
func (q *request) prepare(w http.ResponseWriter) *outcome.Refusal {
	isCurrent := q.gateway.keysCurrent()
	table := q.gateway.options.Table()
	if table == nil {
		return refuse(outcome.ReasonNoConfiguration, outcome.StepRoute, noConfigurationWait)
	}
	if q.metadata.AttemptID == "" {
		return refuse(outcome.ReasonBadRequest, outcome.StepParse, 0)
	}
	route, ok := table.Match(q.caller.Host, requestpath.ForRoutes(q.caller.URL))
	if ok {
		if refusal := q.checkKey(table, route, isCurrent); refusal != nil {
			return refusal
		}
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerBytes(q.caller) > limit {
		return refuse(outcome.ReasonHeaderTooLarge, outcome.StepParse, 0)
	}
	if !ok {
		return refuse(outcome.ReasonUnknownHost, outcome.StepRoute, 0)
	}
	q.route, q.routesVersion = route, table.Version()
	q.service = q.pickService(rand.Float64())
	q.deadline = q.start.Add(q.timeLimit())
	if refusal := q.refuseAtStop(); refusal != nil {
		return refusal
	}
	if refusal := q.chargeOnArrival(); refusal != nil {
		return refusal
	}
	q.gateway.options.Targets.RequestArrived(q.service)
	if refusal := q.reserveRequest(); refusal != nil {
		return refusal
	}
	if refusal := q.body.read(w, q.caller, table.Limits().BodyBytes, q.deadline); refusal != nil {
		return refusal
	}
	q.identity = identify(q.caller, q.route.Host, q.body.buffered)
	q.fingerprint = q.identity.Exact()
	return nil
}

// timeLimit returns the shorter of the route's timeout and the time that the
// caller waits.
func (q *request) timeLimit() time.Duration {
	limit := DefaultTimeout
	if q.route.Timeout > 0 {
		limit = q.route.Timeout
	}
	if q.metadata.Remaining > 0 {
		limit = min(limit, q.metadata.Remaining)
	}
	return limit
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }
