package room_test

import (
	"strconv"
	"testing"
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

// manyCustomers divides the load among 79 customers, a few of them large.
func manyCustomers(m model, load float64) model {
	for i, share := range zipf(79) {
		m.sources = append(m.sources, source{customer: "c" + strconv.Itoa(i), priority: 1, rate: steady(share * load * m.capacity())})
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
