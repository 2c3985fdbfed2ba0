package offer

import (
	"math"
	"math/rand/v2"
)

// minResponseVMs is the least number of VMs in an answer to a caller, so that it has another one
// when the first does not accept it.
const minResponseVMs = 2

// Sample draws the VMs of one directory response. Callers spread their requests evenly over the
// VMs of a response, so a VM is advertised in proportion to its capacity. VMs of equal capacity
// are all advertised.
func Sample(vms []VM, random *rand.Rand) []VM {
	size := responseSize(vms)
	if size >= len(vms) {
		return vms
	}
	order := random.Perm(len(vms))
	shown := advertiseProbabilities(vms, size)
	drawn := make([]VM, 0, size)
	// Systematic sampling: VM i is drawn with probability shown[i], and size VMs in all.
	reached := random.Float64()
	for _, i := range order {
		before := math.Floor(reached)
		reached += shown[i]
		if math.Floor(reached) > before && len(drawn) < size {
			drawn = append(drawn, vms[i])
		}
	}
	return drawn
}

// responseSize returns the number of VMs in an answer: as many as allow the largest VM its
// share of the requests by capacity, but at least minResponseVMs.
func responseSize(vms []VM) int {
	total, largest := 0.0, 0.0
	for _, vm := range vms {
		if vm.Capacity == 0 {
			return len(vms)
		}
		total += float64(vm.Capacity)
		largest = max(largest, float64(vm.Capacity))
	}
	if largest == 0 {
		return len(vms)
	}
	return min(max(int(total/largest), minResponseVMs), len(vms))
}

// advertiseProbabilities returns the probability with which an answer of a size shows each VM: in
// proportion to its capacity, at most 1. The probabilities sum to the size.
func advertiseProbabilities(vms []VM, size int) []float64 {
	shown := make([]float64, len(vms))
	free, rest := float64(size), 0.0
	for _, vm := range vms {
		rest += float64(vm.Capacity)
	}
	for capped := true; capped && rest > 0; {
		capped = false
		for i, vm := range vms {
			capacity := float64(vm.Capacity)
			if shown[i] < 1 && free*capacity >= rest {
				shown[i], capped = 1, true
				free, rest = free-1, rest-capacity
			}
		}
	}
	for i, vm := range vms {
		if shown[i] < 1 && rest > 0 {
			shown[i] = free * float64(vm.Capacity) / rest
		}
	}
	return shown
}

// combinedCapacity returns the requests a second that VMs can serve together when callers spread as
// Sample makes them.
func combinedCapacity(vms []VM) float64 {
	size := responseSize(vms)
	most := math.Inf(1)
	for i, shown := range advertiseProbabilities(vms, size) {
		most = min(most, float64(vms[i].Capacity)*float64(size)/shown)
	}
	return most
}
