package retry

import (
	"testing"
	"time"
)

// TestSharesStayWithinTheFleetsBudget has every VM retry as often as its share
// allows, for a minute, and checks the total of every window.
func TestSharesStayWithinTheFleetsBudget(t *testing.T) {
	const (
		vms, ratio, allowance = 9, 0.2, 56.0
		step                  = 50 * time.Millisecond
		requestsPerStep       = 1
		steps                 = 1200
		windowSteps           = int(budgetWindow / step)
	)
	shares := make([]*Share, vms)
	for i := range shares {
		shares[i] = NewShare(ratio, allowance, vms, 0)
	}
	retries := make([]int, steps)
	for i := range steps {
		now := time.Duration(i) * step
		shares[i%vms].Earn(now)
		for _, share := range shares {
			for share.Spend(now) {
				retries[i]++
			}
		}
	}
	for end := windowSteps; end <= steps; end++ {
		total := 0
		for _, count := range retries[end-windowSteps : end] {
			total += count
		}
		if allowed := ratio*float64(windowSteps*requestsPerStep) + allowance; float64(total) > allowed {
			t.Fatalf("window ending at step %d has %d retries, %.0f allowed", end, total, allowed)
		}
	}
}

// TestUnadvertisedVMHasNoAllowance checks that a VM that is not advertised to
// callers, because it is not among the primary VMs of a zone, retries only as much
// as its own requests earn.
func TestUnadvertisedVMHasNoAllowance(t *testing.T) {
	share := NewShare(0.2, 56, 0, 0)
	for share.Spend(0) {
	}
	if share.Spend(time.Minute) {
		t.Error("a retry was allowed without a request")
	}
	const requests = 10
	for range requests {
		share.Earn(time.Minute)
	}
	retries := 0
	for share.Spend(time.Minute) {
		retries++
	}
	if retries > 0.2*requests {
		t.Errorf("%d retries for %d requests", retries, requests)
	}
}
