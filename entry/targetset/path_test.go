package targetset

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// lossesForTest is the number of targets whose silence opens the breaker.
const lossesForTest = 3

// refusedConnection returns the result of an attempt whose connection was refused.
func refusedConnection(a *Attempt) Result {
	failure := &contract.RoundTripError{Kind: contract.AttemptRefused, Target: a.ID(), Cause: fmt.Errorf("dial: %w", syscall.ECONNREFUSED)}
	return Result{End: suspicion.ResultFailed, Err: failure}
}

// servedBy returns the evidence of a response to another VM.
func servedBy(target string) evidence.AttemptEvidence {
	return evidence.AttemptEvidence{Target: target, FailureNats: suspicion.FailureNats(suspicion.ResultServed)}
}

// TestVMThatIsCutOffConvictsNoTarget guards against sound targets that all VMs suspect, since
// a VM that reaches none of them tells of each connection that was refused.
func TestVMThatIsCutOffConvictsNoTarget(t *testing.T) {
	f := newFixture(6)
	for range 6 {
		attempt, err := f.Begin(wanted(routing.KindIdempotent))
		if err != nil {
			break // the VM knows that it is cut off
		}
		attempt.Done(refusedConnection(attempt))
	}
	convicted := 0
	for _, outcome := range f.notifier.outcomes {
		if outcome.FailureNats > 0 {
			convicted++
		}
	}
	if convicted > 1 {
		t.Errorf("%d targets are reported as failing, want the first one only", convicted)
	}
}

// TestRequestsLostWhileOthersAreServedCutOff checks that lost requests mean that the path is
// at fault only while other VMs get responses.
func TestRequestsLostWhileOthersAreServedCutOff(t *testing.T) {
	for _, othersServed := range []bool{true, false} {
		f := newFixture(6)
		for range 3 {
			attempt := f.begin(t, wanted(routing.KindOnce))
			failure := &contract.RoundTripError{Kind: contract.AttemptReset, Target: attempt.ID(), Cause: errors.New("reset")}
			attempt.Done(Result{End: suspicion.ResultFailed, Err: failure, Sent: true})
		}
		f.now += 2 * reportTime
		if othersServed {
			for _, id := range []string{"t4", "t5"} {
				f.Observed("vm-2", servedBy(id))
			}
		}
		f.mu.Lock()
		f.examineLosses("s", f.services["s"])
		f.mu.Unlock()
		if got := len(f.CutOffServices()) > 0; got != othersServed {
			t.Errorf("other VMs are served %v: cut off %v", othersServed, got)
		}
	}
}

// TestUploadInProgressIsNotSilent guards against a path that is taken for broken while
// requests with large bodies are still being written.
func TestUploadInProgressIsNotSilent(t *testing.T) {
	for _, c := range []struct {
		name   string
		writes bool
	}{{"still written", true}, {"written long ago", false}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(6)
			var trips []*contract.RoundTrip
			for range lossesForTest {
				trip := &contract.RoundTrip{}
				trip.MarkWrote()
				trips = append(trips, trip)
				f.begin(t, wanted(routing.KindOnce)).startTimer(trip)
			}
			for range 20 {
				time.Sleep(minSilence / 4)
				f.mu.Lock()
				f.now += minSilence / 4
				f.mu.Unlock()
				f.Observed("vm-2", servedBy("t4"))
				f.Observed("vm-2", servedBy("t5"))
				for _, trip := range trips {
					if c.writes {
						trip.MarkWrote()
					}
				}
			}
			if cutOff := len(f.CutOffServices()) > 0; cutOff == c.writes {
				t.Errorf("%s: cut off %v", c.name, cutOff)
			}
		})
	}
}

// TestServiceThatIsDownIsNoCut guards against VMs that are left out one after the other, each
// with a share of its own in the retry budget, while the targets of a service are down.
func TestServiceThatIsDownIsNoCut(t *testing.T) {
	f := newFixture(2)
	for range 2 {
		attempt := f.begin(t, wanted(routing.KindOnce))
		attempt.Done(refusedConnection(attempt))
	}
	if _, err := f.Begin(wanted(routing.KindOnce)); !errors.As(err, new(*Refusal)) {
		t.Fatalf("an attempt begins while no target can be reached: %v", err)
	}
	if names := f.CutOffServices(); len(names) > 0 {
		t.Errorf("cut off from %v, whose targets answer nobody", names)
	}
	f.Observed("vm-2", servedBy("t1"))
	if names := f.CutOffServices(); len(names) != 1 {
		t.Errorf("cut off from %v while a target answers another VM", names)
	}
	f.now += servedElsewhereTime + time.Millisecond
	if names := f.CutOffServices(); len(names) > 0 {
		t.Errorf("cut off from %v long after the last response", names)
	}
}

// TestLongRequestsOfAnUnmeasuredRouteAreNotSilent guards against a VM that has just started and
// takes a service with long requests for cut off: nothing is known of their length yet.
func TestLongRequestsOfAnUnmeasuredRouteAreNotSilent(t *testing.T) {
	const objective = 1200 * time.Millisecond
	reference := &suspicion.Reference{}
	if limit := silenceLimit(reference, defaultAttemptDuration, objective); limit < objective {
		t.Errorf("silent after %v, the route's objective is %v", limit, objective)
	}
	if limit := silenceLimit(reference, defaultAttemptDuration, time.Minute); limit > maxUnmeasuredSilence {
		t.Errorf("silent after %v only", limit)
	}
	for range 100 {
		reference.Add(100 * time.Millisecond)
	}
	if limit := silenceLimit(reference, defaultAttemptDuration, objective); limit != minSilence {
		t.Errorf("silent after %v although attempts take 100 ms", limit)
	}
}
