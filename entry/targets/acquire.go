package targets

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

// noTargetRetryAfter is the retry delay given to a caller when no target is
// usable.
const noTargetRetryAfter = time.Second

// Acquire admits a request and waits for a slot of a target. Its error is an
// *outcome.Refusal and means that the request was not run.
func (m *Manager) Acquire(ctx context.Context, request contract.AcquireRequest) (contract.SlotLease, error) {
	snap := m.configuration.Current()
	if snap == nil {
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonNoConfiguration, outcome.StepAdmission, m.vm, nil)
	}
	s := m.service(request.Service)
	customer, known := snap.Customer(request.Customer)
	switch {
	case s == nil:
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, m.vm, nil)
	case !known:
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonUnknownCustomer, outcome.StepAdmission, m.vm, nil)
	}
	if refusal := m.admit(s, customer, request); refusal != nil {
		s.metrics.countRefusal(refusal.Reason)
		return nil, refusal
	}
	slot, refusal := s.acquire(ctx, request, customer.Limits.Weight)
	if refusal != nil {
		m.finishRequest(request.Customer)
		refusal.Peer = m.vm
		s.metrics.countRefusal(refusal.Reason)
		return nil, refusal
	}
	return m.leaseSlot(s, slot, request)
}

// slot identifies one slot of a target, given to one request.
type slot struct {
	id     uint64
	target string
	// trial is true when the request tests whether the target has recovered.
	trial bool
}

// leaseSlot returns the lease of a slot, or gives the slot back when its target
// has been removed meanwhile.
func (m *Manager) leaseSlot(s *service, slot slot, request contract.AcquireRequest) (contract.SlotLease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[slot.target]
	if !ok {
		s.endAttempt(time.Now(), slot.id, slot.target)
		m.finishRequest(request.Customer)
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, m.vm, errRemoved)
	}
	s.evaluator.startAttempt(time.Now(), slot.target, slot.id)
	return &slotLease{manager: m, service: s, target: t.definition, pool: t.pool, customer: request.Customer, attempt: slot.id, trial: slot.trial}, nil
}

var errRemoved = errors.New("target was removed from the configuration")

// acquire takes a free slot or waits for one in the fair queue.
func (s *service) acquire(ctx context.Context, request contract.AcquireRequest, weight float64) (slot, *outcome.Refusal) {
	began := time.Now()
	if trialSlot, ok := s.takeTrialSlot(began, request); ok {
		return trialSlot, nil
	}
	entry, free, refusal := s.enqueue(began, request, weight)
	if refusal != nil || free.target != "" {
		return free, refusal
	}
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case target, ok := <-entry.Item.granted:
		if !ok {
			return slot{}, refuse(outcome.ReasonDeadlineExceeded, 0, nil)
		}
		s.metrics.recordWait(time.Since(began))
		return slot{id: entry.Item.id, target: target}, nil
	case <-ctx.Done():
		s.abandon(entry)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return slot{}, refuse(outcome.ReasonDeadlineExceeded, 0, ctx.Err())
		}
		return slot{}, refuse(outcome.ReasonCallerGone, 0, context.Cause(ctx))
	case <-timer.C:
		s.abandon(entry)
		return slot{}, refuse(outcome.ReasonDeadlineExceeded, 0, nil)
	}
}

// takeTrialSlot takes a slot of a target that is due for a trial. Only the first
// attempt of an idempotent request is used as a trial.
func (s *service) takeTrialSlot(now time.Time, request contract.AcquireRequest) (slot, bool) {
	if !request.Idempotent || request.Retry {
		return slot{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.evaluator.nextTrial(now, s.targetNames)
	if !ok || s.targets[name].leaving.isLeaving(now) || now.Before(s.targets[name].pausedUntil) {
		return slot{}, false
	}
	s.balancer.TakeNamed(name)
	trialSlot := s.registerSlot(now, name)
	trialSlot.trial = true
	return trialSlot, true
}

// registerSlot gives an ID to a slot taken without waiting and reports it to the
// lessor.
func (s *service) registerSlot(now time.Time, target string) slot {
	s.nextID++
	s.inFlight++
	s.reportTaken(s.nextID, target)
	s.sendLeaseMessages(now)
	return slot{id: s.nextID, target: target}
}

// enqueue takes a slot when one is free and no request is waiting. Otherwise it
// queues the request, unless the expected wait exceeds its deadline.
func (s *service) enqueue(now time.Time, request contract.AcquireRequest, weight float64) (*waitEntry, slot, *outcome.Refusal) {
	want := balance.Criteria{Zone: s.zone, Exclude: slices.Clone(request.Exclude), Idempotent: request.Idempotent}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balancer.CountUsable(want) == 0 {
		return nil, slot{}, refuse(outcome.ReasonNoTarget, noTargetRetryAfter, nil)
	}
	if refusal := s.refusePaused(now, want, request.Deadline); refusal != nil {
		return nil, slot{}, refusal
	}
	if s.queue.Len() == 0 {
		if _, mayStart := s.choosesLocally(now); mayStart {
			if name, ok := s.balancer.Take(s.rng, want); ok {
				return nil, s.registerSlot(now, name), nil
			}
		}
		s.queueDrain.QueueStarted(now)
	}
	wait := s.queueDrain.EstimateWait(s.queue.MaxAhead(request.Customer, weight) + 1)
	if now.Add(wait).After(request.Deadline) {
		return nil, slot{}, refuse(outcome.ReasonDeadlineTooShort, wait, fmt.Errorf("wait of %v expected", wait.Round(time.Millisecond)))
	}
	s.nextID++
	w := &waiter{id: s.nextID, want: want, deadline: request.Deadline, granted: make(chan string, 1)}
	entry := s.queue.Push(request.Customer, weight, w)
	s.requestSlot(entry, request.Customer, weight)
	s.sendLeaseMessages(now)
	return entry, slot{}, nil
}

// abandon removes a request from the queue, or returns its slot if it was
// granted one in the meantime.
func (s *service) abandon(entry *waitEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(entry)
	now := time.Now()
	select {
	case name, ok := <-entry.Item.granted:
		if ok {
			s.endAttempt(now, entry.Item.id, name)
		}
	default:
		s.releaseSlot(entry.Item.id)
		s.sendLeaseMessages(now)
	}
}

func refuse(reason outcome.Reason, retryAfter time.Duration, cause error) *outcome.Refusal {
	step := outcome.StepAdmission
	if reason == outcome.ReasonNoTarget {
		step = outcome.StepChoose
	}
	return &outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Step: step, RetryAfter: retryAfter, Cause: cause}
}

// retryRefusal returns the refusal of a retry that exceeds a retry budget.
func retryRefusal(vm string, reason retry.Reason) *outcome.Refusal {
	refusal := refuse(outcome.ReasonRetryBudget, 0, fmt.Errorf("retry budget: %s", reason))
	refusal.Peer = vm
	return refusal
}
