package follow

import (
	"maps"
	"slices"
	"sync"
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
	revision uint64
	listed   bool
	// changed is closed and replaced when something is added.
	changed chan struct{}
}

func newHistory() *history {
	return &history{items: make(map[string]Item), changed: make(chan struct{})}
}

// add adds changes, or replaces everything by a full listing.
func (h *history) add(listing Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if listing.Full {
		h.items = make(map[string]Item, len(listing.Items))
		h.since, h.listed = listing.Revision, true
	}
	for _, item := range listing.Items {
		if old, ok := h.items[item.Key]; !ok || old.Revision <= item.Revision {
			h.items[item.Key] = item
		}
	}
	h.revision = max(h.revision, listing.Revision)
	if len(h.items) > maxHistory {
		h.dropRemovals()
	}
	if len(listing.Items) > 0 || listing.Full {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// dropRemovals drops the items of removed keys; the lock is held.
func (h *history) dropRemovals() {
	maps.DeleteFunc(h.items, func(_ string, item Item) bool { return item.Removed })
	h.since = h.revision
}

// after returns the changes after a revision, or a full listing for revision 0;
// ok is false when the changes are no longer known and a full listing is needed.
func (h *history) after(revision uint64) (listing Listing, changed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed {
		return Listing{}, h.changed, false
	}
	full := revision == 0
	if !full && revision < h.since {
		return Listing{}, h.changed, false
	}
	listing = Listing{Revision: h.revision, Full: full}
	for _, key := range slices.Sorted(maps.Keys(h.items)) {
		item := h.items[key]
		if (full && !item.Removed) || (!full && item.Revision > revision) {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing, h.changed, true
}
