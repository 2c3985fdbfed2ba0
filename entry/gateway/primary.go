package gateway

import (
	"context"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// maxPrimaries is the number of primary VMs that a request is forwarded to, one after the
// other.
const maxPrimaries = 2

// forwardToPrimary lets a primary VM of this VM's zone serve the request: a VM that is no
// primary VM knows little of the targets, may not retry and has no connections to them. ok is
// false when this VM is to serve the request itself, which it can't once a VM that refused the
// request has got a part of the body that is not held.
func (q *request) forwardToPrimary(ctx context.Context) (got *targetResponse, refusal *outcome.Refusal, ok bool) {
	var tried []string
	var last *outcome.Refusal
	for len(tried) < maxPrimaries && !q.isForwarded && q.body.replayable() {
		vm, client, found := q.gateway.options.Carriers.Primary(q.service, tried)
		if !found {
			break
		}
		tried = append(tried, vm)
		result := q.forwardTo(ctx, vm, client)
		q.logForwarded(vm, result)
		last = result.refusal
		switch {
		case result.response != nil:
			return result.response, nil, true
		case ctx.Err() != nil:
			got, refusal = q.afterForward(result.refusal)
			return got, refusal, true
		case result.otherMayServe:
			continue
		case !q.mayRunAgain(result.refusal):
			got, refusal = q.afterForward(result.refusal)
			return got, refusal, true
		}
		q.sentAttempts++
		q.mayHaveRun = true
	}
	if q.mayHaveRun {
		got, refusal = q.afterForward(&outcome.Refusal{Outcome: outcome.MayHaveRun, Reason: outcome.ReasonForwardFailed, Step: outcome.StepForward, Peer: q.service})
		return got, refusal, true
	}
	if last != nil && !q.body.replayable() {
		got, refusal = q.afterForward(last)
		return got, refusal, true
	}
	return nil, nil, false
}

// mayRunAgain reports whether a request that a VM did not finish may go to another one.
func (q *request) mayRunAgain(refusal *outcome.Refusal) bool {
	return refusal.Reason == outcome.ReasonForwardFailed && q.route.Kind.Idempotent() && q.sentAttempts+1 < q.route.MaxAttempts
}
