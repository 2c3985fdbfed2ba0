package gateway

import (
	"context"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

const (
	// memoryWait is about the time in which responses that are being delivered free memory.
	memoryWait = 300 * time.Millisecond
	// maxRoomCarriers is the number of other VMs that are asked to serve a request for which
	// this VM has no memory.
	maxRoomCarriers = 2
)

// newHold returns a part of the budget that is released at the end of the request.
func (q *request) newHold() *hold {
	part := q.gateway.memory.newHold()
	if part != nil {
		q.holds = append(q.holds, part)
	}
	return part
}

// releaseHolds releases what the request has reserved.
func (q *request) releaseHolds() {
	for _, part := range q.holds {
		part.release()
	}
}

// reserveRequest reserves what the request itself needs.
func (q *request) reserveRequest() *outcome.Refusal {
	q.body.hold = q.newHold()
	if !q.body.hold.grow(requestBytes) {
		return noMemory()
	}
	return nil
}

// noMemory returns the refusal of a request that did not run for lack of memory.
func noMemory() *outcome.Refusal {
	return refuse(outcome.ReasonNoMemory, outcome.StepAdmission, memoryWait)
}

// reserveResponse reserves what the next response needs, as far as its route's responses
// tell, unless it has a reservation already.
func (q *request) reserveResponse() bool {
	if q.spare == nil {
		q.spare = q.newHold()
	}
	return q.spare.isReserved() || q.spare.grow(max(q.gateway.memory.estimate(q.route), largePart))
}

// takeSpare returns the reservation for the next response, an empty one if there is none.
func (q *request) takeSpare() *hold {
	spare := q.spare
	q.spare = nil
	if spare == nil {
		return q.newHold()
	}
	return spare
}

// withoutMemory returns the response or refusal of a request for whose next response this VM
// has no memory.
func (q *request) withoutMemory(ctx context.Context) (*targetResponse, *outcome.Refusal) {
	if q.failure != nil {
		q.notRetried = string(outcome.ReasonNoMemory)
		q.logFailure()
		return q.failure, nil
	}
	if got, refusal, ok := q.forwardForRoom(ctx); ok {
		return got, refusal
	}
	refusal := noMemory()
	refusal.Outcome, refusal.Peer = q.outcome(), q.service
	return nil, refusal
}

// forwardForRoom lets another VM with memory serve the request. That VM holds the response,
// which is passed on here at the caller's pace. ok is false when none serves it and it did
// not run.
func (q *request) forwardForRoom(ctx context.Context) (got *targetResponse, refusal *outcome.Refusal, ok bool) {
	var tried []string
	for len(tried) < maxRoomCarriers && !q.isForwarded && !q.mayHaveRun && q.body.replayable() {
		vm, client, found := q.gateway.options.Carriers.Carrier(q.service, tried)
		if !found {
			break
		}
		tried = append(tried, vm)
		result := q.forwardTo(ctx, vm, client)
		q.logForwarded(vm, result)
		if result.response != nil {
			return result.response, nil, true
		}
		if !result.otherMayServe || ctx.Err() != nil {
			got, refusal = q.afterForward(result.refusal)
			return got, refusal, true
		}
	}
	return nil, nil, false
}
