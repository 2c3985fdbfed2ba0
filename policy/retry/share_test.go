package retry

import (
	"testing"
	"time"
)

// TestSharesStayWithinTheFleetsBudget lets every VM repeat as often as its
// share allows, for a minute, and counts all windows.
func TestSharesStayWithinTheFleetsBudget(t *testing.T) {
	const (
		vms, ratio, allowance = 9, 0.2, 56.0
		step                  = 50 * time.Millisecond
		requestsPerStep       = 1
		steps                 = 1200
		windowSteps           = int(windowTime / step)
	)
	shares := make([]*Share, vms)
	for i := range shares {
		shares[i] = NewShare(ratio, allowance, vms, 0)
	}
	repeats := make([]int, steps)
	for i := range steps {
		now := time.Duration(i) * step
		shares[i%vms].Earn(now)
		for _, share := range shares {
			for share.Spend(now) {
				repeats[i]++
			}
		}
	}
	for end := windowSteps; end <= steps; end++ {
		total := 0
		for _, count := range repeats[end-windowSteps : end] {
			total += count
		}
		if allowed := ratio*float64(windowSteps*requestsPerStep) + allowance; float64(total) > allowed {
			t.Fatalf("window ending at step %d has %d repeats, %.0f allowed", end, total, allowed)
		}
	}
}

// TestVMThatCallersAreNotShownHasNoAllowance bounds what VMs outside of the
// front rank add to the fleet's repeats: what their own requests earn.
func TestVMThatCallersAreNotShownHasNoAllowance(t *testing.T) {
	share := NewShare(0.2, 56, 0, 0)
	for share.Spend(0) {
	}
	if share.Spend(time.Minute) {
		t.Error("a repeat was allowed without a request")
	}
	const requests = 10
	for range requests {
		share.Earn(time.Minute)
	}
	repeats := 0
	for share.Spend(time.Minute) {
		repeats++
	}
	if repeats > 0.2*requests {
		t.Errorf("%d repeats for %d requests", repeats, requests)
	}
}
