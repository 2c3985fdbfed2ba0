package room_test

import (
	"testing"
	"time"
)

// loads are multiples of the capacity under overload.
var loads = []float64{1.5, 2, 3}

// threePriorities divides the load by priority: 2 parts of 10 are the most urgent, 5 the next.
func threePriorities(m model, load float64) model {
	for priority, share := range []float64{0.2, 0.5, 0.3} {
		m.sources = append(m.sources, source{priority: priority, rate: steady(share * load * m.capacity())})
	}
	return m
}

// TestGoodputUnderOverload guards against idle slots beside refused requests, and against work
// that is completed too late.
func TestGoodputUnderOverload(t *testing.T) {
	const minGoodput = 0.95
	for _, load := range loads {
		before, after := threePriorities(serviceTwo(false, 1), load).play(), threePriorities(serviceTwo(true, 1), load).play()
		t.Logf("load %.1f: goodput %.3f, by today's rule %.3f", load, after.goodput(), before.goodput())
		for i := range after.results {
			t.Logf("  priority %d: served %.3f p99 %v, by today's rule %.3f p99 %v", i, after.results[i].servedShare(), p99(after.results[i].latencies), before.results[i].servedShare(), p99(before.results[i].latencies))
		}
		if got := after.goodput(); got < minGoodput {
			t.Errorf("load %.1f: goodput is %.3f of the capacity, want at least %.2f", load, got, minGoodput)
		}
	}
}

// TestLessUrgentIsNeverServedBetter guards against a less urgent priority that is served while a
// more urgent one is refused.
func TestLessUrgentIsNeverServedBetter(t *testing.T) {
	const tolerance = 0.005
	for _, load := range []float64{0.9, 1.1, 1.5, 2, 3, 5} {
		results := threePriorities(serviceTwo(true, 2), load).play().results
		for i := 1; i < len(results); i++ {
			if results[i].servedShare() > results[i-1].servedShare()+tolerance {
				t.Errorf("load %.1f: priority %d is served %.3f, priority %d %.3f", load, i, results[i].servedShare(), i-1, results[i-1].servedShare())
			}
		}
	}
}

// TestNothingIsRefusedBelowTheCapacity guards against refusals that today's rule does not make:
// random arrivals, without and with bursts of 1.7 times the rate for 3 s of each 20 s.
func TestNothingIsRefusedBelowTheCapacity(t *testing.T) {
	for _, build := range []func(model, float64) model{threePriorities, manyCustomers} {
		for _, load := range []float64{0.5, 0.7, 0.85} {
			for _, burst := range []float64{1, 1.7} {
				for seed := range uint64(2) {
					before := build(serviceTwo(false, seed), load)
					for i := range before.sources {
						before.sources[i].rate = bursts(before.sources[i].rate(0), burst, 3*time.Second, 20*time.Second)
					}
					after := before
					after.usesRoom = true
					old, new := before.play(), after.play()
					arrived, today, now := refusals(old, new)
					t.Logf("%d sources, load %.2f, bursts %.1f, seed %d: of %d refused %d %v, by today's rule %d %v", len(before.sources), load, burst, seed, arrived, now, new.causes, today, old.causes)
					if now > today {
						t.Errorf("%d sources, load %.2f, bursts %.1f, seed %d: of %d refused %d, by today's rule %d", len(before.sources), load, burst, seed, arrived, now, today)
					}
				}
			}
		}
	}
}

// refusals returns the arrivals and the requests refused in two runs.
func refusals(before, after *run) (arrived, refusedBefore, refusedAfter int) {
	for i := range before.results {
		arrived += before.results[i].arrived
		refusedBefore += before.results[i].refused
		refusedAfter += after.results[i].refused
	}
	return arrived, refusedBefore, refusedAfter
}
