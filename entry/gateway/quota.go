package gateway

import (
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Quotas limits the requests of customers.
type Quotas interface {
	// Admit decides whether a request of a customer may run, and charges it; retryAfter is
	// the time after which the caller may try again.
	Admit(customer *routing.Customer) (retryAfter time.Duration, ok bool)
}

// chargeOnArrival charges the request before its body is read, unless it is to be forwarded
// to a primary VM, which charges it.
func (q *request) chargeOnArrival() *outcome.Refusal {
	if !q.isChargeable() || q.goesToPrimary() {
		return nil
	}
	return q.charge()
}

// charge charges a request to its customer, once, or returns why it may not run.
func (q *request) charge() *outcome.Refusal {
	if !q.isChargeable() {
		return nil
	}
	retryAfter, ok := q.gateway.options.Quotas.Admit(q.customer)
	if !ok {
		return refuse(outcome.ReasonRateLimit, outcome.StepAdmission, retryAfter)
	}
	q.isCharged = true
	return nil
}

// isChargeable reports whether the request counts towards a limit and has not been charged.
func (q *request) isChargeable() bool {
	return !q.isCharged && q.gateway.options.Quotas != nil && q.customer != nil && q.customer.IsLimited()
}

// goesToPrimary reports whether this VM will forward the request to a primary VM.
func (q *request) goesToPrimary() bool {
	if q.isForwarded {
		return false
	}
	_, _, ok := q.gateway.options.Carriers.Primary(q.service, nil)
	return ok
}
