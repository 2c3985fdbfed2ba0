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

// noTargetRetryAfter is what a caller is told when no target takes work.
const noTargetRetryAfter = time.Second

// Acquire admits a request and waits for a slot of a target. Its error is an
// *outcome.Refusal, and the request has then not run.
func (m *Manager) Acquire(ctx context.Context, request contract.AcquireRequest) (contract.Grant, error) {
	snap := m.configuration.Current()
	if snap == nil {
		return nil, contract.Refuse(outcome.NotRun, outcome.ReasonNoConfiguration, outcome.StepAdmission, m.vm, nil)
	}
	s := m.service(request.Service)
	customer, known := snap.Customer(request.Customer)
	switch {
	case s == nil:
		return nil, contract.Refuse(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, m.vm, nil)
	case !known:
		return nil, contract.Refuse(outcome.NotRun, outcome.ReasonUnknownCustomer, outcome.StepAdmission, m.vm, nil)
	}
	if refusal := m.admit(s, customer, request); refusal != nil {
		s.metrics.refused(refusal.Reason)
		return nil, refusal
	}
	slot, refusal := s.acquire(ctx, request, customer.Limits.Weight)
	if refusal != nil {
		m.finish(request.Customer)
		refusal.Peer = m.vm
		s.metrics.refused(refusal.Reason)
		return nil, refusal
	}
	return m.grant(s, slot, request)
}

// slot is a slot of a target that a request may use.
type slot struct {
	id     uint64
	target string
	// trial marks a request that tests a target before it returns.
	trial bool
}

func (m *Manager) grant(s *service, slot slot, request contract.AcquireRequest) (contract.Grant, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[slot.target]
	if !ok {
		s.returned(time.Now(), slot.id, slot.target)
		m.finish(request.Customer)
		return nil, contract.Refuse(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, m.vm, errRemoved)
	}
	s.judge.started(time.Now(), slot.target, slot.id)
	return &grant{manager: m, service: s, target: t.definition, pool: t.pool, customer: request.Customer, attempt: slot.id, trial: slot.trial}, nil
}

var errRemoved = errors.New("target was removed from the configuration")

// acquire takes a slot at once or waits for one in the fair queue.
func (s *service) acquire(ctx context.Context, request contract.AcquireRequest, weight float64) (slot, *outcome.Refusal) {
	began := time.Now()
	if tried, ok := s.trial(began, request); ok {
		return tried, nil
	}
	entry, taken, refusal := s.enqueue(began, request, weight)
	if refusal != nil || taken.target != "" {
		return taken, refusal
	}
	timer := time.NewTimer(time.Until(request.Deadline))
	defer timer.Stop()
	select {
	case target, ok := <-entry.Item.granted:
		if !ok {
			return slot{}, refuse(outcome.ReasonDeadlineExceeded, 0, nil)
		}
		s.metrics.waited(time.Since(began))
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

// trial takes a slot of a target whose health is to be tried, for a first
// attempt that may run twice.
func (s *service) trial(now time.Time, request contract.AcquireRequest) (slot, bool) {
	if !request.Idempotent || request.Retry {
		return slot{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.judge.trial(now, s.names)
	if !ok || s.targets[name].leaving.now(now) {
		return slot{}, false
	}
	s.balancer.TakeNamed(name)
	tried := s.take(now, name)
	tried.trial = true
	return tried, true
}

// take numbers a slot that was taken without waiting and reports it.
func (s *service) take(now time.Time, target string) slot {
	s.nextID++
	s.inFlight++
	s.took(s.nextID, target)
	s.flush(now)
	return slot{id: s.nextID, target: target}
}

// enqueue takes a slot when one is free and nobody waits, and queues the
// request otherwise unless it would wait past its deadline.
func (s *service) enqueue(now time.Time, request contract.AcquireRequest, weight float64) (*waitEntry, slot, *outcome.Refusal) {
	want := balance.Criteria{Zone: s.zone, Exclude: slices.Clone(request.Exclude), Idempotent: request.Idempotent}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balancer.CountUsable(want) == 0 {
		return nil, slot{}, refuse(outcome.ReasonNoTarget, noTargetRetryAfter, nil)
	}
	if s.queue.Len() == 0 {
		if _, may := s.chooses(now); may {
			if name, ok := s.balancer.Take(s.rng, want); ok {
				return nil, s.take(now, name), nil
			}
		}
		s.drain.QueueStarted(now)
	}
	wait := s.drain.EstimateWait(s.queue.MaxAhead(request.Customer, weight) + 1)
	if now.Add(wait).After(request.Deadline) {
		return nil, slot{}, refuse(outcome.ReasonDeadlineTooShort, wait, fmt.Errorf("wait of %v expected", wait.Round(time.Millisecond)))
	}
	s.nextID++
	w := &waiter{id: s.nextID, want: want, deadline: request.Deadline, granted: make(chan string, 1)}
	entry := s.queue.Push(request.Customer, weight, w)
	s.ask(entry, request.Customer, weight)
	s.flush(now)
	return entry, slot{}, nil
}

// abandon takes a request out of the queue, or gives back the slot that it was
// granted meanwhile.
func (s *service) abandon(entry *waitEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(entry)
	now := time.Now()
	select {
	case name, ok := <-entry.Item.granted:
		if ok {
			s.returned(now, entry.Item.id, name)
		}
	default:
		s.finished(entry.Item.id)
		s.flush(now)
	}
}

func refuse(reason outcome.Reason, retryAfter time.Duration, cause error) *outcome.Refusal {
	step := outcome.StepAdmission
	if reason == outcome.ReasonNoTarget {
		step = outcome.StepChoose
	}
	return &outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Step: step, RetryAfter: retryAfter, Cause: cause}
}

// retryRefusal is the refusal of an attempt that the budgets do not allow.
func retryRefusal(vm string, reason retry.Reason) *outcome.Refusal {
	refusal := refuse(outcome.ReasonRetryBudget, 0, fmt.Errorf("retry budget: %s", reason))
	refusal.Peer = vm
	return refusal
}
