package follow

import (
	"maps"
	"slices"
	"sync"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// maxHistory is the number of items above which the removals are dropped. The
// number of live items is not bounded.
const maxHistory = 4096

// history holds the newest item under each key, including removals, so that other
// instances can fetch the changes after a revision.
type history struct {
	mu    sync.Mutex
	items map[string]Item
	// since is the revision from which removals are known.
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
		h.since, h.listed = listing.Position.Revision, true
	}
	for _, item := range listing.Items {
		if old, ok := h.items[item.Key]; !ok || old.Revision <= item.Revision {
			h.items[item.Key] = item
		}
	}
	h.position = listing.Position
	if len(h.items) > maxHistory {
		h.dropRemovals()
	}
	if len(listing.Items) > 0 || listing.Full {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// nextChange returns a channel that is closed when something is added.
func (h *history) nextChange() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// dropRemovals drops the items of removed keys; the lock is held.
func (h *history) dropRemovals() {
	maps.DeleteFunc(h.items, func(_ string, item Item) bool { return item.Removed })
	h.since = h.position.Revision
}

// after returns the changes after a position, or everything for the zero position and
// for one whose later changes are not known; ok is false when the history holds nothing
// or is itself of an older era than the position.
func (h *history) after(position contract.StorePosition) (listing Listing, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || position.Era > h.position.Era {
		return Listing{}, h.changed, false
	}
	revision := position.Revision
	full := h.isFullFor(position)
	listing = Listing{Position: h.position, Full: full}
	for _, key := range slices.Sorted(maps.Keys(h.items)) {
		item := h.items[key]
		if (full && !item.Removed) || (!full && item.Revision > revision) {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, h.changed, true
}
