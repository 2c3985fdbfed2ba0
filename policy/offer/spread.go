package offer

import (
	"math"
	"math/rand/v2"
)

// minAnswer is the least number of VMs in an answer to a caller, so that it has another one
// when the first does not accept it.
const minAnswer = 2

// Sample draws the VMs of one answer to a caller. Callers spread their requests evenly over
// the VMs that they are shown, so a VM of less capacity is shown in fewer answers: over many
// answers each VM gets its share of the requests. VMs of equal capacity are all shown.
func Sample(vms []VM, random *rand.Rand) []VM {
	size := answerSize(vms)
	if size >= len(vms) {
		return vms
	}
	order := random.Perm(len(vms))
	shown := inclusion(vms, size)
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

// answerSize returns the number of VMs in an answer: as many as allow the largest VM its
// share of the requests by capacity, but at least minAnswer.
func answerSize(vms []VM) int {
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
	return min(max(int(total/largest), minAnswer), len(vms))
}

// inclusion returns the probability with which an answer of a size shows each VM: in
// proportion to its capacity, at most 1. The probabilities sum to the size.
func inclusion(vms []VM, size int) []float64 {
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

// servable returns the requests a second that VMs can serve together when callers spread as
// Sample makes them.
func servable(vms []VM) float64 {
	size := answerSize(vms)
	most := math.Inf(1)
	for i, shown := range inclusion(vms, size) {
		most = min(most, float64(vms[i].Capacity)*float64(size)/shown)
	}
	return most
}
