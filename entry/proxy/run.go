package proxy

import (
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// run makes attempts until one is answered or the rules forbid another. It
// returns the buffered response, or nil when the response was streamed.
func (p *Proxy) run(c *call, w *replyWriter) (*dispatch.Response, error) {
	c.identity = c.identify()
	c.fingerprint = c.identity.Exact()
	h := &history{rules: p.deciders.Failures}
	for {
		release, err := p.suspects.beginAttempt(c)
		if err != nil {
			return nil, h.combineOutcome(err)
		}
		buffered, decision, attemptErr := p.attemptOnce(c, w, h)
		release()
		if attemptErr == nil {
			return buffered, nil
		}
		attemptErr = h.combineOutcome(attemptErr)
		h.lastErr = attemptErr
		if !decision.Retry || w.started {
			return nil, attemptErr
		}
		p.counters.countRetry(decision.Reason)
	}
}

// history is the state that a request's attempts share.
type history struct {
	rules dispatch.Decider
	// sends is the number of times that the request was sent; an attempt may send
	// it twice.
	sends int
	// attemptedTargets names the targets of earlier attempts.
	attemptedTargets []string
	// resetTargets names the targets that reset a new connection.
	resetTargets []string
	// uncertain is true when the request may have run at an earlier send.
	uncertain bool
	// lastErr is the refusal of the previous attempt, if there was one.
	lastErr error
}

// preferLastErr returns the previous attempt's refusal, if there was one, in
// place of the error of a retry that found no target.
func (h *history) preferLastErr(err error) error {
	if h.lastErr != nil {
		return h.lastErr
	}
	return err
}

// combineOutcome sets a refusal's outcome to that of all attempts, not only of
// the last one.
func (h *history) combineOutcome(err error) error {
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	refusal.Outcome = h.rules.Combine(h.uncertain, refusal.Outcome)
	h.uncertain = refusal.Outcome == outcome.MayHaveRun
	return refusal
}

// attemptOnce acquires a slot of a target and makes one attempt. It makes a
// second one with the same slot when the first lost a reused connection.
func (p *Proxy) attemptOnce(c *call, w *replyWriter, h *history) (*dispatch.Response, dispatch.FailureDecision, error) {
	lease, err := p.options.Targets.Acquire(c.ctx, contract.AcquireRequest{
		Service:    c.service.Name,
		Customer:   c.customer,
		Deadline:   c.deadline,
		Idempotent: c.idempotent,
		Exclude:    h.attemptedTargets,
		Retry:      h.sends > 0,
	})
	if err != nil {
		return nil, dispatch.FailureDecision{}, h.preferLastErr(acquireRefusal(err))
	}
	a := &attempt{proxy: p, call: c, lease: lease, history: h}
	defer a.finish()
	h.attemptedTargets = append(h.attemptedTargets, lease.Target().Name)
	buffered, decision, attemptErr := a.send(w)
	if attemptErr != nil && decision.Retry && decision.SameTarget && !w.started {
		_ = h.combineOutcome(attemptErr)
		p.counters.countRetry(decision.Reason)
		a.freshConnection = true
		buffered, decision, attemptErr = a.send(w)
	}
	return buffered, decision, attemptErr
}

// acquireRefusal returns the refusal that an Acquire error wraps; any other
// error counts as an exceeded deadline.
func acquireRefusal(err error) error {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.NewRefusal(outcome.NotRun, outcome.ReasonDeadlineExceeded, outcome.StepAdmission, "", err)
}

// remainingTime returns the time until the deadline on the uptime clock, which
// also runs while the VM is suspended.
func (p *Proxy) remainingTime(c *call) time.Duration {
	return c.expiresAtUptime - p.options.Clock.Uptime()
}
