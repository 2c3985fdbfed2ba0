// Package follow keeps an instance's copy of what the platform's store
// publishes: the routes and the targets.
//
// A Source lists and watches published items; the store's client and a client
// of other instances implement it. The Follower lists once, then watches, and
// lists again when the source has forgotten the history that it needs. While
// its source fails, it goes on with what it knows, asks other instances, and
// tries again after a jittered back-off.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// ErrHistoryGone means that a source no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the history after this revision is gone")

// Item is one published value, or its removal.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Listing is a set of items and the revision up to which it is complete.
type Listing struct {
	Items    []Item
	Revision uint64
	// Full is true when the items are all that exists, rather than changes.
	Full bool
	// StoreAge is the time since the source itself last heard from the store.
	StoreAge time.Duration
}

// Source reads what is published.
type Source interface {
	// List returns everything that exists.
	List(ctx context.Context) (Listing, error)
	// Watch returns what changed after a revision as soon as there is something,
	// or nothing when the wait has passed. ErrHistoryGone asks for a new listing.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
}

// Entry is a decoded item: routes or a target, or neither when the item is of
// no concern here.
type Entry struct {
	Routes *routing.Document
	// TargetID names the target that the item is about.
	TargetID string
	// Target is nil when the item was removed or names no target to use.
	Target *roster.Target
}

// Decoder turns an item into the project's types; now is the holder's clock.
// An error means that the item cannot be used.
type Decoder interface {
	Decode(item Item, now time.Duration) (Entry, error)
}
