package targetset

import (
	"errors"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// TestRequestsFromBeforeTheCutConvictNoTarget guards against a VM that is cut off and has its
// targets suspected by all VMs: the requests that it sent before its latest response reach their
// time limit, while the targets answer other VMs.
func TestRequestsFromBeforeTheCutConvictNoTarget(t *testing.T) {
	f := newFixture(8)
	long := f.beginLateBeforeResponse(t) // the path is cut after the response
	for _, attempt := range long {
		f.Observed("vm-2", servedBy(attempt.ID()))
	}
	f.now += 500 * time.Millisecond
	f.notifier.outcomes = nil
	for _, attempt := range long {
		failure := &contract.RoundTripError{Kind: contract.AttemptTimedOut, Target: attempt.ID(), Cause: errors.New("deadline")}
		attempt.Done(Result{End: suspicion.ResultTimedOut, Err: failure, Sent: true})
	}
	for _, outcome := range f.notifier.outcomes {
		if outcome.FailureNats > 0 {
			t.Errorf("other VMs got %.1f nats against %s, which answers them", outcome.FailureNats, outcome.Target)
		}
	}
}
