package generation

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseloom/primroseloom/policy/subset"
)

// Sizes of the distribution tree.
const (
	// ReadersPerZone is the number of instances of a zone that watch the platform.
	ReadersPerZone = 2
	// Fanout is the number of children of an instance in its zone's tree.
	Fanout = 4
)

// rankingKey is the hash key of the rendezvous ranking within a zone.
const rankingKey = "configuration"

// Role is an instance's role in the distribution of the configuration.
type Role struct {
	Reader bool
	// Index numbers the readers of all zones from 0; it spreads them over the
	// platform's replicas.
	Index int
	// Readers is the number of readers in the fleet.
	Readers int
	// Members is the number of instances in the view.
	Members int
	// Parents are the instances to poll, in order of preference.
	Parents []string
}

// AssignRole returns the role of an instance in its own view; the instance counts
// as a member of the view even when the view does not contain it.
func AssignRole(self subset.VM, view []subset.VM) Role {
	isSelf := func(vm subset.VM) bool { return vm.Name == self.Name }
	view = append(slices.DeleteFunc(slices.Clone(view), isSelf), self)
	zones := rankZones(view)
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	role := Role{Members: len(view)}
	home := slices.Index(names, self.Zone)
	rank := slices.Index(zones[self.Zone], self.Name)
	for i, zone := range names {
		if i == home {
			role.Index = role.Readers + rank
		}
		role.Readers += min(ReadersPerZone, len(zones[zone]))
	}
	role.Reader = rank < ReadersPerZone
	next := zones[names[(home+1)%len(names)]]
	if role.Reader {
		previous := zones[names[(home+len(names)-1)%len(names)]]
		role.Parents = readerParents(self.Name, rank, next, previous, zones[self.Zone])
		return role
	}
	role.Parents = append(role.Parents, parent(rank, zones[self.Zone]))
	if len(names) > 1 {
		role.Parents = append(role.Parents, parent(rank, next))
	}
	return role
}

// readerParents returns a reader of each neighboring zone, or else the other
// reader of the instance's own zone.
func readerParents(self string, rank int, zones ...[]string) []string {
	parents := make([]string, 0, len(zones))
	for _, ranking := range zones {
		place := min(rank, len(ranking)-1)
		for _, candidate := range []string{ranking[place], ranking[0], ranking[min(1, len(ranking)-1)]} {
			if candidate != self && !slices.Contains(parents, candidate) {
				parents = append(parents, candidate)
				break
			}
		}
	}
	return parents[:min(2, len(parents))]
}

// parent returns the parent of a rank in a zone's tree.
func parent(rank int, ranking []string) string {
	parentRank := (max(rank, ReadersPerZone) - ReadersPerZone) / Fanout
	return ranking[min(parentRank, len(ranking)-1)]
}

// score is the rendezvous weight of an instance.
func score(name string) uint64 { return xxhash.Sum64String(rankingKey + "\x00" + name) }

// rankZones orders the instances of each zone by their rendezvous score.
func rankZones(view []subset.VM) map[string][]string {
	type scored struct {
		name  string
		score uint64
	}
	scores := make(map[string][]scored)
	for _, vm := range view {
		entry := scored{vm.Name, score(vm.Name)}
		scores[vm.Zone] = append(scores[vm.Zone], entry)
	}
	zones := make(map[string][]string, len(scores))
	for zone, entries := range scores {
		slices.SortFunc(entries, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
		})
		for _, entry := range entries {
			zones[zone] = append(zones[zone], entry.name)
		}
	}
	return zones
}
