package gateway

import (
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// TestAttemptIsGivenUpOnlyWithARetryLeft guards against an attempt that is ended at its target
// although the retry budget is spent, so that its request is refused elsewhere and the caller gets
// a failure for a response that was about to come (LOST).
func TestAttemptIsGivenUpOnlyWithARetryLeft(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		h.gateway.options.Carriers = oneCarrier{}
		route := &routing.Route{Name: "safe", Kind: routing.KindIdempotent, MaxAttempts: 2}
		retry := targetset.AttemptRequest{Service: "s", Route: route, SentAttempts: 1, Remaining: time.Second}
		for { // spends this VM's share
			attempt, err := h.targets.Begin(retry)
			if err != nil {
				break
			}
			attempt.Done(targetset.Result{End: suspicion.ResultNeutral})
		}
		q := &request{
			gateway: h.gateway, caller: h.request("GET", safePath, "slot"), service: "s",
			route: route, deadline: time.Now().Add(time.Second),
		}
		if q.anotherMayFollow(&targetset.Attempt{})() {
			t.Error("an attempt is given up although no VM has a retry left")
		}
	})
}
