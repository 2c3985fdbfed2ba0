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
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// Header fields between callers, the fleet and targets.
const (
	CredentialHeader  = "Primroseloom-Credential"
	TimeoutHeader     = "Primroseloom-Timeout-Ms"
	OutcomeHeader     = "Primroseloom-Outcome"
	CorrelationHeader = "Primroseloom-Correlation"
	KeyHeader         = "Idempotency-Key"
)

// Limits bound what one request may take.
type Limits struct {
	// BodyBytes is the size of a request's body; zero for no bound.
	BodyBytes int64
	// HeldAnswerBytes is the size up to which an answer is held until whole.
	HeldAnswerBytes int64
	// HeldBytes is the memory of all answers held at a time.
	HeldBytes int64
	// Progress is the longest time without a byte from or to a caller in the
	// middle of a body.
	Progress time.Duration
}

// DefaultLimits are the limits where the settings say nothing.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:       1 << 30,
		HeldAnswerBytes: 256 << 10,
		HeldBytes:       64 << 20,
		Progress:        10 * time.Second,
	}
}

// Deciders are the pure decisions that the proxy acts upon.
type Deciders struct {
	Failures   dispatch.Decider
	Writes     dispatch.WriteChecker
	Records    dispatch.Table
	Quarantine quarantine.Registry
}

// Options are what a proxy is built from. Network and News may be nil.
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
	// Deciders replaces the decisions; nil fields keep the usual ones.
	Deciders Deciders
}

// Proxy answers callers from targets.
type Proxy struct {
	options  Options
	limits   Limits
	deciders Deciders
	keyed    *dispatcher
	suspects *suspects
	counters counters
	held     atomic.Int64
	draining atomic.Bool
	pause    pauseWatch
	// forwarded is the number of requests in progress for other VMs.
	forwarded atomic.Int64
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
	p := &Proxy{options: options, limits: options.Limits, deciders: deciders}
	p.counters = newCounters(options.Scope)
	p.keyed = newDispatcher(deciders.Records, options.Clock)
	p.suspects = newSuspects(options, deciders.Quarantine)
	return p
}

// Handle serves one request from gin.
func (p *Proxy) Handle(c *gin.Context) { p.ServeHTTP(c.Writer, c.Request) }

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.draining.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
	out := &replyWriter{ResponseWriter: w, progress: p.limits.Progress, noChunks: !r.ProtoAtLeast(1, 1)}
	out.extend()
	if err := p.serve(out, r); err != nil {
		p.fail(out, r, err)
		return
	}
	p.counters.answered.Inc(1)
}

// serve answers a request or returns the refusal.
func (p *Proxy) serve(w *replyWriter, r *http.Request) error {
	call, err := p.admit(r)
	if err != nil {
		return unlessKeyed(r, err)
	}
	defer call.cancel()
	defer call.upload.stop()
	w.until = call.deadline.Add(replyGrace)
	call.upload.attach(w)
	if err := call.upload.fill(); err != nil {
		return unlessKeyed(r, uploadRefusal(err, r.RemoteAddr))
	}
	return p.route(call, w)
}

// route serves a request here or on its dispatcher.
func (p *Proxy) route(c *call, w *replyWriter) error {
	if c.key != nil && !p.isDispatcher(c.key) {
		return p.forward(c, w)
	}
	if c.key != nil {
		return p.dispatchKeyed(c, w)
	}
	answer, err := p.run(c, w)
	if err != nil {
		return err
	}
	return reply(w, answer, c.request.Method, outcome.Answered)
}

// fail tells the caller about a refusal, or aborts a reply that has begun.
func (p *Proxy) fail(w *replyWriter, r *http.Request, err error) {
	refusal := refusalOf(err)
	p.counters.refused(refusal)
	p.logRefusal(r, refusal)
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refusal)
}

// refusalOf returns the refusal in an error; any other error may hide a run.
func refusalOf(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.Refuse(outcome.MayHaveRun, outcome.ReasonTargetReset, outcome.StepRead, "", err)
}

// QuarantineList returns the suspects and quarantines.
func (p *Proxy) QuarantineList() []quarantine.Entry { return p.suspects.list() }

// QuarantineLift ends a quarantine on this VM and tells the others. It reports
// whether this VM had one.
func (p *Proxy) QuarantineLift(fingerprint quarantine.Fingerprint) bool {
	return p.suspects.lift(fingerprint)
}
