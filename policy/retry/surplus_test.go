package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestHedgesAndRetriesStayWithinTheFleetsBudget guards against hedges that come on top of
// the budget: every VM retries and hedges as often as it may, in an order that changes.
func TestHedgesAndRetriesStayWithinTheFleetsBudget(t *testing.T) {
	const (
		vms, ratio, allowance = 9, 0.2, 56.0
		step                  = 50 * time.Millisecond
		requestsPerStep       = 3
		steps                 = 1200
		windowSteps           = int(budgetWindow / step)
	)
	random := rand.New(rand.NewPCG(1, 1))
	shares := make([]*Share, vms)
	for i := range shares {
		shares[i] = NewShare(ratio, allowance, vms, 0)
	}
	sent, hedges := make([]int, steps), 0
	for i := range steps {
		now := time.Duration(i) * step
		for range requestsPerStep {
			shares[random.IntN(vms)].Earn(now)
		}
		retriesPause := i/100%2 == 0
		for _, share := range shares {
			for share.SpendSurplus(now) {
				sent[i]++
				hedges++
			}
			for !retriesPause && share.Spend(now) {
				sent[i]++
			}
		}
	}
	for end := windowSteps; end <= steps; end++ {
		total := 0
		for _, count := range sent[end-windowSteps : end] {
			total += count
		}
		if allowed := ratio*float64(windowSteps*requestsPerStep) + allowance; float64(total) > allowed {
			t.Fatalf("window ending at step %d has %d retries and hedges, %.0f allowed", end, total, allowed)
		}
	}
	if hedges == 0 {
		t.Error("no hedge was allowed")
	}
}

// TestHedgesTakeNothingFromRetries guards against failures that are not retried because
// hedges have used the budget: two shares see the same requests and retries, one of them
// hedges as well.
func TestHedgesTakeNothingFromRetries(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	plain, hedging := NewShare(0.2, 10, 4, 0), NewShare(0.2, 10, 4, 0)
	hedges := 0
	for i := range 20_000 {
		now := time.Duration(i) * 7 * time.Millisecond
		plain.Earn(now)
		hedging.Earn(now)
		if hedging.SpendSurplus(now) {
			hedges++
		}
		if random.Float64() < 0.15 && plain.Spend(now) != hedging.Spend(now) {
			t.Fatalf("after %d requests and %d hedges the retries differ", i+1, hedges)
		}
	}
	if hedges == 0 {
		t.Error("no hedge was allowed")
	}
}
