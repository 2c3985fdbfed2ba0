package follow

import (
	"context"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
)

// RevisionAnnounced notes up to which revision another instance has read the store.
// Tells is true when its reading stands in place of an own watch.
func (f *Follower) RevisionAnnounced(vm string, revision uint64, tells bool) {
	f.mu.Lock()
	if tells {
		f.hintAt = f.options.Uptime()
	}
	behind := revision > f.revision
	if behind {
		f.ahead = vm
	}
	f.mu.Unlock()
	if !behind {
		return
	}
	select {
	case f.hints <- struct{}{}:
	default:
	}
}

// isTold reports whether other instances watch the store and tell this one.
func (f *Follower) isTold() bool {
	if f.options.WatchesStore() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.hintAt > 0 && f.options.Uptime()-f.hintAt < hintAge
}

// catchUp asks an instance that is ahead for what this one lacks.
func (f *Follower) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.hints:
		}
		pause.For(ctx, catchUpTime)
		f.mu.Lock()
		vm := f.ahead
		f.ahead = ""
		f.mu.Unlock()
		if vm != "" {
			f.askPeers(ctx, vm)
		}
	}
}

// askPeers takes over what another instance knows: the one named, or any.
func (f *Follower) askPeers(ctx context.Context, vm string) {
	if f.options.Peers == nil {
		return
	}
	f.mu.Lock()
	after := f.revision
	if !f.listed {
		after = 0
	}
	f.mu.Unlock()
	listing, err := f.options.Peers.Fetch(ctx, vm, after)
	if err != nil {
		f.options.Scope.Counter("peer_feeds_failed").Inc(1)
		events.PeerFeedFailed.Log(f.options.Logger, "after_revision", after, "peer", vm, "cause", err)
		return
	}
	f.options.Scope.Counter("peer_feeds_taken").Inc(1)
	f.apply(listing)
}
