package follow

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

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

// decodedItem is what the decoder made of an item.
type decodedItem struct {
	entry Entry
	err   error
}

// decode decodes the items of a listing.
func (f *Follower) decode(listing Listing, now time.Duration) []decodedItem {
	decoded := make([]decodedItem, 0, len(listing.Items))
	for _, item := range listing.Items {
		entry, err := f.decodeItem(item, now)
		decoded = append(decoded, decodedItem{entry, err})
	}
	return decoded
}

// decodeItem decodes an item. It turns a panic of the decoder into an error with an empty entry:
// otherwise one published value would end all instances, again after each restart.
func (f *Follower) decodeItem(item Item, now time.Duration) (entry Entry, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			entry, err = Entry{}, fmt.Errorf("decode %s at revision %d: %v", item.Key, item.Revision, cause)
		}
	}()
	return f.options.Decoder.Decode(item, now)
}

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
