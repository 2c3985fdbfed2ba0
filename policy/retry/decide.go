package retry

import "time"

// DefaultAttempts bounds the attempts of a request whose route sets no bound.
const DefaultAttempts = 3

// Reason is the stable name of why an attempt is or is not followed by another.
type Reason string

// The reasons of a decision; each has a counter.
const (
	// Allowed means that the request is attempted again.
	Allowed Reason = "allowed"
	// MayHaveRun means that the request may have run and must not run twice, or
	// that its body cannot be sent again.
	MayHaveRun Reason = "may_have_run"
	// AttemptsExhausted means that the request used all attempts that its route allows.
	AttemptsExhausted Reason = "attempts_exhausted"
	// DeadlineTooNear means that another attempt could not end in time.
	DeadlineTooNear Reason = "deadline_too_near"
	// NoOtherTarget means that every usable target was attempted.
	NoOtherTarget Reason = "no_other_target"
	// Suspect means that the target crashed during the attempt.
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
	// NotRun is true when the target certainly ran no part of the request.
	NotRun bool
	// Idempotent is true when the request may run twice.
	Idempotent bool
	// TargetCrashed is true when the target probably crashed during the attempt.
	TargetCrashed bool
	// Replayable is true when the complete request body can be sent again.
	Replayable bool
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
	// Expected is the expected duration of an attempt.
	Expected time.Duration
	// OtherTargets is the number of usable targets that were not attempted.
	OtherTargets int
}

// Decide returns Allowed when the request may be attempted again, and otherwise
// the reason against it. It does not check the budgets.
func Decide(f Failure) Reason {
	switch {
	case f.TargetCrashed:
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

// SpendBudgets takes one token from both budgets, or from neither.
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
