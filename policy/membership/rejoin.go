package membership

import (
	"net/netip"
	"slices"
	"time"
)

// firstJoinInterval is the mean time between two joins while no member is known.
const firstJoinInterval = 500 * time.Millisecond

// ListedVM is one row of the platform's lagging VM list.
type ListedVM struct {
	VM string
	// PeersAddress is "IP:port"; a row without one is not used for joins.
	PeersAddress string
	Leaving      bool
}

// SetListedVMs sets the platform's VM list. It only provides addresses to join: the
// list lags, so a member's own statements take precedence over it.
func (s *State) SetListedVMs(rows []ListedVM) {
	s.listedAddresses = s.listedAddresses[:0]
	for _, row := range rows {
		_, err := netip.ParseAddrPort(row.PeersAddress)
		if err == nil && !row.Leaving && len(s.listedAddresses) < s.settings.MaxMembers {
			s.listedAddresses = append(s.listedAddresses, row.PeersAddress)
		}
	}
}

// rejoin joins an address outside the view, and exchanges lists when views differ.
func (s *State) rejoin(now time.Duration) []Action {
	var actions []Action
	if s.mismatches >= mismatchesBeforeSync && now-s.lastSync >= s.settings.SyncInterval {
		s.mismatches = 0
		s.lastSync = now
		if vm := s.randomNeighbor(); vm != "" {
			actions = append(actions, s.join(now, s.members[vm].PeersAddress))
		}
	}
	if now < s.nextRejoin {
		return actions
	}
	interval := s.settings.RejoinInterval
	if len(s.members) == 0 || s.revalidating {
		interval = firstJoinInterval
	}
	s.nextRejoin = now + interval/2 + time.Duration(s.random.Int64N(int64(interval)))
	if address := s.pickAddressOutsideView(); address != "" {
		actions = append(actions, s.join(now, address))
	}
	return actions
}

func (s *State) join(now time.Duration, address string) Action {
	return Action{Kind: ActionJoin, Address: address, Timeout: 4 * s.settings.ProbeTimeout,
		Message: Message{From: s.Self(now)}}
}

func (s *State) randomNeighbor() string {
	var alive []string
	for _, vm := range s.neighbors {
		if r, ok := s.members[vm]; ok && r.Status == Alive {
			alive = append(alive, vm)
		}
	}
	if len(alive) == 0 {
		return ""
	}
	return alive[s.random.IntN(len(alive))]
}

// pickAddressOutsideView picks the address of a seed, a tombstone or a listed VM
// that is not a member's address. It first picks one of the kinds that have such
// an address, each with equal probability, and then one of its addresses.
func (s *State) pickAddressOutsideView() string {
	inside := map[string]bool{s.self.PeersAddress: true}
	for _, r := range s.members {
		inside[r.PeersAddress] = true
	}
	var deadAddresses []string
	for _, vm := range sortedKeys(s.tombstones) {
		deadAddresses = append(deadAddresses, s.tombstones[vm].PeersAddress)
	}
	var kinds [][]string
	for _, addresses := range [][]string{s.seeds, deadAddresses, s.listedAddresses} {
		outside := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return inside[address] })
		if len(outside) > 0 {
			kinds = append(kinds, outside)
		}
	}
	if len(kinds) == 0 {
		return ""
	}
	kind := kinds[s.random.IntN(len(kinds))]
	return kind[s.random.IntN(len(kind))]
}
