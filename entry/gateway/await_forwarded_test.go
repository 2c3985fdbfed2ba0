package gateway

import "testing"

// TestNoForwardedRequestBeginsAfterTheStopHasWaited guards against a request of another VM that is
// passed on to a target right before the process of this VM ends, so that its answer is lost: after
// AwaitForwarded nothing waits for it.
func TestNoForwardedRequestBeginsAfterTheStopHasWaited(t *testing.T) {
	withHarness(t, nil, func(h *harness) {
		if err := h.gateway.AwaitForwarded(t.Context()); err != nil {
			t.Fatal(err)
		}
		if end, ok := h.gateway.forwarded.Begin(maxForwarded); ok {
			end()
			t.Error("a forwarded request begins after the stop has waited for them")
		}
	})
}
