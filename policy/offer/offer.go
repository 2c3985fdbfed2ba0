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
// needs.
func Primaries(vms []VM, zone string, settings Settings) []VM {
	usable := make([]VM, 0, len(vms))
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
	usable = sortByPreference(usable)
	return usable[:primaryCount(usable, demand, settings.MinPerZone)]
}

// primaryCount returns the smallest number of VMs, at least minSize, that can
// serve the demand in requests per second, or the number that can serve the most
// when none is enough.
func primaryCount(usable []VM, demand float64, minSize int) int {
	minSize = min(len(usable), minSize)
	best, bestCapacity := minSize, 0.0
	for size := minSize; size > 0 && size <= len(usable); size++ {
		if usable[size-1].Capacity == 0 {
			return size
		}
		capacity := combinedCapacity(usable[:size])
		if capacity >= demand {
			return size
		}
		if capacity > bestCapacity {
			best, bestCapacity = size, capacity
		}
	}
	return best
}

// PrimaryVMs holds the primary VMs of each zone.
type PrimaryVMs struct {
	settings Settings
	// zones are the sorted names of the VMs' zones.
	zones     []string
	primaries map[string][]VM
}

// ChoosePrimaryVMs chooses the primary VMs of each zone.
func ChoosePrimaryVMs(vms []VM, settings Settings) PrimaryVMs {
	a := PrimaryVMs{settings: settings, zones: zones(vms), primaries: make(map[string][]VM)}
	for _, zone := range a.zones {
		a.primaries[zone] = Primaries(vms, zone, settings)
	}
	return a
}

// ForZone returns the VMs to advertise to callers of a zone: its primary VMs, and
// those of all other zones when it has fewer than settings.MinAdvertised.
func (a PrimaryVMs) ForZone(zone string) []VM {
	advertised := slices.Clone(a.primaries[zone])
	if len(advertised) >= a.settings.MinAdvertised {
		return advertised
	}
	for _, other := range a.zones {
		if other != zone {
			advertised = append(advertised, a.primaries[other]...)
		}
	}
	return advertised
}

// All returns the primary VMs of all zones.
func (a PrimaryVMs) All() []VM {
	var all []VM
	for _, zone := range a.zones {
		all = append(all, a.primaries[zone]...)
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
func (a PrimaryVMs) StoreWatchers() []VM {
	var watchers []VM
	for _, zone := range a.zones {
		if primaries := a.primaries[zone]; len(primaries) > 0 {
			watchers = append(watchers, primaries[0])
		}
	}
	if len(watchers) < minStoreWatchers {
		return a.All()
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

// rank is the place of a VM in the order of preference, without pointers, since the order is
// computed many times a second for hundreds of VMs.
type rank struct {
	capacity uint32
	hash     uint64
	index    int
}

// sortByPreference returns VMs by descending capacity and then by the hash of the name.
func sortByPreference(vms []VM) []VM {
	ranks := make([]rank, len(vms))
	for i, vm := range vms {
		ranks[i] = rank{vm.Capacity, xxhash.Sum64String(vm.Name), i}
	}
	slices.SortFunc(ranks, func(a, b rank) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.hash, a.hash), cmp.Compare(vms[a.index].Name, vms[b.index].Name))
	})
	sorted := make([]VM, len(vms))
	for i, r := range ranks {
		sorted[i] = vms[r.index]
	}
	return sorted
}
