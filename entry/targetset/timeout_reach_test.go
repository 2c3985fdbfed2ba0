package targetset

import (
	"errors"
	"testing"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// TestTimeLimitOfLongRequestsIsNoCut guards against a VM that counts as cut off from a service with
// few targets, since requests that take longer than their time limit made each of them unreachable,
// although they answer other VMs.
func TestTimeLimitOfLongRequestsIsNoCut(t *testing.T) {
	f := newFixture(2)
	for _, id := range []string{"t0", "t1"} {
		f.Observed("vm-2", servedBy(id))
	}
	first, second := f.begin(t, wanted(routing.KindIdempotent)), f.begin(t, wanted(routing.KindIdempotent))
	for _, attempt := range []*Attempt{first, second} {
		failure := &contract.RoundTripError{Kind: contract.AttemptTimedOut, Target: attempt.ID(), Cause: errors.New("deadline")}
		attempt.Done(Result{End: suspicion.ResultTimedOut, Err: failure, Sent: true})
	}
	if names := f.CutOffServices(); len(names) > 0 {
		t.Errorf("cut off from %v after requests at %s and %s reached their time limit", names, first.ID(), second.ID())
	}
}
