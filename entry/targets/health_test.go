package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/health"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// runAttempts runs attempts one after the other and returns how many went to t0.
// If failing is true, those at t0 end in a reset.
func runAttempts(t *testing.T, f *fixture, count int, idempotent, failing bool) (atT0 int) {
	for range count {
		request := acquireRequest("small", time.Second)
		request.Idempotent = idempotent
		lease, err := f.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
		result := contract.AttemptResult{Kind: contract.AttemptSucceeded, Total: 5 * time.Millisecond}
		if lease.Target().Name == "t0" {
			atT0++
			if failing {
				result.Kind = contract.AttemptReset
			}
		}
		lease.Done(result)
	}
	return atT0
}

// state returns the health state of a target.
func (f *fixture) state(target string) health.State {
	s := f.service("booking")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evaluator.state(target)
}

func TestFailingTargetLosesItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, 2)
		runAttempts(t, f, 300, true, false)
		runAttempts(t, f, 300, true, true)
		if state := f.state("t0"); state != health.Ejected {
			t.Fatalf("t0 is %s", state)
		}
		if at := runAttempts(t, f, 200, false, true); at > 0 {
			t.Fatalf("%d non-idempotent requests went to an ejected target", at)
		}
		if findings := f.Explain("target booking/t0"); len(findings) == 0 || findings[0].Rule == "" {
			t.Fatalf("got %+v", findings)
		}
	})
}

func TestNewsOfAnotherVMEjectsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, 2)
		runAttempts(t, f, 100, true, false)
		for _, vm := range []string{"vm-2", "vm-3"} {
			f.receiveNews(&primroseloomv1.NewsItem{
				OriginVm: vm, Service: "booking",
				Body: &primroseloomv1.NewsItem_Health{Health: &primroseloomv1.HealthNews{
					Evidence: []*primroseloomv1.HealthEvidence{{Target: "t0", Zone: "zone-" + vm, Increments: []float64{50, 0, 0, 0, 0, 0}}},
				}},
			})
		}
		if state := f.state("t0"); state != health.Ejected {
			t.Fatalf("t0 is %s", state)
		}
	})
}

func TestNewsThatTargetLeavesStopsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 2)
		f.receiveNews(&primroseloomv1.NewsItem{
			OriginVm: "vm-2", Service: "booking",
			Body: &primroseloomv1.NewsItem_Leaving{Leaving: &primroseloomv1.TargetLeaving{Target: "t0"}},
		})
		if at := runAttempts(t, f, 50, true, false); at > 0 {
			t.Fatalf("%d requests for a leaving target", at)
		}
	})
}
