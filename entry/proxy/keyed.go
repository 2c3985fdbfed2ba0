package proxy

import (
	"context"
	"sync"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// dispatcher guards the dispatch records and lets resends wait for a run.
type dispatcher struct {
	clock uptime.Clock

	mu      sync.Mutex
	table   dispatch.Table
	flights map[dispatch.ID]*flight
}

// flight is the run of a keyed request in progress.
type flight struct {
	done chan struct{}
	// answer and err are set before done is closed.
	answer *dispatch.Response
	err    error
}

func newDispatcher(table dispatch.Table, clock uptime.Clock) *dispatcher {
	return &dispatcher{clock: clock, table: table, flights: make(map[dispatch.ID]*flight)}
}

// begin asks the records; the flight is set for ActionRun and ActionJoin.
func (d *dispatcher) begin(id dispatch.ID, digest dispatch.Digest) (dispatch.Decision, *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := d.table.Begin(id, digest, d.clock.Uptime())
	if decision.Action == dispatch.ActionRun {
		d.flights[id] = &flight{done: make(chan struct{})}
	}
	return decision, d.flights[id]
}

// end records how a run ended and wakes those that wait for it.
func (d *dispatcher) end(id dispatch.ID, f *flight, c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if body, whole := c.upload.sum(); whole {
		d.table.SetBodyDigest(id, body)
	}
	d.table.End(id, dispatch.RunResult{Outcome: outcomeOf(f.err), Response: f.answer}, d.clock.Uptime())
	if d.flights[id] == f {
		delete(d.flights, id)
	}
	close(f.done)
}

func (d *dispatcher) sameBody(id dispatch.ID, body dispatch.Digest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.SameBody(id, body)
}

// outcomeOf returns what an error of a run says about the request.
func outcomeOf(err error) outcome.Outcome {
	if err == nil {
		return outcome.Answered
	}
	return refusalOf(err).Outcome
}

// isDispatcher reports whether this instance dispatches a key.
func (p *Proxy) isDispatcher(key *dispatch.Key) bool {
	self := p.options.Members.Self()
	return key.VM == self.GetVm() && key.Instance == self.GetInstance()
}

// dispatchKeyed runs a keyed request, joins its run, or answers from its record.
func (p *Proxy) dispatchKeyed(c *call, w *replyWriter) error {
	id := dispatch.ID{Customer: c.customer, Service: c.service.Name, Key: *c.key}
	decision, f := p.keyed.begin(id, c.requestDigest())
	switch decision.Action {
	case dispatch.ActionRun:
		return p.runKeyed(c, w, id, f)
	case dispatch.ActionRefuse:
		return p.refuseKeyed(c, id, decision)
	case dispatch.ActionJoin:
		p.counters.joined.Inc(1)
		return p.join(c, w, id, f)
	}
	if err := p.compareBody(c, id); err != nil {
		return err
	}
	p.counters.replayed.Inc(1)
	return reply(w, decision.Response, c.request.Method, outcome.Answered)
}

// refuseKeyed tells why a keyed request is not run. One whose key has run is
// first compared with that run.
func (p *Proxy) refuseKeyed(c *call, id dispatch.ID, decision dispatch.Decision) error {
	if decision.Reason == outcome.ReasonAlreadyRan {
		if err := p.compareBody(c, id); err != nil {
			return err
		}
	}
	refusal := contract.Refuse(decision.Outcome, decision.Reason, outcome.StepKey, c.key.VM, nil)
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// runKeyed runs a request on behalf of its key. When the whole body is here,
// the run goes on without its caller, so that a resend finds the answer.
func (p *Proxy) runKeyed(c *call, w *replyWriter, id dispatch.ID, f *flight) error {
	if c.upload.whole {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.deadline)
		defer cancel()
		c.ctx = ctx
	}
	f.err = contract.Refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan, outcome.StepKey, c.key.VM, nil)
	finish := sync.OnceFunc(func() { p.keyed.end(id, f, c) })
	defer finish()
	answer, err := p.run(c, w)
	f.answer, f.err = answer, err
	finish()
	if err != nil {
		return err
	}
	return reply(w, answer, c.request.Method, outcome.Answered)
}

// join waits for the run in progress and tells its end.
func (p *Proxy) join(c *call, w *replyWriter, id dispatch.ID, f *flight) error {
	select {
	case <-f.done:
	case <-c.ctx.Done():
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonDeadlineExceeded, outcome.StepKey, c.key.VM, c.ctx.Err())
	}
	if err := p.compareBody(c, id); err != nil {
		return err
	}
	if f.err != nil {
		copied := *refusalOf(f.err)
		return &copied
	}
	if f.answer == nil {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan, outcome.StepKey, c.key.VM, nil)
	}
	return reply(w, f.answer, c.request.Method, outcome.Answered)
}

// compareBody refuses a resend whose body differs past the part that is
// compared at once.
func (p *Proxy) compareBody(c *call, id dispatch.ID) error {
	if err := c.upload.drain(); err != nil {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonBadRequest, outcome.StepKey, c.request.RemoteAddr, err)
	}
	if body, whole := c.upload.sum(); whole && !p.keyed.sameBody(id, body) {
		return contract.Refuse(outcome.NotRun, outcome.ReasonKeyReused, outcome.StepKey, c.key.VM, nil)
	}
	return nil
}
