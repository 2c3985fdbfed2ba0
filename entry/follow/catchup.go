package follow

import (
	"context"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
)

// Announced records what another instance has. With replacesWatch, this instance needs
// no watch of its own for a while after the store has last responded to the other one, unless that
// has not noticed yet that the store was restored from a copy.
func (f *Follower) Announced(vm string, other contract.Announcement, replacesWatch bool) {
	f.tellNewerRoutes(other.RoutesVersion)
	f.heardOf(vm, other.RoutesVersion, !other.Position.IsZero())
	f.mu.Lock()
	if replacesWatch && !other.Position.IsZero() && other.Position.Era >= f.position.Era {
		f.fedAt = max(f.fedAt, f.options.Uptime()-other.StoreAge)
	}
	behind := other.Position.Compare(f.position) > 0 || other.RoutesVersion > f.RoutesVersion()
	if behind && !slices.Contains(f.aheadVMs, vm) && len(f.aheadVMs) < maxAheadVMs {
		f.aheadVMs = append(f.aheadVMs, vm)
	}
	f.progress.announced(other.Position, f.position, f.options.Uptime())
	f.mu.Unlock()
	if !behind {
		return
	}
	select {
	case f.catchUpRequests <- struct{}{}:
	default:
	}
}

// isFedByPeer reports whether another instance watches the store in place of this
// one, and brings what it announces.
func (f *Follower) isFedByPeer() bool {
	return f.hasFeeder() && !f.needsStore() && !f.isLeftBehind()
}

// hasFeeder reports whether another instance that watches the store feeds this one.
func (f *Follower) hasFeeder() bool {
	if f.options.WatchesStore() {
		return false
	}
	return f.feedLeft() > 0
}

// feedLeft returns for how long what others announce replaces a watch, unless they announce more; zero
// or less if it doesn't.
func (f *Follower) feedLeft() time.Duration {
	isPrimary := f.options.IsPrimary == nil || f.options.IsPrimary()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed || f.fedAt == 0 {
		return 0
	}
	ttl := f.feedTTL
	if !isPrimary {
		ttl += secondaryDelay
	}
	return f.fedAt + ttl - f.options.Uptime()
}

// catchUp fetches missing changes from the instances with a newer position or newer routes, in
// turn until one gives them.
func (f *Follower) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.catchUpRequests:
		}
		pause.For(ctx, catchUpDelay)
		f.mu.Lock()
		vms := f.aheadVMs
		f.aheadVMs = nil
		f.mu.Unlock()
		for _, vm := range vms {
			if f.fetchFromPeers(ctx, vm) {
				break
			}
		}
	}
}

// shortFetchTimeout bounds a fetch from other instances while requests with keys wait for the
// store to confirm the routes.
const shortFetchTimeout = 400 * time.Millisecond

// fetchDuringFailure fetches changes from any instance between two calls to a store that
// fails.
func (f *Follower) fetchDuringFailure(ctx context.Context) {
	if f.needsStore() {
		limited, cancel := context.WithTimeout(ctx, shortFetchTimeout)
		defer cancel()
		ctx = limited
	}
	f.fetchFromPeers(ctx, "")
}

// fetchFromPeers fetches and applies changes from the named instance, or from any
// if the name is empty. It reports whether one responded.
func (f *Follower) fetchFromPeers(ctx context.Context, vm string) bool {
	if f.options.Peers == nil {
		return false
	}
	f.mu.Lock()
	known := contract.Announcement{Position: f.position, RoutesVersion: f.RoutesVersion()}
	f.mu.Unlock()
	listing, err := f.options.Peers.Fetch(ctx, vm, known)
	if err != nil {
		f.options.Scope.Counter("peer_feeds_failed").Inc(1)
		events.PeerFeedFailed.Log(f.options.Logger, "after_revision", known.Position.Revision, "era", known.Position.Era, "peer", vm, "cause", err)
		return false
	}
	f.options.Scope.Counter("peer_feeds_taken").Inc(1)
	if listing.NewestRoutes != nil {
		f.applyNewestRoutes(*listing.NewestRoutes)
	}
	if !listing.Position.IsZero() {
		f.apply(listing, known.Position)
	}
	return true
}
