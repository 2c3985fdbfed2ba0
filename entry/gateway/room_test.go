package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// TestRetriesAfterLackOfRoomAreSpread guards against callers that were refused together and come
// back together.
func TestRetriesAfterLackOfRoomAreSpread(t *testing.T) {
	const wait, samples, parts = 800 * time.Millisecond, 2000, 8
	refusal := &outcome.Refusal{
		Outcome: outcome.NotRun, Reason: outcome.Reason(targetset.ReasonNoRoom),
		RetryAfter: retryAfterFor(&targetset.Refusal{Reason: targetset.ReasonNoRoom, RetryAfter: wait}),
	}
	if status := statusOf(refusal); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
	var counts [parts]int
	for range samples {
		after := addJitter(refusal)
		if after < wait/2 || after > wait*3/2 {
			t.Fatalf("retry after %v, want %v to %v", after, wait/2, wait*3/2)
		}
		counts[min(int((after-wait/2)*parts/wait), parts-1)]++
	}
	for i, count := range counts {
		if count < samples/parts/2 {
			t.Errorf("part %d of the time gets %d of %d callers", i, count, samples)
		}
	}
}
