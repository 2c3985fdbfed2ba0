package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

const (
	// defaultTimeout stands for a caller's and a route's time when neither is told.
	defaultTimeout = 10 * time.Second
	// answerSlack is how long after the end of a request's time its target's
	// own word on that may take to arrive.
	answerSlack = 80 * time.Millisecond
)

// Targets makes attempts.
type Targets interface {
	Arrived(service string)
	Begin(ask targetset.Ask) (*targetset.Attempt, error)
}

// Options are what a Gateway is built from.
type Options struct {
	Dialect dialect.Dialect
	// Table returns the routes in force, or nil before the first version.
	Table   func() *routing.Table
	Targets Targets
	// Crashes judges requests that crash their targets.
	Crashes CrashTracker
	// Stopping reports whether connections are to be closed after their answer.
	Stopping func() bool
	Logger   *log.Logger
	Scope    tally.Scope
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	options Options
	metrics *counters
	rate    rate
}

// New returns a gateway.
func New(options Options) *Gateway {
	return &Gateway{options: options, metrics: newCounters(options.Scope.SubScope("gateway"))}
}

// request is one caller's request on its way.
type request struct {
	gateway *Gateway
	caller  *http.Request
	told    dialect.Request
	route   *routing.Route
	service string
	began   time.Time
	// due is when the final answer is owed.
	due  time.Time
	body body
	// print identifies what is asked, whoever asks.
	print uint64
	tried []string
	// sent counts the attempts of which a byte was written.
	sent int
	// paid is true when the next attempt is paid for.
	paid bool
	// notRetried is why the last attempt was not followed by another.
	notRetried string
	// mayHaveRun is true once an attempt was sent whose end proves nothing.
	mayHaveRun bool
	// failure is the last target's own failure, if it can be passed on.
	failure *answer
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{gateway: g, caller: r, told: g.options.Dialect.ReadRequest(r.Header), began: time.Now()}
	g.rate.add(q.began)
	if g.options.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if refusal := q.prepare(w); refusal != nil {
		g.refuse(w, q, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.due.Add(answerSlack))
	defer cancel()
	got, refusal := q.run(ctx)
	switch {
	case r.Context().Err() != nil:
		g.metrics.refused(outcome.ReasonCallerGone)
		if got != nil {
			got.discard()
		}
	case refusal != nil:
		g.refuse(w, q, refusal)
	default:
		g.deliver(w, q, got)
	}
}

// prepare checks the request, finds its route and reads its body.
func (q *request) prepare(w http.ResponseWriter) *outcome.Refusal {
	table := q.gateway.options.Table()
	if table == nil {
		return refuse(outcome.ReasonNoConfiguration, outcome.StepRoute, noConfigurationWait)
	}
	if q.told.AttemptID == "" {
		return refuse(outcome.ReasonBadRequest, outcome.StepParse, 0)
	}
	if limit := table.Limits().HeaderBytes; limit > 0 && headerBytes(q.caller) > limit {
		return refuse(outcome.ReasonHeaderTooLarge, outcome.StepParse, 0)
	}
	route, ok := table.Match(q.caller.Host, q.caller.URL.Path)
	if !ok {
		return refuse(outcome.ReasonUnknownHost, outcome.StepRoute, 0)
	}
	q.route = route
	q.service = route.Pick(rand.Float64())
	q.due = q.began.Add(q.allowed())
	q.gateway.options.Targets.Arrived(q.service)
	if refusal := q.body.read(w, q.caller, table.Limits().BodyBytes, q.due); refusal != nil {
		return refusal
	}
	q.print = fingerprint(q.caller, q.body.held)
	if q.gateway.options.Crashes.Refuses(q.print) {
		return refuse(outcome.ReasonQuarantined, outcome.StepRoute, 0)
	}
	return nil
}

// allowed returns how long the caller waits and the route allows.
func (q *request) allowed() time.Duration {
	allowed := defaultTimeout
	if q.route.Timeout > 0 {
		allowed = q.route.Timeout
	}
	if q.told.Remaining > 0 {
		allowed = min(allowed, q.told.Remaining)
	}
	return allowed
}

// remaining returns the time until the final answer is owed.
func (q *request) remaining() time.Duration { return time.Until(q.due) }
