package soak

import (
	"strconv"
	"strings"
)

const (
	// historyStream is the random stream of the series that discards the store's history.
	historyStream = 20
	// otherEntries is the number of entries that are neither routes nor targets; each has otherBytes. All
	// together are larger than a message between daemons, as in a large deployment.
	otherEntries, otherBytes = 3000, 450
	// maxChanged is the number of them that change, or go, at once before a history is discarded.
	maxChanged = 800
)

// publishOthers publishes the entries that are neither routes nor targets.
func (s *soak) publishOthers() {
	for i := range otherEntries {
		s.store.PublishOther(strconv.Itoa(i), []byte(strings.Repeat("a", otherBytes)))
	}
}

// discardHistory changes many entries in bulk and discards the store's history, at times a few times in a
// row: each daemon has to list again, or to be given a whole listing.
func (s *series) discardHistory() {
	s.soak.countFault("history discarded")
	for range 1 + s.random.IntN(3) {
		for range s.random.IntN(maxChanged) {
			id := strconv.Itoa(s.random.IntN(otherEntries))
			if s.random.IntN(3) == 0 {
				s.soak.store.RemoveOther(id)
				continue
			}
			s.soak.store.PublishOther(id, []byte(strings.Repeat("b", otherBytes)))
		}
		s.soak.store.DiscardHistory()
	}
}
