package offer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is one member of the fleet.
type VM struct {
	Name string
	Zone string
	// Address is where callers connect, "IP:port".
	Address string
	// Capacity is the requests a second that it is fit for; zero when unknown.
	Capacity uint32
	// Rate is the requests a second that it serves now.
	Rate float64
	// Usable is true when the VM takes callers and is heard of.
	Usable bool
}

// Settings bound the offer.
type Settings struct {
	// MinPerZone is the least number of VMs that the callers of a zone are shown.
	MinPerZone int
	// MinAdvertised is the number below which VMs of other zones are added.
	MinAdvertised int
}

// Primaries returns the front rank of a zone: the usable VMs that come first by
// capacity and then in rendezvous order, as many as the zone's requests need.
// Callers choose among them evenly, so the smallest of them decides.
func Primaries(vms []VM, zone string, settings Settings) []VM {
	var usable []VM
	demand := 0.0
	for _, vm := range vms {
		if vm.Zone != zone {
			continue
		}
		demand += vm.Rate
		if vm.Usable {
			usable = append(usable, vm)
		}
	}
	sortByRank(usable)
	return usable[:rankSize(usable, demand, settings.MinPerZone)]
}

// rankSize returns the least number of VMs that carry the demand, or the one
// that carries most when none does.
func rankSize(usable []VM, demand float64, least int) int {
	least = min(len(usable), least)
	best, bestCarried := least, 0.0
	for size := least; size > 0 && size <= len(usable); size++ {
		smallest := usable[size-1].Capacity
		carried := float64(size) * float64(smallest)
		if smallest == 0 || carried >= demand {
			return size
		}
		if carried > bestCarried {
			best, bestCarried = size, carried
		}
	}
	return best
}

// ForZone returns the VMs for callers of a zone: its front rank, and those of the
// other zones as well when it is too small.
func ForZone(vms []VM, zone string, settings Settings) []VM {
	offered := Primaries(vms, zone, settings)
	if len(offered) >= settings.MinAdvertised {
		return offered
	}
	for _, other := range zones(vms) {
		if other != zone {
			offered = append(offered, Primaries(vms, other, settings)...)
		}
	}
	return offered
}

// AllPrimaries returns the front ranks of all zones.
func AllPrimaries(vms []VM, settings Settings) []VM {
	var all []VM
	for _, zone := range zones(vms) {
		all = append(all, Primaries(vms, zone, settings)...)
	}
	return all
}

// leastLeaders is the number of VMs that watch the store at least, as long as
// the front ranks have as many: a watch that the store drops without a word is
// made up for by the others'.
const leastLeaders = 3

// StoreWatchers returns the VMs that watch the store and tell the others: the first of
// each zone's front rank, or all in front ranks when these would be too few.
func StoreWatchers(vms []VM, settings Settings) []VM {
	var leaders []VM
	for _, zone := range zones(vms) {
		if front := Primaries(vms, zone, settings); len(front) > 0 {
			leaders = append(leaders, front[0])
		}
	}
	if len(leaders) < leastLeaders {
		return AllPrimaries(vms, settings)
	}
	return leaders
}

// zones returns the zones of the VMs in order.
func zones(vms []VM) []string {
	var names []string
	for _, vm := range vms {
		names = append(names, vm.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func sortByRank(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)), cmp.Compare(a.Name, b.Name))
	})
}
