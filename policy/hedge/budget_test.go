package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 60
	return p
}

// event is one request or hedge in the history of a budget.
type event struct {
	at    time.Duration
	hedge bool
}

// history drives a budget with requests at a varying rate; a hedge is tried after each.
func history(ratio, meanRate float64, seed uint64, length time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	var budget Budget
	var events []event
	rate := meanRate
	for now := time.Hour; now < time.Hour+length; {
		if random.Float64() < 0.01 {
			rate = meanRate * random.Float64() * 2
		}
		now += time.Duration(random.ExpFloat64() / max(rate, meanRate/50) * float64(time.Second))
		budget.Earn(ratio, now)
		events = append(events, event{at: now})
		for range random.IntN(3) {
			if budget.Spend(ratio, now) {
				events = append(events, event{at: now, hedge: true})
			}
		}
	}
	return events
}

// mostOverWindow returns the largest excess of hedges over the ratio of requests in any
// window that ends at a hedge and has more than one.
func mostOverWindow(events []event, ratio float64) float64 {
	worst := -1.0
	for end, last := range events {
		if !last.hedge {
			continue
		}
		requests, hedges := 0, 0
		for i := end; i >= 0 && events[i].at > last.at-Window; i-- {
			if events[i].hedge {
				hedges++
			} else {
				requests++
			}
		}
		if hedges > 1 {
			worst = max(worst, float64(hedges)-ratio*float64(requests))
		}
	}
	return worst
}

// TestHedgesStayWithinTheirRatio guards against hedges beyond the ratio of the requests, in
// any window and altogether.
func TestHedgesStayWithinTheirRatio(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("in each window and altogether", prop.ForAll(
		func(ratio, rate float64, seed uint64) bool {
			events := history(ratio, rate, seed, 40*time.Second)
			requests, hedges := 0, 0
			for _, e := range events {
				if e.hedge {
					hedges++
				} else {
					requests++
				}
				if float64(hedges) > ratio*float64(requests)+1e-6 {
					return false
				}
			}
			return mostOverWindow(events, ratio) <= 1e-9
		},
		gen.Float64Range(0.005, 0.3), gen.Float64Range(1, 120), gen.UInt64(),
	))
	properties.TestingRun(t)
}

// TestMostOfTheRatioIsUsable guards against a bound that leaves the operator's share unused.
func TestMostOfTheRatioIsUsable(t *testing.T) {
	for _, c := range []struct{ ratio, rate float64 }{{0.02, 200}, {0.02, 3}, {0.05, 30}, {0.01, 1000}} {
		var budget Budget
		requests, hedges := 0, 0
		for now := time.Duration(0); now < 400*time.Second; now += time.Duration(float64(time.Second) / c.rate) {
			budget.Earn(c.ratio, now)
			requests++
			if budget.Spend(c.ratio, now) {
				hedges++
			}
		}
		if share := float64(hedges) / (c.ratio * float64(requests)); share < 0.8 || share > 1 {
			t.Errorf("ratio %v at %v requests a second: %.2f of the hedges were allowed", c.ratio, c.rate, share)
		}
	}
}

// TestNothingIsAllowedWithoutRatio guards against hedges that nobody asked for, also after
// the ratio was set to 0 with hedges saved up.
func TestNothingIsAllowedWithoutRatio(t *testing.T) {
	var budget Budget
	for i := range 1000 {
		budget.Earn(0.1, time.Duration(i)*time.Millisecond)
	}
	if !budget.Available(0.1, time.Second) || budget.Spend(0, time.Second) {
		t.Error("a hedge was allowed at ratio 0")
	}
}

// TestBudgetForgetsAnOldBurst guards against hedges in a quiet time that a burst long ago
// has earned.
func TestBudgetForgetsAnOldBurst(t *testing.T) {
	var budget Budget
	for i := range 5000 {
		budget.Earn(0.05, time.Duration(i)*time.Millisecond)
	}
	hedges := 0
	for budget.Spend(0.05, time.Minute) {
		hedges++
	}
	if hedges > 1 {
		t.Errorf("%d hedges a minute after the burst", hedges)
	}
}
