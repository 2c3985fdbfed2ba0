// Package follow keeps an instance's copy of what the platform's store
// publishes: the routes and the targets.
//
// A Source lists and watches published items; the store's client implements it.
// The Follower lists once, then watches, and lists again when the source no
// longer has the history that it needs. While its source fails, the Follower
// keeps its last state, fetches changes from other instances, and retries after
// a jittered back-off.
package follow

import (
	"context"
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
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
	// Problem is why the source could not read the item; nil when it could.
	Problem error
}

// Listing is a set of items, either all or the changes after some revision, and
// the position up to which it is complete.
type Listing struct {
	Items []Item
	// Position belongs to the era of the store in which the items were read; the era is
	// zero when the source does not say.
	Position contract.StorePosition
	// Full is true when Items holds all that exists, rather than changes.
	Full bool
	// NewestRoutes holds routes of a higher version than the reader has and than Items
	// holds, from an instance that has them in force; nil for none.
	NewestRoutes *Item
	// StoreAge is the time since the source itself last had a response from the store.
	StoreAge time.Duration
}

// Source reads what is published.
type Source interface {
	// List returns everything that exists.
	List(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision as soon as there are any, or none
	// when the wait has passed. The revision is that of the store's present era: if the
	// listing is of another era than the revision, or after ErrHistoryGone, the caller
	// has to list again.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
}

// Entry is a decoded item: routes or a target, or neither when the item is of
// another kind.
type Entry struct {
	Routes *routing.Document
	// TargetID names the target that the item describes.
	TargetID string
	// Target is nil when the item was removed or describes no usable target.
	Target *roster.Target
}

// Decoder decodes an item; now is the uptime of the instance that decodes it. An
// error means that the item cannot be used.
type Decoder interface {
	Decode(item Item, now time.Duration) (Entry, error)
}
