package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func TestFairQueueServesByWeight(t *testing.T) {
	q := NewFairQueue[string]()
	for range 40 {
		q.Push("large", 3, "large")
		q.Push("small", 1, "small")
	}
	served := map[string]int{}
	for range 40 {
		entry, _ := q.Pop()
		served[entry.Item]++
	}
	if served["large"] < 29 || served["large"] > 31 {
		t.Fatalf("large got %d of 40, want 30", served["large"])
	}
}

func TestFairQueueLetsSmallCustomerPassBacklog(t *testing.T) {
	q := NewFairQueue[string]()
	for range 1000 {
		q.Push("flood", 1, "flood")
	}
	for range 100 {
		q.Pop()
	}
	if ahead := q.MaxAhead("small", 1); ahead > 1 {
		t.Fatalf("%v items ahead of a small customer", ahead)
	}
	q.Push("small", 1, "small")
	if entry, _ := q.Pop(); entry.Item != "small" {
		t.Fatal("the small customer waited for another customer's backlog")
	}
}

// TestFairQueueMatchesScanOfAllItems compares random operations with a plain scan
// of all items.
func TestFairQueueMatchesScanOfAllItems(t *testing.T) {
	type item struct {
		customer string
		start    float64
		n        int
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		q := NewFairQueue[int]()
		var naive []item
		entries := map[int]*Entry[int]{}
		for n := range 300 {
			switch op := rng.IntN(10); {
			case op < 5:
				customer := fmt.Sprint(rng.IntN(6))
				entry := q.Push(customer, 1+float64(len(customer)), n)
				entries[n] = entry
				naive = append(naive, item{customer, entry.start, n})
			case op < 9:
				entry, ok := q.Pop()
				if !ok {
					break
				}
				at := -1
				for i, candidate := range naive {
					if candidate.n == entry.Item {
						at = i
					}
				}
				for _, candidate := range naive {
					if candidate.start < naive[at].start {
						t.Fatalf("seed %d: item %d passed item %d", seed, entry.Item, candidate.n)
					}
				}
				if rng.IntN(4) == 0 {
					q.Restore(entry)
					break
				}
				naive = append(naive[:at], naive[at+1:]...)
			case len(naive) > 0:
				at := rng.IntN(len(naive))
				q.Remove(entries[naive[at].n])
				q.Remove(entries[naive[at].n])
				naive = append(naive[:at], naive[at+1:]...)
			}
			if q.Len() != len(naive) {
				t.Fatalf("seed %d: length %d, want %d", seed, q.Len(), len(naive))
			}
		}
		if q.activeWeight < -1e-9 {
			t.Fatalf("seed %d: weight %v", seed, q.activeWeight)
		}
	}
}

func TestFairQueueRemovesIdleFlows(t *testing.T) {
	q := NewFairQueue[int]()
	q.Push("resident", 1, 0)
	for n := range 100000 {
		q.Push(fmt.Sprint(n), 1, n)
		q.Push("resident", 1, n)
		q.Pop()
		q.Pop()
	}
	if len(q.flows) > 10*sweepSlack {
		t.Fatalf("%d flows kept", len(q.flows))
	}
}

func BenchmarkFairQueue(b *testing.B) {
	for _, customers := range []int{30, 300, 3800, 38000} {
		b.Run(fmt.Sprintf("known=%d/waiting=30", customers), func(b *testing.B) {
			benchmarkQueue(b, customers, 30)
		})
		b.Run(fmt.Sprintf("known=%d/waiting=all", customers), func(b *testing.B) {
			benchmarkQueue(b, customers, customers)
		})
	}
}

func benchmarkQueue(b *testing.B, customers, waiting int) {
	q := NewFairQueue[int]()
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	for i := range waiting {
		q.Push(names[i], 1, i)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		q.Push(names[rng.IntN(customers)], 1, 0)
		q.Pop()
	}
}
