package subset

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a candidate for a set.
type VM struct {
	Name   string
	Zone   string
	Region string
}

// Demand describes the targets of a service, from which its set is sized.
type Demand struct {
	Targets int
	// Slots is the number of requests a target runs at a time.
	Slots int
	// MaxConnections is the number of connections that a target accepts.
	MaxConnections int
}

// Limits are the parameters that size the sets.
type Limits struct {
	// SlotsPerVM is the number of target slots that one VM should serve.
	SlotsPerVM int
	// MinVMs is the minimum size of a set.
	MinVMs int
	// SpareConnections is the number of connections that a VM may open to a target
	// beyond one per slot.
	SpareConnections int
	// ConnectionShare is the fraction of a target's connections that the sets may
	// use; the rest is for VMs that have left a set and for VMs whose views differ.
	ConnectionShare float64
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{SlotsPerVM: 6, MinVMs: 6, SpareConnections: 2, ConnectionShare: 0.5}
}

// Size returns the number of VMs of a service's set in each of its regions.
func (l Limits) Size(d Demand, regions int) int {
	perRegion := l.SlotsPerVM * max(regions, 1)
	size := max((d.Targets*d.Slots+perRegion-1)/perRegion, l.MinVMs)
	if d.MaxConnections > 0 {
		size = min(size, l.maxSetSizeByConnections(d)/max(regions, 1))
	}
	return max(size, 1)
}

func (l Limits) maxSetSizeByConnections(d Demand) int {
	return int(l.ConnectionShare*float64(d.MaxConnections)) / (d.Slots + l.SpareConnections)
}

// Set is the set of VMs of one service, by position.
type Set struct {
	service   string
	positions []VM
}

// NewSet fills the positions of a service's set from the candidates.
func NewSet(service string, candidates []VM, size int) Set {
	byZone := make(map[string][]VM)
	for _, vm := range candidates {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	used := make(map[string]int)
	set := Set{service: service}
	size = min(size, len(candidates))
	for position := range size {
		fair := (size + len(byZone) - 1) / len(byZone)
		zone := chooseZone(service, position, byZone, used, fair)
		used[zone]++
		set.positions = append(set.positions, removeBest(service, position, byZone, zone))
	}
	return set
}

// chooseZone returns the zone for a position: the one with the highest score among
// those with fewer than their fair number of positions, or else among all with VMs
// left.
func chooseZone(service string, position int, byZone map[string][]VM, used map[string]int, fair int) string {
	var best string
	var bestScore uint64
	var bestOverFair bool
	for zone, left := range byZone {
		if len(left) == 0 {
			continue
		}
		score := positionScore(service, zone, position)
		overFair := used[zone] >= fair
		if best == "" || (bestOverFair && !overFair) || (overFair == bestOverFair && score > bestScore) {
			best, bestScore, bestOverFair = zone, score, overFair
		}
	}
	return best
}

// removeBest removes the VM with the highest score for a position from its zone
// and returns it.
func removeBest(service string, position int, byZone map[string][]VM, zone string) VM {
	var best int
	var bestScore uint64
	for i, vm := range byZone[zone] {
		score := positionScore(service, vm.Name, position)
		if i == 0 || score > bestScore || (score == bestScore && vm.Name < byZone[zone][best].Name) {
			best, bestScore = i, score
		}
	}
	vm := byZone[zone][best]
	byZone[zone] = slices.Delete(slices.Clone(byZone[zone]), best, best+1)
	return vm
}

func positionScore(service, name string, position int) uint64 {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(position))
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	_, _ = digest.Write(number[:])
	return digest.Sum64()
}

// Choose returns up to count VMs for a key. It takes no more than count divided by
// the number of zones, rounded up, from a zone while other zones have VMs left.
func Choose(key string, candidates []VM, count int) []VM {
	return NewSet(key, candidates, count).VMs()
}

// VMs returns the VMs of the set by position.
func (s Set) VMs() []VM { return s.positions }

// Choose returns up to count VMs for a customer in order of preference: one VM of
// each zone before the second one of any zone.
func (s Set) Choose(customer string, count int) []VM {
	type ranked struct {
		vm    VM
		score uint64
		round int
	}
	key := s.service + "/" + customer
	order := make([]ranked, len(s.positions))
	for position, vm := range s.positions {
		order[position] = ranked{vm: vm, score: positionScore(key, "", position)}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	seen := make(map[string]int)
	for i := range order {
		order[i].round = seen[order[i].vm.Zone]
		seen[order[i].vm.Zone]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	chosen := make([]VM, 0, count)
	for _, candidate := range order[:min(count, len(order))] {
		chosen = append(chosen, candidate.vm)
	}
	return chosen
}
