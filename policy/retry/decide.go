package retry

import "time"

// DefaultAttempts bounds the attempts of a request whose route sets no bound.
const DefaultAttempts = 3

// Reason names why an attempt is or is not followed by another.
type Reason string

// The reasons of a decision; each has a counter.
const (
	// Allowed means that the request is attempted again.
	Allowed Reason = "allowed"
	// MayHaveRun means that the request may have run and may not run twice.
	MayHaveRun Reason = "may_have_run"
	// AttemptsExhausted means that the request has had all attempts allowed to it.
	AttemptsExhausted Reason = "attempts_exhausted"
	// DeadlineTooNear means that another attempt could not end in time.
	DeadlineTooNear Reason = "deadline_too_near"
	// NoOtherTarget means that no target is left that was not tried.
	NoOtherTarget Reason = "no_other_target"
	// Suspect means that the attempt ended with its target's crash.
	Suspect Reason = "suspect"
	// CustomerBudget means that the customer's retry budget is spent.
	CustomerBudget Reason = "customer_budget"
	// ServiceBudget means that the service's retry budget is spent.
	ServiceBudget Reason = "service_budget"
)

// Failure describes an attempt that failed, and what is left of its request.
type Failure struct {
	// Attempts is the number of attempts made so far.
	Attempts int
	// AttemptsAllowed is the number of attempts that the route allows.
	AttemptsAllowed int
	// NotRun is true when the target truly ran no part of the request.
	NotRun bool
	// Idempotent is true when the request may run twice.
	Idempotent bool
	// Suspect is true when the attempt ended with the target's crash.
	Suspect bool
	// Replayable is true when the whole request body can be sent again.
	Replayable bool
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Expected is the time that an attempt usually takes.
	Expected time.Duration
	// OtherTargets is the number of usable targets that were not tried.
	OtherTargets int
}

// Decide tells whether the request may be attempted again, budgets aside.
func Decide(f Failure) Reason {
	switch {
	case f.Suspect:
		return Suspect
	case !f.NotRun && !f.Idempotent, !f.Replayable:
		return MayHaveRun
	case f.Attempts >= f.AttemptsAllowed:
		return AttemptsExhausted
	case f.Remaining <= 0 || f.Remaining < f.Expected:
		return DeadlineTooNear
	case f.OtherTargets <= 0:
		return NoOtherTarget
	}
	return Allowed
}

// SpendBudgets spends one token of both budgets, or of neither.
func SpendBudgets(customer, service *Budget) Reason {
	if !customer.Available() {
		return CustomerBudget
	}
	if !service.Available() {
		return ServiceBudget
	}
	customer.Spend()
	service.Spend()
	return Allowed
}
