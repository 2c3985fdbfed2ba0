package proxy

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// Header fields exchanged between callers, the fleet and targets.
const (
	CredentialHeader  = "Primroseloom-Credential"
	TimeoutHeader     = "Primroseloom-Timeout-Ms"
	OutcomeHeader     = "Primroseloom-Outcome"
	CorrelationHeader = "Primroseloom-Correlation"
	KeyHeader         = "Idempotency-Key"
)

// Limits bound the sizes and stalls of requests and responses.
type Limits struct {
	// MaxBodyBytes bounds the size of a request's body; zero for no bound.
	MaxBodyBytes int64
	// MaxBufferedResponseBytes is the size up to which a response is buffered
	// until it is complete; longer ones are streamed.
	MaxBufferedResponseBytes int64
	// MaxBufferedBytes bounds the memory of all responses buffered at a time.
	MaxBufferedBytes int64
	// MaxCallerBytes bounds the memory of what callers send that is kept at a time: heads, the beginnings
	// of bodies, and what requests in progress need beside their responses.
	MaxCallerBytes int64
	// StallTimeout is the longest time that a body may go without a byte read
	// from or written to the caller.
	StallTimeout time.Duration
}

// DefaultLimits returns the limits that apply unless the settings set others.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:             1 << 30,
		MaxBufferedResponseBytes: 256 << 10,
		MaxBufferedBytes:         64 << 20,
		MaxCallerBytes:           1 << 30,
		StallTimeout:             10 * time.Second,
	}
}

// Deciders are the decision rules that the proxy applies; they do no I/O.
type Deciders struct {
	Failures   dispatch.Decider
	Writes     dispatch.WriteChecker
	Records    dispatch.Table
	Quarantine quarantine.Registry
}

// Options configure a Proxy. Network, News, Logger and Scope may be nil.
type Options struct {
	Fleet         string
	Configuration contract.Configuration
	Targets       contract.Targets
	Members       contract.Members
	News          contract.News
	Network       contract.Network
	Clock         uptime.Clock
	Logger        *log.Logger
	Scope         tally.Scope
	Limits        Limits
	// Deciders replaces decision rules; nil fields keep the defaults.
	Deciders Deciders
}

// Proxy serves callers' requests by sending them to targets.
type Proxy struct {
	options    Options
	limits     Limits
	deciders   Deciders
	dispatcher *dispatcher
	suspects   *suspects
	silent     *silentTargets
	counters   counters
	buffers    bufferBudget
	// callerBytes bounds what is kept of what callers send.
	callerBytes bufferBudget
	// makeRoom closes a caller's connection that holds memory, if there is one to close, and reports
	// whether it has; nil for never.
	makeRoom func() bool
	draining atomic.Bool
	// inProgress is the number of callers' requests that are being served.
	inProgress atomic.Int64
	// stopBy is when the grace period of a planned stop ends; nil before it.
	stopBy atomic.Pointer[time.Time]
	pauses pauseMonitor
	// forwardedRequests is the number of requests in progress that other VMs
	// forwarded to this one.
	forwardedRequests forwarding.InProgress
}

// New returns a proxy.
func New(options Options) *Proxy {
	deciders := options.Deciders
	if deciders.Failures == nil {
		deciders.Failures = dispatch.Rules{}
	}
	if deciders.Writes == nil {
		deciders.Writes = dispatch.Rules{}
	}
	if deciders.Records == nil {
		deciders.Records = dispatch.NewRecords(dispatch.DefaultLimits())
	}
	p := &Proxy{options: options, limits: options.Limits, deciders: deciders, buffers: bufferBudget{limit: options.Limits.MaxBufferedBytes}}
	p.callerBytes.limit = options.Limits.MaxCallerBytes
	p.counters = newCounters(options.Scope)
	p.dispatcher = newDispatcher(deciders.Records, options.Clock)
	p.suspects = newSuspects(options, deciders.Quarantine)
	p.silent = newSilentTargets(options, p.suspects)
	return p
}

// Handle serves one request from gin.
func (p *Proxy) Handle(c *gin.Context) { p.ServeHTTP(c.Writer, c.Request) }

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inProgress.Add(1)
	defer p.inProgress.Add(-1)
	if p.draining.Load() && r.ProtoMajor == 1 && !readahead.HasPipelined(r) { // those behind it would get no response
		w.Header().Set("Connection", "close")
	}
	writer := &replyWriter{ResponseWriter: w, stallTimeout: p.limits.StallTimeout, noChunkedEncoding: !r.ProtoAtLeast(1, 1)}
	writer.extendWriteDeadline()
	if err := p.serve(writer, r); err != nil {
		p.sendRefusal(writer, r, err)
		return
	}
	p.counters.answered.Inc(1)
}

// serve writes the response to a request or returns the refusal.
func (p *Proxy) serve(writer *replyWriter, r *http.Request) error {
	call, err := p.admit(r)
	if err != nil {
		return uncertainIfKeyed(r, err)
	}
	defer call.cancel()
	defer call.held.release()
	defer call.kept.release()
	defer call.upload.stop()
	writer.maxWriteDeadline = call.deadline.Add(replyGrace)
	call.upload.attach(writer)
	if err := p.reservePrefix(call); err != nil {
		return uncertainIfKeyed(r, err)
	}
	if err := call.upload.readPrefix(); err != nil {
		return uncertainIfKeyed(r, uploadRefusal(err, r.RemoteAddr))
	}
	return p.route(call, writer)
}

// route runs a request on this VM, or forwards a keyed one to its dispatcher. A request
// without a key that could be sent to no target is forwarded to another VM.
func (p *Proxy) route(c *call, w *replyWriter) error {
	if c.key != nil && !p.isDispatcher(c.key) {
		return p.forward(c, w)
	}
	if c.key != nil {
		return p.dispatchKeyed(c, w)
	}
	err := p.runUnkeyed(c, w)
	if p.mayServeElsewhere(c, w, err) {
		return p.forwardElsewhere(c, w, err)
	}
	return err
}

// runUnkeyed runs a request without a key on this VM.
func (p *Proxy) runUnkeyed(c *call, w *replyWriter) error {
	buffered, err := p.run(c, w)
	if err != nil {
		return err
	}
	return sendBuffered(w, buffered, c.request.Method, outcome.Answered)
}

// sendRefusal sends a refusal to the caller, or aborts a response that has
// already started.
func (p *Proxy) sendRefusal(w *replyWriter, r *http.Request, err error) {
	refusal := asRefusal(err)
	p.counters.countRefusal(refusal)
	p.logRefusal(r, refusal)
	if w.started {
		panic(http.ErrAbortHandler)
	}
	readahead.LeaveBody(w, r)
	writeRefusal(w, refusal)
}

// asRefusal returns the refusal that an error wraps. Any other error becomes a
// "may have run" refusal, since a target may have run the request.
func asRefusal(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonTargetReset, outcome.StepRead, "", err)
}

// QuarantineList returns the suspected and quarantined requests.
func (p *Proxy) QuarantineList() []quarantine.Entry { return p.suspects.list() }

// QuarantineLift ends the quarantine of a fingerprint on this VM and publishes
// that to the other VMs. It reports whether this VM knew the fingerprint.
func (p *Proxy) QuarantineLift(fingerprint quarantine.Fingerprint) bool {
	return p.suspects.lift(fingerprint)
}
