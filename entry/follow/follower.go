package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// Bounds on following.
const (
	// leastWatchWait and mostWatchWait bound how long a watch waits when nothing
	// changes. A watch that the store has silently dropped is noticed only at its
	// end, so the wait is short, and it varies, since one change wakes the watches
	// of all instances together and they would otherwise end together.
	leastWatchWait = 700 * time.Millisecond
	mostWatchWait  = 1700 * time.Millisecond
	// readAge is how long after its last answer of the store an instance still tells
	// others what it has read; the longest watch fits into it.
	readAge = 3 * time.Second
	// hintAge is how long the word of an instance that is complete up to some
	// revision stands in place of an own watch.
	hintAge = 1500 * time.Millisecond
	// catchUpTime is what an own watch is given to bring the same news.
	catchUpTime = 50 * time.Millisecond
	// idleInterval is how often an instance without a watch looks whether it needs one.
	idleInterval = 250 * time.Millisecond
	// gatherTime is the pause between two watches, in which changes that come
	// in quick succession gather into one answer.
	gatherTime = 150 * time.Millisecond
	// retryLeast and retryMost bound the back-off after a failed call.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
	// expireInterval is how often delayed removals are looked at.
	expireInterval = 200 * time.Millisecond
)

// Listener is told of changes, one at a time.
type Listener interface {
	// RoutesChanged hands over a newer version of the routes.
	RoutesChanged(table *routing.Table)
	// TargetsChanged hands over all targets.
	TargetsChanged(targets []roster.Target)
}

// Options are what a Follower is built from.
type Options struct {
	Store Source
	// Peers are asked while the store fails and when they know more; nil for none.
	Peers   *Peers
	Decoder Decoder
	// Leads reports whether this instance is among those that watch the store;
	// the others are told by them.
	Leads func() bool
	// Uptime is the instance's clock.
	Uptime   func() time.Duration
	Listener Listener
	Logger   *log.Logger
	Scope    tally.Scope
}

// Follower keeps the routes and targets up to date. It also answers other
// instances, as a Source of its own.
type Follower struct {
	options Options
	table   atomic.Pointer[routing.Table]
	history *history

	mu sync.Mutex
	// targets and revision are what was applied.
	targets  *roster.Roster
	revision uint64
	listed   bool
	// storeAt is when the store was last heard from, directly or by a peer.
	storeAt time.Duration
	// readAt is when the store last answered this instance itself.
	readAt    time.Duration
	storeLost bool
	// hintAt is when another instance last told its revision.
	hintAt time.Duration
	// ahead is an instance that is complete up to a higher revision.
	ahead string
	hints chan struct{}
}

// New returns a follower that knows nothing yet.
func New(options Options) *Follower {
	options.Scope = options.Scope.SubScope("follow")
	return &Follower{options: options, targets: roster.New(), history: newHistory(), hints: make(chan struct{}, 1)}
}

// Table returns the routes in force, or nil before the first version.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// Ready reports whether the routes and targets were read.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.table.Load() != nil
}

// StoreLost reports whether the last call of the store failed.
func (f *Follower) StoreLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// Revision returns the store's revision up to which this instance is complete.
func (f *Follower) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// ReadRevision returns the revision up to which this instance is complete while
// it reads the store itself, and zero while it does not.
func (f *Follower) ReadRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLost || !f.listed || f.options.Uptime()-f.readAt > readAge {
		return 0
	}
	return f.revision
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.expire(ctx)
	go f.catchUp(ctx)
	backoff := retryLeast
	for ctx.Err() == nil {
		if f.isTold() {
			pause.For(ctx, idleInterval)
			continue
		}
		err := f.step(ctx, f.options.Store)
		if err == nil {
			backoff = retryLeast
			pause.For(ctx, gatherTime)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.lost(err)
		f.askPeers(ctx, "")
		pause.For(ctx, jittered(backoff))
		backoff = min(2*backoff, retryMost)
	}
	return ctx.Err()
}

// step lists once, then watches.
func (f *Follower) step(ctx context.Context, source Source) error {
	f.mu.Lock()
	after, listed := f.revision, f.listed
	f.mu.Unlock()
	if !listed {
		return f.list(ctx, source)
	}
	f.options.Scope.Counter("watches").Inc(1)
	changes, err := source.Watch(ctx, after, watchWait())
	if errors.Is(err, ErrHistoryGone) {
		events.HistoryGone.Log(f.options.Logger, "after_revision", after)
		return f.list(ctx, source)
	}
	if err != nil {
		return fmt.Errorf("watch after revision %d: %w", after, err)
	}
	f.reached()
	f.apply(changes)
	return nil
}

// watchWait returns how long the next watch waits.
func watchWait() time.Duration {
	return leastWatchWait + time.Duration(rand.Int64N(int64(mostWatchWait-leastWatchWait)))
}

func (f *Follower) list(ctx context.Context, source Source) error {
	f.options.Scope.Counter("listings").Inc(1)
	listing, err := source.List(ctx)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	f.reached()
	f.apply(listing)
	return nil
}

// reached notes an answer of the store.
func (f *Follower) reached() {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets.MarkStoreReachable(now)
	f.storeAt, f.readAt = now, now
	if f.storeLost {
		f.storeLost = false
		events.StoreRegained.Log(f.options.Logger, "revision", f.revision)
	}
}

// lost notes a failed call of the store.
func (f *Follower) lost(cause error) {
	f.options.Scope.Counter("store_calls_failed").Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets.MarkStoreUnreachable()
	if !f.storeLost {
		f.storeLost = true
		events.StoreLost.Log(f.options.Logger, "revision", f.revision, "cause", cause)
	}
}

// apply takes over a listing or changes and tells the listener.
func (f *Follower) apply(listing Listing) {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAt = max(f.storeAt, now-listing.StoreAge)
	if listing.Revision < f.revision {
		return
	}
	f.revision = listing.Revision
	f.history.add(listing)
	changed := false
	present := make(map[string]bool, len(listing.Items))
	for _, item := range listing.Items {
		entry, err := f.options.Decoder.Decode(item, now)
		if err != nil {
			events.EntryUnusable.Log(f.options.Logger, "key", item.Key, "revision", item.Revision, "cause", err)
		}
		changed = f.applyEntry(entry, err, now) || changed
		if entry.Target != nil {
			present[entry.TargetID] = true
		}
	}
	if listing.Whole {
		changed = f.targets.Retain(present, now) || changed
	}
	first := listing.Whole && !f.listed
	f.listed = f.listed || listing.Whole
	if changed || first {
		f.tellTargets()
	}
}

// applyEntry takes over one decoded item and reports whether the targets changed.
func (f *Follower) applyEntry(entry Entry, decodeErr error, now time.Duration) bool {
	switch {
	case entry.Routes != nil:
		f.applyRoutes(entry.Routes)
		return false
	case entry.TargetID == "":
		return false
	case entry.Target != nil:
		return f.targets.Put(*entry.Target)
	case decodeErr != nil:
		return f.targets.RemoveNow(entry.TargetID)
	}
	return f.targets.Remove(entry.TargetID, now)
}

// applyRoutes puts a newer version in force; an older one never is.
func (f *Follower) applyRoutes(document *routing.Document) {
	if current := f.table.Load(); current != nil && document.Version <= current.Version() {
		return
	}
	table, err := routing.Compile(*document)
	if err != nil {
		events.RoutesRefused.Log(f.options.Logger, "version", document.Version, "cause", err)
		return
	}
	f.table.Store(table)
	events.RoutesInForce.Log(f.options.Logger, "version", table.Version(), "routes", len(document.Routes))
	f.options.Scope.Gauge("routes_version").Update(float64(table.Version()))
	f.options.Listener.RoutesChanged(table)
}

func (f *Follower) tellTargets() {
	targets := f.targets.Targets()
	f.options.Scope.Gauge("targets").Update(float64(len(targets)))
	f.options.Listener.TargetsChanged(targets)
}

// expire carries out delayed removals.
func (f *Follower) expire(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		f.options.Scope.Gauge("store_age_seconds").Update(f.storeAge().Seconds())
		f.mu.Lock()
		if expired := f.targets.Expire(f.options.Uptime()); len(expired) > 0 {
			events.TargetsLapsed.Log(f.options.Logger, "targets", expired)
			f.tellTargets()
		}
		f.mu.Unlock()
	}
}

// jittered returns between half and all of a wait.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait/2)+1))
}
