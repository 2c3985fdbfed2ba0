package retry

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	base := Failure{Attempts: 1, AttemptsAllowed: DefaultAttempts, Idempotent: true, Replayable: true, Remaining: time.Second, Expected: time.Millisecond, OtherTargets: 1}
	cases := []struct {
		name   string
		change func(*Failure)
		want   Reason
	}{
		{"idempotent", func(f *Failure) {}, Allowed},
		{"may have run", func(f *Failure) { f.Idempotent = false }, MayHaveRun},
		{"certainly not run", func(f *Failure) { f.Idempotent, f.NotRun = false, true }, Allowed},
		{"body not replayable", func(f *Failure) { f.Replayable = false }, MayHaveRun},
		{"crashed its target", func(f *Failure) { f.TargetCrashed = true }, Suspect},
		{"last attempt", func(f *Failure) { f.Attempts = DefaultAttempts }, AttemptsExhausted},
		{"last attempt of a route that allows two", func(f *Failure) { f.Attempts, f.AttemptsAllowed = 2, 2 }, AttemptsExhausted},
		{"fourth attempt of a route that allows five", func(f *Failure) { f.Attempts, f.AttemptsAllowed = 3, 5 }, Allowed},
		{"deadline near", func(f *Failure) { f.Expected = 2 * time.Second }, DeadlineTooNear},
		{"deadline past", func(f *Failure) { f.Remaining, f.Expected = 0, 0 }, DeadlineTooNear},
		{"all targets attempted", func(f *Failure) { f.OtherTargets = 0 }, NoOtherTarget},
	}
	for _, c := range cases {
		failure := base
		c.change(&failure)
		if got := Decide(failure); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

func TestAttemptsStayUnderBoundWhenEveryTargetFails(t *testing.T) {
	var service Budget
	customers := make([]Budget, 30)
	for i := range customers {
		customers[i] = NewBudget(1)
	}
	attempts := 0
	const requests = 3000
	for n := 1; n <= requests; n++ {
		customer := &customers[n%len(customers)]
		customer.Earn(0.5)
		service.Earn(ServiceRatio)
		attempts++
		failure := Failure{AttemptsAllowed: DefaultAttempts, Idempotent: true, Replayable: true, Remaining: time.Second, OtherTargets: 5}
		for failure.Attempts = 1; Decide(failure) == Allowed && SpendBudgets(customer, &service) == Allowed; failure.Attempts++ {
			attempts++
		}
		if float64(attempts) >= 1.1*float64(n) {
			t.Fatalf("%d attempts for %d requests", attempts, n)
		}
	}
	if attempts == requests {
		t.Fatal("no request was retried")
	}
}

func TestSpendBudgetsTakesFromBothOrNeither(t *testing.T) {
	customer, service := NewBudget(1), NewBudget(0)
	if got := SpendBudgets(&customer, &service); got != ServiceBudget || customer.Tokens() != 1 {
		t.Fatalf("got %s with %v tokens left", got, customer.Tokens())
	}
	service = NewBudget(2)
	if got := SpendBudgets(&customer, &service); got != Allowed || service.Tokens() != 1 {
		t.Fatalf("got %s with %v tokens left", got, service.Tokens())
	}
	if got := SpendBudgets(&customer, &service); got != CustomerBudget || service.Tokens() != 1 {
		t.Fatalf("got %s with %v tokens left", got, service.Tokens())
	}
}
