package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

const (
	// memoryWait is about the time in which responses that are being delivered free memory.
	memoryWait = 300 * time.Millisecond
	// maxMemoryCarriers is the number of other VMs that are asked to serve a request for which
	// this VM has no memory.
	maxMemoryCarriers = 2
)

// reservations are what a request has reserved; attempts of a request may run at the same
// time.
type reservations struct {
	mu  sync.Mutex
	all []*hold
	// spare is the reservation for the next response, or nil.
	spare *hold
}

// add returns an empty part of the budget, which is released at the end of the request. The
// lock is held.
func (r *reservations) add(m *memory) *hold {
	part := m.newHold()
	if part != nil {
		r.all = append(r.all, part)
	}
	return part
}

// releaseHolds releases what the request has reserved.
func (q *request) releaseHolds() {
	q.holds.mu.Lock()
	defer q.holds.mu.Unlock()
	for _, part := range q.holds.all {
		part.release()
	}
}

// reserveRequest reserves what the request itself needs.
func (q *request) reserveRequest() *outcome.Refusal {
	q.holds.mu.Lock()
	q.body.hold = q.holds.add(q.gateway.memory)
	q.holds.mu.Unlock()
	if !q.body.hold.growOrMakeRoom(requestBytes) {
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
	q.holds.mu.Lock()
	defer q.holds.mu.Unlock()
	if q.holds.spare == nil {
		q.holds.spare = q.holds.add(q.gateway.memory)
	}
	return q.holds.spare.isReserved() || q.holds.spare.growOrMakeRoom(max(q.gateway.memory.estimate(q.route), largePart))
}

// holdHead returns the reservation of an attempt for a large head of its response, which is released
// with the request's.
func (q *request) holdHead() func(bytes int64) bool {
	q.holds.mu.Lock()
	defer q.holds.mu.Unlock()
	return q.holds.add(q.gateway.memory).cover
}

// takeSpare returns the reservation for the next response, an empty one if there is none.
func (q *request) takeSpare() *hold {
	q.holds.mu.Lock()
	defer q.holds.mu.Unlock()
	spare := q.holds.spare
	q.holds.spare = nil
	if spare == nil {
		return q.holds.add(q.gateway.memory)
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
	if got, refusal, ok := q.forwardForMemory(ctx); ok {
		return got, refusal
	}
	refusal := noMemory()
	refusal.Outcome, refusal.Peer = q.outcome(), q.service
	return nil, refusal
}

// forwardForMemory lets another VM with memory serve the request. That VM holds the response,
// which is passed on here at the caller's pace. ok is false when none serves it and it did
// not run.
func (q *request) forwardForMemory(ctx context.Context) (got *targetResponse, refusal *outcome.Refusal, ok bool) {
	var tried []string
	for len(tried) < maxMemoryCarriers && !q.isForwarded && !q.mayHaveRun && q.body.replayable() {
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
