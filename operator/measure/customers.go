package measure

import (
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/health"
	"github.com/primroseloom/primroseloom/policy/retry"
)

// slotAdmission implements Admission with the daemon's customer limits and fair
// queue. It shares its state with the VM's slotChooser.
type slotAdmission struct{ *slotState }

// Arrived implements Admission.
func (a slotAdmission) Arrived(now time.Duration, request *Request) bool {
	customer := a.customerConfigs[request.Customer]
	waiting := a.queue.Waiting(customer.Name)
	if !a.admit(now, customer, waiting) {
		return false
	}
	ahead := a.queue.MaxAhead(customer.Name, customer.Weight) + 1
	if a.queue.Len() == 0 {
		a.drain.QueueStarted(wallTime(now))
	} else if now+a.drain.EstimateWait(ahead) > request.Deadline {
		a.releaseCustomer(customer)
		return false
	}
	a.enqueue(now, request)
	return true
}

// enqueue puts a request into the queue and requests a slot from the lessor. It
// is also called again for a request whose leased slot was on a target that has
// gone out of service in the meantime.
func (a slotAdmission) enqueue(now time.Duration, request *Request) {
	customer := a.customerConfigs[request.Customer]
	entry := a.queue.Push(customer.Name, customer.Weight, request)
	a.waiting[request.ID] = &waitingRequest{request: request, entry: entry}
	if a.lessee != nil {
		var exclude []string
		for target, weight := range a.weights {
			if weight <= 0 {
				exclude = append(exclude, targetName(target))
			}
		}
		if !a.lessee.Optimistic(wallTime(now)) {
			a.lessee.Request(balance.SlotRequest{ID: request.ID, Customer: customer.Name, Weight: customer.Weight,
				Zone: fmt.Sprint(a.config.VMZone(a.config.VM)), Idempotent: true, Exclude: exclude, Deadline: wallTime(request.Deadline)})
		}
	}
}

// admit applies the customer's limits, divided among the VMs that serve it.
func (a slotAdmission) admit(now time.Duration, customer Customer, waiting int) bool {
	if customer.Rate <= 0 {
		return true
	}
	limits := admission.Limits{Rate: customer.Rate, Burst: customer.Burst, Concurrency: customer.Concurrency, Queue: customer.Queue}
	vms := customer.VMs
	if vms == 0 {
		vms = a.config.VMs
	}
	decision := a.customers.Admit(wallTime(now), customer.Name, limits.Scale(admission.LimitShare(vms, 1, nil)), waiting)
	return decision.Admitted
}

// releaseCustomer ends a request's use of its customer's concurrency limit.
func (a slotAdmission) releaseCustomer(customer Customer) {
	if customer.Rate > 0 {
		a.customers.Finish(customer.Name)
	}
}

// Peek implements Admission.
func (a slotAdmission) Peek(now time.Duration) *Request {
	for len(a.ready) > 0 {
		first := a.ready[0]
		if _, ok := a.granted[first.ID]; ok {
			return first
		}
		a.slotState.ready = a.ready[1:]
		a.enqueue(now, first)
	}
	entry, ok := a.queue.Peek()
	if !ok || !a.choosesLocally(now) && now < entry.Item.Deadline {
		return nil
	}
	return entry.Item
}

// Pop implements Admission.
func (a slotAdmission) Pop(now time.Duration) {
	if len(a.ready) > 0 {
		id := a.ready[0].ID
		delete(a.waiting, id)
		a.slotState.ready = a.ready[1:]
		a.returnUnusedLease(id)
	} else if entry, ok := a.queue.Pop(); ok {
		delete(a.waiting, entry.Item.ID)
		if a.lessee != nil && entry.Item.Deadline <= now {
			a.lessee.Finish(entry.Item.ID)
		}
	}
	a.drain.ItemLeft(wallTime(now), a.queue.Len() > 0)
}

// returnUnusedLease returns the leased slot of a request that was sent to
// another target, as a trial.
func (s *slotState) returnUnusedLease(id uint64) {
	if _, unused := s.granted[id]; unused {
		delete(s.granted, id)
		s.lessee.Finish(id)
	}
}

// Ended implements Admission.
func (a slotAdmission) Ended(_ time.Duration, request *Request, _ bool) {
	a.releaseCustomer(a.customerConfigs[request.Customer])
	if a.lessee != nil {
		a.lessee.Finish(request.ID)
	}
}

// Configure implements Configurer.
func (a slotAdmission) Configure(_ time.Duration, customers []Customer) {
	a.slotState.customerConfigs = customers
}

// retrier implements Retrier with the VM's retry budget for the service and one
// for each customer.
type retrier struct {
	service   retry.Budget
	customers []retry.Budget
}

// NewRetrier builds the retrier that the daemon uses.
func NewRetrier(config *DeciderConfig) Retrier {
	r := &retrier{customers: make([]retry.Budget, len(config.Scenario.Customers))}
	for i := range r.customers {
		r.customers[i] = retry.NewBudget(1)
	}
	return r
}

// customerRetryRatio is the number of retries that each request adds to its customer's budget.
const customerRetryRatio = 0.1

// Sent implements Retrier.
func (r *retrier) Sent(_ time.Duration, request *Request) {
	r.service.Earn(retry.ServiceRatio)
	r.customers[request.Customer].Earn(customerRetryRatio)
}

// Retry implements Retrier.
func (r *retrier) Retry(now time.Duration, request *Request, kind health.Kind) bool {
	failure := retry.Failure{
		Attempts:        request.Attempts,
		AttemptsAllowed: retry.DefaultAttempts,
		NotRun:          kind == health.Refused || kind == health.Shed || kind == health.Draining,
		Idempotent:      request.Idempotent,
		Replayable:      true,
		Remaining:       request.Deadline - now,
		OtherTargets:    1,
	}
	if retry.Decide(failure) != retry.Allowed {
		return false
	}
	return retry.SpendBudgets(&r.customers[request.Customer], &r.service) == retry.Allowed
}
