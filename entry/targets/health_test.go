package targets

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/health"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// work runs attempts one after the other; those at t0 end in a reset when sick.
func work(t *testing.T, f *fixture, count int, idempotent, sick bool) (atSick int) {
	for range count {
		request := ask("small", time.Second)
		request.Idempotent = idempotent
		grant, err := f.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
		result := contract.AttemptResult{Kind: contract.AttemptSucceeded, Total: 5 * time.Millisecond}
		if grant.Target().Name == "t0" {
			atSick++
			if sick {
				result.Kind = contract.AttemptReset
			}
		}
		grant.Done(result)
	}
	return atSick
}

// state returns what the VM makes of a target.
func (f *fixture) state(target string) health.State {
	s := f.service("booking")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge.state(target)
}

func TestFailingTargetLosesItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, 2)
		work(t, f, 300, true, false)
		work(t, f, 300, true, true)
		if state := f.state("t0"); state != health.Ejected {
			t.Fatalf("t0 is %s", state)
		}
		if at := work(t, f, 200, false, true); at > 0 {
			t.Fatalf("%d requests that may not run twice went to an ejected target", at)
		}
		if findings := f.Explain("target booking/t0"); len(findings) == 0 || findings[0].Rule == "" {
			t.Fatalf("got %+v", findings)
		}
	})
}

func TestNewsOfAnotherVMEjectsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 6, 2)
		work(t, f, 100, true, false)
		for _, vm := range []string{"vm-2", "vm-3"} {
			f.heard(&primroseloomv1.NewsItem{
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
		f.heard(&primroseloomv1.NewsItem{
			OriginVm: "vm-2", Service: "booking",
			Body: &primroseloomv1.NewsItem_Leaving{Leaving: &primroseloomv1.TargetLeaving{Target: "t0"}},
		})
		if at := work(t, f, 50, true, false); at > 0 {
			t.Fatalf("%d requests for a target that leaves", at)
		}
	})
}
