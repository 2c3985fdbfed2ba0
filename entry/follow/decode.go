package follow

import (
	"bytes"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

// decodedItem is what the decoder made of an item.
type decodedItem struct {
	entry Entry
	err   error
}

// decodedTarget is a target's entry, and the value that it was decoded from.
type decodedTarget struct {
	value []byte
	entry Entry
}

// decode decodes the items of a listing; the lock is held. Most of the items of a whole listing have the values
// that this instance knows, and are not decoded again; the listing then shares the known value.
func (f *Follower) decode(listing Listing, now time.Duration) []decodedItem {
	decoded := make([]decodedItem, 0, len(listing.Items))
	targets := f.decodedTargets
	if listing.Full {
		targets = make(map[string]decodedTarget, len(f.decodedTargets))
	}
	for i := range listing.Items {
		item := &listing.Items[i]
		entry, ok := f.decodedBefore(item)
		var err error
		if !ok {
			entry, err = f.decodeItem(*item, now)
		}
		decoded = append(decoded, decodedItem{entry, err})
		delete(targets, item.Key)
		if entry.Target != nil {
			targets[item.Key] = decodedTarget{value: item.Value, entry: entry}
		}
	}
	f.decodedTargets = targets
	return decoded
}

// decodedBefore returns the entry of an item whose value is that of a known target, or of the routes in force; the
// lock is held.
func (f *Follower) decodedBefore(item *Item) (entry Entry, ok bool) {
	if item.Removed || item.Problem != nil {
		return Entry{}, false
	}
	if known, ok := f.decodedTargets[item.Key]; ok && bytes.Equal(known.value, item.Value) {
		item.Value = known.value
		return known.entry, true
	}
	if inForce := f.newestRoutes; inForce.Key == item.Key && len(item.Value) > 0 && bytes.Equal(inForce.Value, item.Value) {
		item.Value = inForce.Value
		return Entry{Routes: &routing.Document{Version: f.RoutesVersion()}}, true // a version in force is not applied again
	}
	return Entry{}, false
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
