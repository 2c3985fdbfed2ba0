package contract

import (
	"cmp"
	"time"
)

// StorePosition is a point in the histories of the store that publishes routes and
// targets. Each time the store comes back from a copy, a new era begins, in which
// revisions are assigned again; a revision means nothing without its era.
type StorePosition struct {
	Era, Revision uint64
}

// Compare orders positions by era and then by revision.
func (p StorePosition) Compare(other StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsZero reports whether nothing was read yet.
func (p StorePosition) IsZero() bool { return p == StorePosition{} }

// Announcement is what an instance tells others of the published items that it has.
type Announcement struct {
	// Position is the position up to which it has read the store itself; zero while it
	// does not read the store.
	Position StorePosition
	// StoreAge is the time since the store last responded to the instance.
	StoreAge time.Duration
	// RoutesVersion is the version of the routes in force; zero before the first.
	RoutesVersion uint64
}
