package follow

import (
	"maps"
	"slices"
	"sync"
)

// maxHistory bounds the removals that are remembered for other instances.
const maxHistory = 4096

// history holds the newest item under each key, removals included, so that
// other instances can be told what changed after a revision.
type history struct {
	mu    sync.Mutex
	items map[string]Item
	// since is the revision from which on removals are known.
	since    uint64
	revision uint64
	whole    bool
	// grown is closed and replaced when something is added.
	grown chan struct{}
}

func newHistory() *history {
	return &history{items: make(map[string]Item), grown: make(chan struct{})}
}

// add takes over a listing or changes.
func (h *history) add(listing Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if listing.Full {
		h.items = make(map[string]Item, len(listing.Items))
		h.since, h.whole = listing.Revision, true
	}
	for _, item := range listing.Items {
		if old, ok := h.items[item.Key]; !ok || old.Revision <= item.Revision {
			h.items[item.Key] = item
		}
	}
	h.revision = max(h.revision, listing.Revision)
	if len(h.items) > maxHistory {
		h.forgetRemovals()
	}
	if len(listing.Items) > 0 || listing.Full {
		close(h.grown)
		h.grown = make(chan struct{})
	}
}

// forgetRemovals drops the removed keys; the lock is held.
func (h *history) forgetRemovals() {
	maps.DeleteFunc(h.items, func(_ string, item Item) bool { return item.Removed })
	h.since = h.revision
}

// after returns what changed after a revision; ok is false when that is no
// longer known and everything has to be listed.
func (h *history) after(revision uint64) (listing Listing, grown <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.whole {
		return Listing{}, h.grown, false
	}
	all := revision == 0
	if !all && revision < h.since {
		return Listing{}, h.grown, false
	}
	listing = Listing{Revision: h.revision, Full: all}
	for _, key := range slices.Sorted(maps.Keys(h.items)) {
		item := h.items[key]
		if (all && !item.Removed) || (!all && item.Revision > revision) {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, h.grown, true
}
