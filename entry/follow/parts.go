package follow

import (
	"bytes"

	"github.com/primroseloom/primroseloom/entry/contract"
)

const (
	// partBytes is the size in bytes up to which the items of one part of a listing go; one item
	// may be larger. A listing grows with the deployment, and a message between instances does not.
	partBytes = 256 << 10
	// itemOverhead is the most that an item has in a message beyond its key and its value, in bytes.
	itemOverhead = 32
)

// cursor is the end of a part of a listing: up to its key, in the order of keys, the parts so far
// hold the state at its position.
type cursor struct {
	position contract.StorePosition
	key      string
	// full is true when the parts hold all that exists, rather than changes.
	full bool
}

// bytes returns the size of an item in a message, at most.
func (i Item) bytes() int { return len(i.Key) + len(i.Value) + itemOverhead }

// part is a part of a listing.
type part struct {
	Listing
	// continued is true when the part continues a cursor; otherwise it is a first one.
	continued bool
	// next is where the part ends; nil for the last.
	next *cursor
}

// nextPart returns the part that follows a cursor, nil for the first, of the changes after a position, or of
// everything for the zero position and for one whose later changes are not known; ok is false when the history
// holds nothing or is itself of an older era than the position. The limit is in bytes of items.
//
// It keeps nothing for the requesting instance: what changed meanwhile under the keys of the parts before comes
// first, so that all parts together are of the revision of the last one, and any instance that has read as far
// can continue for another. Where the changes since the cursor are no longer known, or don't fit into a part,
// it begins anew.
func (h *history) nextPart(position contract.StorePosition, from *cursor, limit int) (p part, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || position.Era > h.position.Era {
		return part{}, false
	}
	keys := h.sortedKeys()
	if from != nil && h.continues(*from, position) {
		if p, ok := h.partAfter(keys, *from, position.Revision, limit); ok {
			p.continued = true
			return p, true
		}
	}
	p, _ = h.partAfter(keys, cursor{position: h.position, full: h.isFullFor(position)}, position.Revision, limit)
	return p, true
}

// isFullFor reports whether an instance at a position needs all items, as the changes since are not
// known; the lock is held.
func (h *history) isFullFor(position contract.StorePosition) bool {
	return position.Era != h.position.Era || position.Revision < h.since
}

// continues reports whether all changes since a cursor are known, and, of a listing of changes, those since its
// position; the lock is held.
func (h *history) continues(from cursor, position contract.StorePosition) bool {
	return from.position.Era == h.position.Era && from.position.Revision <= h.position.Revision &&
		from.position.Revision >= h.since && (from.full || !h.isFullFor(position))
}

// partAfter returns the items of a part, given the keys in order; changes are those after a revision.
// ok is false when the changes under the keys of the parts before fill a part; the lock is held.
func (h *history) partAfter(keys []string, from cursor, revision uint64, limit int) (p part, ok bool) {
	p.Position, p.Full = h.position, from.full
	size, last := 0, from.key
	for _, key := range keys {
		item := h.items[key]
		isBefore := key <= from.key
		switch {
		case isBefore && item.Revision <= from.position.Revision,
			!isBefore && from.full && item.Removed,
			!isBefore && !from.full && item.Revision <= revision:
			continue
		}
		if size += item.bytes(); size > limit && len(p.Items) > 0 {
			if isBefore {
				return part{}, false
			}
			p.next = &cursor{position: h.position, key: last, full: from.full}
			return p, true
		}
		p.Items, last = append(p.Items, item), max(last, key)
	}
	return p, true
}

// sends reports whether the listing for a position holds an item.
func (h *history) sends(position contract.StorePosition, item Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.listed || position.Era > h.position.Era {
		return false
	}
	held, ok := h.items[item.Key]
	return ok && bytes.Equal(held.Value, item.Value) && !held.Removed && (h.isFullFor(position) || held.Revision > position.Revision)
}
