package proxy

import (
	"context"
	"sync"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// dispatcher holds the dispatch records and lets a resend of a request wait for
// the run in progress.
type dispatcher struct {
	clock uptime.Clock

	mu    sync.Mutex
	table dispatch.Table
	runs  map[dispatch.ID]*keyedRun
}

// keyedRun is the run of a keyed request in progress.
type keyedRun struct {
	done chan struct{}
	// buffered and err are set before done is closed.
	buffered *dispatch.Response
	err      error
}

func newDispatcher(table dispatch.Table, clock uptime.Clock) *dispatcher {
	return &dispatcher{clock: clock, table: table, runs: make(map[dispatch.ID]*keyedRun)}
}

// begin returns the records' decision about a request, and for ActionRun and
// ActionJoin the run in progress.
func (d *dispatcher) begin(id dispatch.ID, digest dispatch.Digest) (dispatch.Decision, *keyedRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decision := d.table.Begin(id, digest, d.clock.Uptime())
	if decision.Action == dispatch.ActionRun {
		d.runs[id] = &keyedRun{done: make(chan struct{})}
	}
	return decision, d.runs[id]
}

// end records the result of a run and wakes the requests that wait for it.
func (d *dispatcher) end(id dispatch.ID, run *keyedRun, c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if digest, complete := c.upload.bodyDigest(); complete {
		d.table.SetBodyDigest(id, digest)
	}
	d.table.End(id, dispatch.RunResult{Outcome: outcomeOfRun(run.err), Response: run.buffered}, d.clock.Uptime())
	if d.runs[id] == run {
		delete(d.runs, id)
	}
	close(run.done)
}

func (d *dispatcher) sameBody(id dispatch.ID, body dispatch.Digest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.SameBody(id, body)
}

// outcomeOfRun returns the request's outcome for the error of its run.
func outcomeOfRun(err error) outcome.Outcome {
	if err == nil {
		return outcome.Answered
	}
	return asRefusal(err).Outcome
}

// isDispatcher reports whether this instance is the dispatcher of a key.
func (p *Proxy) isDispatcher(key *dispatch.Key) bool {
	self := p.options.Members.Self()
	return key.VM == self.GetVm() && key.Instance == self.GetInstance()
}

// dispatchKeyed runs a keyed request, joins a run in progress, or responds from
// the key's record.
func (p *Proxy) dispatchKeyed(c *call, w *replyWriter) error {
	id := dispatch.ID{Customer: c.customer, Service: c.service.Name, Key: *c.key}
	decision, run := p.dispatcher.begin(id, c.requestDigest())
	switch decision.Action {
	case dispatch.ActionRun:
		return p.runKeyed(c, w, id, run)
	case dispatch.ActionRefuse:
		return p.refuseKeyed(c, id, decision)
	case dispatch.ActionJoin:
		p.counters.joined.Inc(1)
		return p.joinRun(c, w, id, run)
	}
	if err := p.checkSameBody(c, id); err != nil {
		return err
	}
	p.counters.replayed.Inc(1)
	return sendBuffered(w, decision.Response, c.request.Method, outcome.Answered)
}

// refuseKeyed returns the refusal of a keyed request. A request whose key has
// already run is first compared with that run.
func (p *Proxy) refuseKeyed(c *call, id dispatch.ID, decision dispatch.Decision) error {
	if decision.Reason == outcome.ReasonAlreadyRan {
		if err := p.checkSameBody(c, id); err != nil {
			return err
		}
	}
	refusal := contract.NewRefusal(decision.Outcome, decision.Reason, outcome.StepKey, c.key.VM, nil)
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// runKeyed runs a keyed request. When the complete body is buffered, the
// run continues when the caller disconnects, so that a resend finds the response.
func (p *Proxy) runKeyed(c *call, w *replyWriter, id dispatch.ID, run *keyedRun) error {
	if c.upload.fullyBuffered {
		ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.deadline)
		defer cancel()
		c.ctx = ctx
	}
	run.err = contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonAlreadyRan, outcome.StepKey, c.key.VM, nil)
	finish := sync.OnceFunc(func() { p.dispatcher.end(id, run, c) })
	defer finish()
	buffered, err := p.run(c, w)
	run.buffered, run.err = buffered, err
	finish()
	if err != nil {
		return err
	}
	return sendBuffered(w, buffered, c.request.Method, outcome.Answered)
}

// joinRun waits for the run in progress and returns its result.
func (p *Proxy) joinRun(c *call, w *replyWriter, id dispatch.ID, run *keyedRun) error {
	select {
	case <-run.done:
	case <-c.ctx.Done():
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDeadlineExceeded, outcome.StepKey, c.key.VM, c.ctx.Err())
	}
	if err := p.checkSameBody(c, id); err != nil {
		return err
	}
	if run.err != nil {
		refusal := *asRefusal(run.err)
		return &refusal
	}
	if run.buffered == nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonAlreadyRan, outcome.StepKey, c.key.VM, nil)
	}
	return sendBuffered(w, run.buffered, c.request.Method, outcome.Answered)
}

// checkSameBody refuses a resend whose body differs from that of the run. The
// digest at dispatch covers only the beginning of a body; this compares the
// complete one.
func (p *Proxy) checkSameBody(c *call, id dispatch.ID) error {
	if err := c.upload.readRemaining(); err != nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonBadRequest, outcome.StepKey, c.request.RemoteAddr, err)
	}
	if digest, complete := c.upload.bodyDigest(); complete && !p.dispatcher.sameBody(id, digest) {
		return contract.NewRefusal(outcome.NotRun, outcome.ReasonKeyReused, outcome.StepKey, c.key.VM, nil)
	}
	return nil
}
