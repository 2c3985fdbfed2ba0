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
	// Capacity is the requests per second that the VM can serve; zero when unknown.
	Capacity uint32
	// Rate is the requests per second that the VM serves now.
	Rate float64
	// Usable is true when the VM accepts callers and messages from it arrive.
	Usable bool
}

// Settings are lower bounds on the number of advertised VMs.
type Settings struct {
	// MinPerZone is the minimum number of primary VMs of a zone.
	MinPerZone int
	// MinAdvertised is the number of advertised VMs below which VMs of other zones
	// are added.
	MinAdvertised int
}

// Primaries returns the primary VMs of a zone: the usable VMs that come first by
// capacity and then in rendezvous order, as many as the zone's request rate
// needs. Callers spread their requests evenly over them, so the smallest VM
// limits the rate.
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
	sortByPreference(usable)
	return usable[:primaryCount(usable, demand, settings.MinPerZone)]
}

// primaryCount returns the smallest number of VMs, at least minSize, that can
// serve the demand in requests per second, or the number that can serve the most
// when none is enough.
func primaryCount(usable []VM, demand float64, minSize int) int {
	minSize = min(len(usable), minSize)
	best, bestCapacity := minSize, 0.0
	for size := minSize; size > 0 && size <= len(usable); size++ {
		smallest := usable[size-1].Capacity
		capacity := float64(size) * float64(smallest)
		if smallest == 0 || capacity >= demand {
			return size
		}
		if capacity > bestCapacity {
			best, bestCapacity = size, capacity
		}
	}
	return best
}

// ForZone returns the VMs to advertise to callers of a zone: its primary VMs, and
// those of all other zones when it has fewer than settings.MinAdvertised.
func ForZone(vms []VM, zone string, settings Settings) []VM {
	advertised := Primaries(vms, zone, settings)
	if len(advertised) >= settings.MinAdvertised {
		return advertised
	}
	for _, other := range zones(vms) {
		if other != zone {
			advertised = append(advertised, Primaries(vms, other, settings)...)
		}
	}
	return advertised
}

// AllPrimaries returns the primary VMs of all zones.
func AllPrimaries(vms []VM, settings Settings) []VM {
	var all []VM
	for _, zone := range zones(vms) {
		all = append(all, Primaries(vms, zone, settings)...)
	}
	return all
}

// minStoreWatchers is the minimum number of VMs that watch the store, as long as
// there are as many primary VMs. When the store silently drops a watch, the other
// watchers still receive the changes.
const minStoreWatchers = 3

// StoreWatchers returns the VMs that watch the store and notify the others: the
// first primary VM of each zone, or all primary VMs when these are fewer than
// minStoreWatchers.
func StoreWatchers(vms []VM, settings Settings) []VM {
	var watchers []VM
	for _, zone := range zones(vms) {
		if primaries := Primaries(vms, zone, settings); len(primaries) > 0 {
			watchers = append(watchers, primaries[0])
		}
	}
	if len(watchers) < minStoreWatchers {
		return AllPrimaries(vms, settings)
	}
	return watchers
}

// zones returns the sorted names of the VMs' zones.
func zones(vms []VM) []string {
	var names []string
	for _, vm := range vms {
		names = append(names, vm.Zone)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sortByPreference sorts by descending capacity and then by the hash of the name.
func sortByPreference(vms []VM) {
	slices.SortFunc(vms, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name)), cmp.Compare(a.Name, b.Name))
	})
}
