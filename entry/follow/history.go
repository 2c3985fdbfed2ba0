package follow

import (
	"maps"
	"slices"
	"sync"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// maxRemovals is the number of removals that are kept; above it, the older half of them is dropped. It
// doesn't depend on the number of live items, so that a large deployment keeps as many.
const maxRemovals = 4096

// history holds the newest item under each key, including removals, so that other
// instances can fetch the changes after a revision.
type history struct {
	mu    sync.Mutex
	items map[string]Item
	// keys are those of the items in order; nil once a key has come or gone since they were sorted.
	keys []string
	// removals is the number of items that are removals; since is the revision from which all are known.
	removals int
	since    uint64
	position contract.StorePosition
	listed   bool
	// changed is closed and replaced when something is added.
	changed chan struct{}
}

func newHistory() *history {
	return &history{items: make(map[string]Item), changed: make(chan struct{})}
}

// add adds changes of the same era, or replaces everything by a full listing; neither is
// older than what the history holds.
func (h *history) add(listing Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if listing.Full {
		h.items = make(map[string]Item, len(listing.Items))
		h.since, h.listed, h.removals, h.keys = listing.Position.Revision, true, 0, nil
	}
	for _, item := range listing.Items {
		if old, ok := h.items[item.Key]; !ok || old.Revision <= item.Revision {
			h.removals += countRemoval(item) - countRemoval(old)
			h.items[item.Key] = item
			if !ok {
				h.keys = nil
			}
		}
	}
	h.position = listing.Position
	if h.removals > maxRemovals {
		h.dropOldRemovals()
	}
	if len(listing.Items) > 0 || listing.Full {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// sortedKeys returns the keys of the items in order; the lock is held.
func (h *history) sortedKeys() []string {
	if h.keys == nil {
		h.keys = slices.Sorted(maps.Keys(h.items))
	}
	return h.keys
}

// nextChange returns a channel that is closed when something is added.
func (h *history) nextChange() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// countRemoval returns 1 for a removal and 0 for any other item.
func countRemoval(item Item) int {
	if item.Removed {
		return 1
	}
	return 0
}

// dropOldRemovals drops the older half of the removals; the lock is held.
func (h *history) dropOldRemovals() {
	revisions := make([]uint64, 0, h.removals)
	for _, item := range h.items {
		if item.Removed {
			revisions = append(revisions, item.Revision)
		}
	}
	slices.Sort(revisions)
	h.since = max(h.since, revisions[len(revisions)/2])
	maps.DeleteFunc(h.items, func(_ string, item Item) bool { return item.Removed && item.Revision <= h.since })
	h.keys = nil
	h.removals = 0
	for _, item := range h.items {
		h.removals += countRemoval(item)
	}
}
