package follow

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/freshness"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// apply applies a full listing, or the changes after a position, and notifies the
// listener. It ignores what is older than the state of this instance, and changes that
// follow another era's state, and then returns false.
func (f *Follower) apply(listing Listing, after contract.StorePosition) bool {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeContactAt = max(f.storeContactAt, now-listing.StoreAge)
	isConnected := listing.Full || (listing.Position.Era == after.Era && after.Era == f.position.Era)
	if !isConnected || listing.Position.Compare(f.position) < 0 {
		f.recordDrop(listing)
		return false
	}
	f.dropsListings = false
	if listing.Position.Era > f.position.Era && f.listed {
		f.recordRestoredStore(listing, now)
	}
	f.position = listing.Position
	f.progress.reached(f.position)
	f.options.Scope.Gauge("store_era").Update(float64(f.position.Era))
	decoded := f.decode(listing, now)
	f.history.add(forPeers(listing, decoded))
	f.recordUnusable(listing, decoded)
	changed := false
	present := make(map[string]bool, len(listing.Items))
	for i, item := range listing.Items {
		entry := decoded[i].entry
		if entry.Routes != nil {
			f.applyRoutes(entry.Routes, item)
		}
		changed = f.applyTarget(entry, decoded[i].err, now) || changed
		if entry.Target != nil {
			present[entry.TargetID] = true
		}
	}
	if listing.Full {
		changed = f.targets.Retain(present, now) || changed
	}
	first := listing.Full && !f.listed
	f.listed = f.listed || listing.Full
	if changed || first {
		f.notifyTargets()
	}
	return true
}

// recordRestoredStore prepares for a listing of a store that was restored from a copy
// since the last one; the lock is held.
func (f *Follower) recordRestoredStore(listing Listing, now time.Duration) {
	f.targets.MarkStoreRestored(now)
	f.keys.update(func(state *freshness.State) { state.StoreRestored(now) })
	f.options.Scope.Counter("store_restored").Inc(1)
	events.StoreRestored.Log(f.options.Logger, "era", listing.Position.Era, "revision", listing.Position.Revision,
		"own_era", f.position.Era, "own_revision", f.position.Revision)
}

// recordDrop counts a listing that is older than the state of this instance, and logs
// the first one in a row; the lock is held.
func (f *Follower) recordDrop(listing Listing) {
	f.options.Scope.Counter("listings_dropped").Inc(1)
	if !f.dropsListings {
		f.dropsListings = true
		events.ListingDropped.Log(f.options.Logger, "era", listing.Position.Era, "revision", listing.Position.Revision, "full", listing.Full,
			"own_era", f.position.Era, "own_revision", f.position.Revision)
	}
}

// applyTarget applies the target of a decoded item, if it has one, and reports whether the
// targets changed.
func (f *Follower) applyTarget(entry Entry, decodeErr error, now time.Duration) bool {
	switch {
	case entry.TargetID == "":
		return false
	case entry.Target != nil:
		return f.putTarget(*entry.Target, now)
	case decodeErr != nil:
		return f.targets.RemoveNow(entry.TargetID)
	}
	return f.targets.Remove(entry.TargetID, now)
}

// putTarget applies what a target published and reports whether the targets changed.
func (f *Follower) putTarget(target roster.Target, now time.Duration) bool {
	update := f.targets.Put(target, now)
	if update == roster.Outdated {
		f.options.Scope.Counter("outdated_entries").Inc(1)
		events.EntryOutdated.Log(f.options.Logger, "target", target.ID, "state", target.State, "sequence", target.Sequence)
	}
	return update == roster.Changed
}

func (f *Follower) notifyTargets() {
	targets := f.targets.Targets()
	f.options.Scope.Gauge("targets").Update(float64(len(targets)))
	f.options.Listener.TargetsChanged(targets)
}
