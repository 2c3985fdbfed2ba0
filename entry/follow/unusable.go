package follow

import (
	"maps"
	"slices"
	"strings"

	"github.com/primroseloom/primroseloom/entry/events"
)

const (
	// maxUnusableBytes is the largest value in bytes that is passed on to other instances although
	// this one cannot use it; an instance of another build may. Larger ones would be kept and sent
	// for nothing.
	maxUnusableBytes = 1 << 10
	// maxLoggedBytes is the part of a key, or of the reason why an entry cannot be used, that is
	// logged. Both may hold what the entry's writer chose.
	maxLoggedBytes = 300
)

// forPeers returns a copy of a listing for other instances, without the values that hold neither
// routes nor a target and are larger than maxUnusableBytes. Their keys and revisions stay.
func forPeers(listing Listing, decoded []decodedItem) Listing {
	listing.Items = slices.Clone(listing.Items)
	for i := range listing.Items {
		isUsed := decoded[i].entry.Routes != nil || decoded[i].entry.Target != nil
		if !isUsed && len(listing.Items[i].Value) > maxUnusableBytes {
			listing.Items[i].Value = nil
		}
	}
	return listing
}

// recordUnusable records and logs which entries of a listing cannot be used; the lock is held.
func (f *Follower) recordUnusable(listing Listing, decoded []decodedItem) {
	listed := make(map[string]bool, len(listing.Items))
	for i, item := range listing.Items {
		listed[item.Key] = true
		if err := decoded[i].err; err != nil {
			f.logUnusable(item, err)
			continue
		}
		delete(f.unusable, item.Key)
	}
	if listing.Full {
		maps.DeleteFunc(f.unusable, func(key string, _ bool) bool { return !listed[key] })
	}
	f.options.Scope.Gauge("unusable").Update(float64(len(f.unusable)))
}

// logUnusable logs that an entry cannot be used, unless the latest value under its key could
// not be used either; the lock is held.
func (f *Follower) logUnusable(item Item, cause error) {
	if f.unusable[item.Key] {
		return
	}
	f.unusable[item.Key] = true
	events.EntryUnusable.Log(f.options.Logger, "key", beginning(item.Key), "revision", item.Revision, "bytes", len(item.Value),
		"cause", beginning(cause.Error()))
}

// beginning returns the first maxLoggedBytes bytes of a text, as valid UTF-8.
func beginning(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedBytes], "") + "..."
}
