package offer

import (
	"math"
	"math/rand/v2"
	"testing"
)

func withCapacities(capacities ...uint32) []VM {
	vms := fleet(1, len(capacities))
	for i, capacity := range capacities {
		vms[i].Capacity = capacity
	}
	return vms
}

// TestCallersSpreadByCapacity guards against small VMs that get as many requests as large
// ones: two large VMs beside small ones, in a zone whose demand is above what two can serve.
func TestCallersSpreadByCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, capacities := range [][]uint32{{266, 266, 35, 35}, {266, 35, 35, 35, 35}, {100, 100, 100}, {40, 30, 20, 10}, {266, 266}} {
		vms := withCapacities(capacities...)
		got := make(map[string]float64)
		const answers = 20_000
		for range answers {
			sample := Sample(vms, random)
			for _, vm := range sample {
				got[vm.Name] += 1 / float64(len(sample)) / answers
			}
		}
		size := responseSize(vms)
		for i, shown := range advertiseProbabilities(vms, size) {
			want := shown / float64(size)
			if math.Abs(got[vms[i].Name]-want) > 0.01 {
				t.Errorf("capacities %v: VM %d gets %.3f of the requests, want %.3f", capacities, i, got[vms[i].Name], want)
			}
		}
	}
}

func TestEqualVMsAreAllShown(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, capacities := range [][]uint32{{50, 50, 50, 50, 50}, {0, 0, 0}, {50}} {
		if got := Sample(withCapacities(capacities...), random); len(got) != len(capacities) {
			t.Errorf("capacities %v: %d VMs shown", capacities, len(got))
		}
	}
}

// TestEachAnswerHasAnotherVM guards against callers that know one VM only when it ends.
func TestEachAnswerHasAnotherVM(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	vms := withCapacities(500, 10, 10, 10)
	for range 1000 {
		sample := Sample(vms, random)
		if len(sample) != minResponseVMs || sample[0].Name == sample[1].Name {
			t.Fatalf("answer %v", sample)
		}
	}
}

// TestSmallVMsJoinOneByOne guards against a zone that leaves its large VMs for all its small
// ones when the demand rises slightly above what the large ones serve: many primary VMs
// exchange messages with one another, and each would get more than it can serve.
func TestSmallVMsJoinOneByOne(t *testing.T) {
	vms := fleet(1, 36)
	for i := range vms {
		vms[i].Capacity = 35
	}
	vms[0].Capacity, vms[1].Capacity = 266, 266
	for _, c := range []struct {
		demand float64
		want   int
	}{{400, 2}, {532, 2}, {533, 3}, {581, 4}, {700, 7}, {1000, 16}} {
		vms[5].Rate = c.demand
		primaries := Primaries(vms, "z0", twoPerZone)
		if len(primaries) != c.want {
			t.Errorf("demand %.0f: %d primary VMs, want %d", c.demand, len(primaries), c.want)
		}
		if got := combinedCapacity(primaries); got < c.demand {
			t.Errorf("demand %.0f: the primary VMs can serve %.0f", c.demand, got)
		}
	}
}
