package follow

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
)

const (
	// maxListingBytes bounds the keys and values of a listing that comes in parts, in bytes. At the
	// size to design for a listing has about 4 MB. In memory, each item takes some 100 bytes more.
	maxListingBytes = 24 << 20
	// maxUnfinishedAge is how long a listing that broke off is kept, so that another fetch continues it.
	maxUnfinishedAge = 5 * time.Second
	// maxRestarts is how often a listing may begin anew within a fetch, as more has changed than fits into
	// a part. An instance that lists while much changes has newer items than its position says, until
	// its next watch.
	maxRestarts = 2
)

// Errors of a part that another instance sent.
var (
	errPartWithoutProgress = errors.New("a part of a listing does not go on")
	errPartOfAnother       = errors.New("a part is of another listing")
	errListingTooLarge     = fmt.Errorf("a listing has more than %d bytes", maxListingBytes)
)

// assembly is a listing of which some parts have arrived.
type assembly struct {
	// after is the position of which the listing holds the changes.
	after contract.StorePosition
	// next is the end of the latest part; nil before the first.
	next  *cursor
	items map[string]Item
	bytes int
	// restarts is the number of first parts that came instead of the next one.
	restarts int
	// changedAt is when the latest part arrived.
	changedAt time.Time
}

// add adds the next part, or begins anew with a first one. The error says what is wrong with it;
// the assembly is then void.
func (a *assembly) add(p part) error {
	switch {
	case !p.continued:
		if a.next != nil {
			a.restarts++
		}
		if a.restarts > maxRestarts {
			return errPartWithoutProgress
		}
		a.items, a.bytes = make(map[string]Item), 0
	case a.next == nil || p.Position.Era != a.next.position.Era || p.Position.Revision < a.next.position.Revision || p.Full != a.next.full:
		return errPartOfAnother
	}
	if p.next != nil && (p.next.position != p.Position || p.next.full != p.Full) {
		return errPartOfAnother
	}
	if p.continued && p.next != nil && (p.next.key < a.next.key || *p.next == *a.next) {
		return errPartWithoutProgress
	}
	for _, item := range p.Items {
		old, ok := a.items[item.Key]
		if ok {
			a.bytes -= old.bytes()
		}
		if a.bytes += item.bytes(); a.bytes > maxListingBytes {
			return errListingTooLarge
		}
		a.items[item.Key] = item
	}
	a.next, a.changedAt = p.next, time.Now()
	return nil
}

// listing returns the whole listing, given its last part.
func (a *assembly) listing(last part) Listing {
	listing := last.Listing
	listing.Items = make([]Item, 0, len(a.items))
	for _, item := range a.items {
		if !listing.Full || !item.Removed {
			listing.Items = append(listing.Items, item)
		}
	}
	return listing
}

// unfinished keeps the latest listing that broke off.
type unfinished struct {
	mu   sync.Mutex
	kept *assembly
}

// take returns the listing of the changes after a position: the one that broke off, or a new one.
func (u *unfinished) take(after contract.StorePosition) *assembly {
	u.mu.Lock()
	defer u.mu.Unlock()
	kept := u.kept
	u.kept = nil
	if kept == nil || kept.after != after || time.Since(kept.changedAt) > maxUnfinishedAge {
		return &assembly{after: after}
	}
	return kept
}

// keep keeps a listing that broke off after some parts.
func (u *unfinished) keep(a *assembly) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.next != nil {
		u.kept = a
	}
}
