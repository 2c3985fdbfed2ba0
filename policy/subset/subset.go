// Package subset chooses which VMs serve a key, by rendezvous hashing.
//
// Each VM scores the key by a hash of both; the highest scores win. A VM that
// comes or goes moves only the keys that it wins or loses. Zone diversity is
// kept by taking the best VM of each zone in turn.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a candidate.
type VM struct {
	Name   string
	Zone   string
	Region string
}

// Score is the rendezvous weight of a VM for a key.
func Score(key, vm string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}

// Choose returns up to count VMs for a key in order of preference, one of each
// zone before the second of any.
func Choose(key string, candidates []VM, count int) []VM {
	type scored struct {
		vm    VM
		score uint64
		round int
	}
	ranked := make([]scored, 0, len(candidates))
	for _, vm := range candidates {
		ranked = append(ranked, scored{vm: vm, score: Score(key, vm.Name)})
	}
	byScore := func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.Name, b.vm.Name)
	}
	slices.SortFunc(ranked, byScore)
	seen := make(map[string]int)
	for i := range ranked {
		zone := ranked[i].vm.Zone
		ranked[i].round = seen[zone]
		seen[zone]++
	}
	slices.SortStableFunc(ranked, func(a, b scored) int { return cmp.Compare(a.round, b.round) })
	chosen := make([]VM, 0, count)
	for _, candidate := range ranked[:min(count, len(ranked))] {
		chosen = append(chosen, candidate.vm)
	}
	return chosen
}
