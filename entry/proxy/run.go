package proxy

import (
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// run makes attempts until one is answered or the rules forbid another. It
// returns the answer when it was held whole, nil when it was streamed.
func (p *Proxy) run(c *call, w *replyWriter) (*dispatch.Response, error) {
	c.fingerprint = c.print()
	history := &history{rules: p.deciders.Failures}
	for {
		release, err := p.suspects.enter(c)
		if err != nil {
			return nil, history.settle(err)
		}
		answer, verdict, failed := p.attemptOnce(c, w, history)
		release()
		if failed == nil {
			return answer, nil
		}
		failed = history.settle(failed)
		history.last = failed
		if !verdict.Retry || w.begun {
			return nil, failed
		}
		p.counters.retried(verdict.Reason)
	}
}

// history is what earlier attempts of a request leave to the next one.
type history struct {
	rules    dispatch.Decider
	attempts int
	// used names the targets of earlier attempts.
	used []string
	// resets names the targets that reset a fresh connection.
	resets []string
	// uncertain is true when an earlier attempt may have run.
	uncertain bool
	// last is the refusal of the attempt before, if there was one.
	last error
}

// explain prefers the reason of an attempt to that of a retry that found no target.
func (h *history) explain(err error) error {
	if h.last != nil {
		return h.last
	}
	return err
}

// settle makes a refusal tell of all attempts, not only of the last one.
func (h *history) settle(err error) error {
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) {
		return err
	}
	refusal.Outcome = h.rules.Combine(h.uncertain, refusal.Outcome)
	h.uncertain = refusal.Outcome == outcome.MayHaveRun
	return refusal
}

// attemptOnce acquires a target and makes one attempt, or two over the same
// grant when the first one's reused connection was lost.
func (p *Proxy) attemptOnce(c *call, w *replyWriter, h *history) (*dispatch.Response, dispatch.FailureDecision, error) {
	grant, err := p.options.Targets.Acquire(c.ctx, contract.AcquireRequest{
		Service:    c.service.Name,
		Customer:   c.customer,
		Deadline:   c.deadline,
		Idempotent: c.idempotent,
		Exclude:    h.used,
		Retry:      h.attempts > 0,
	})
	if err != nil {
		return nil, dispatch.FailureDecision{}, h.explain(acquireRefusal(err))
	}
	a := &attempt{proxy: p, call: c, grant: grant, history: h}
	defer a.finish()
	h.used = append(h.used, grant.Target().Name)
	answer, verdict, failed := a.do(w)
	if failed != nil && verdict.Retry && verdict.SameTarget && !w.begun {
		_ = h.settle(failed)
		p.counters.retried(verdict.Reason)
		a.fresh = true
		answer, verdict, failed = a.do(w)
	}
	return answer, verdict, failed
}

// acquireRefusal keeps the refusal of an Acquire and completes any other error.
func acquireRefusal(err error) error {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return contract.Refuse(outcome.NotRun, outcome.ReasonDeadlineExceeded, outcome.StepAdmission, "", err)
}

// remaining is the time until the deadline on the clock that counts suspension.
func (p *Proxy) remaining(c *call) time.Duration {
	return c.expires - p.options.Clock.Uptime()
}
