package freshness

import "time"

const (
	// peersToCompare is the number of peers with which a VM compares its version before it
	// takes the store at its word; all of them when it knows fewer.
	peersToCompare = 3
	// leastCompareTime is the least time of a comparison. Several heartbeats fit into it, by which
	// a VM hears of the routes of others than those that it asks.
	leastCompareTime = time.Second
	// aloneTime is how long a VM waits for the first peer; joining takes less than a second.
	aloneTime = 2 * time.Second
	// silentBounds multiplied by the bound is how long a VM waits for answers of peers that it
	// has known, before it takes the store at its word without them.
	silentBounds = 2
	// maxWaitStep bounds what the time between two calls of PeersKnown adds to that wait. It exceeds
	// their usual interval: in a longer one the VM was paused, or did not ask its peers, so that
	// their silence in it means nothing.
	maxWaitStep = time.Second
)

// comparison is the progress of comparing versions with peers.
type comparison struct {
	// since is when the VM started or the store was restored.
	since time.Duration
	// answered holds the peers that answered calls sent since then.
	answered map[string]bool
	// wanted is the number of answers that are needed, as far as peers are known.
	wanted int
	// knewPeers is true once this VM has known any peer.
	knewPeers bool
	// waited is how long this VM has been asking peers, lookedAt the time of the latest call of
	// PeersKnown.
	waited   time.Duration
	lookedAt moment
	done     bool
}

// StoreRestored records that the store came back from a copy: what it has lost is to be
// learned from peers.
func (s *State) StoreRestored(now time.Duration) {
	s.compared = comparison{since: now, knewPeers: s.compared.knewPeers}
	s.store = moment{}
}

// Compared reports whether the store's word counts.
func (s *State) Compared() bool { return s.compared.done }

// WantsAnswers reports whether peers are to be asked for the comparison.
func (s *State) WantsAnswers() bool {
	return !s.compared.done && len(s.compared.answered) < s.compared.wanted
}

// HasAnswered reports whether a peer needs not be asked again for the comparison.
func (s *State) HasAnswered(peer string) bool { return s.compared.answered[peer] }

// PeersKnown records the number of peers that this VM knows, and ends the comparison when
// enough of them have answered, or there is nobody to answer. It is called regularly.
func (s *State) PeersKnown(peers int, now time.Duration) {
	s.compared.knewPeers = s.compared.knewPeers || peers > 0
	passed := now - s.compared.since
	isAlone := !s.compared.knewPeers && passed >= aloneTime
	if s.compared.knewPeers {
		s.compared.wait(now)
	}
	s.compared.wanted = min(peersToCompare, peers)
	hasAnswers := peers > 0 && !s.WantsAnswers()
	if hasAnswers && passed >= leastCompareTime || isAlone || s.compared.waited >= silentBounds*s.bound {
		s.endComparison()
	}
}

// wait adds the time since the previous call of PeersKnown, up to maxWaitStep, to the time that
// this VM has been asking.
func (c *comparison) wait(now time.Duration) {
	if c.lookedAt.known {
		c.waited += min(now-c.lookedAt.at, maxWaitStep)
	}
	c.lookedAt.advance(now)
}

// compareWith records that a peer has answered a call that was sent at a moment.
func (s *State) compareWith(peer string, sent time.Duration) {
	if s.compared.done || sent < s.compared.since {
		return
	}
	if s.compared.answered == nil {
		s.compared.answered = make(map[string]bool)
	}
	s.compared.answered[peer] = true
}

// endComparison makes the store's word count, also what it said meanwhile.
func (s *State) endComparison() {
	if s.compared.done {
		return
	}
	s.compared.done, s.compared.answered = true, nil
	if s.store.known {
		s.confirm(s.store.at)
	}
}
