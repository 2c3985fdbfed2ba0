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
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// Intervals of watching and fetching.
const (
	// minWatchWait and maxWatchWait bound how long a watch waits when nothing
	// changes. A watch that the store has silently dropped is noticed only at its
	// end, so the wait is short. It is random because one change wakes the watches
	// of all instances together, and they would otherwise end together. The longest one, with
	// the pause after it and the time until it is announced, ends before minFeedTTL.
	minWatchWait = 800 * time.Millisecond
	maxWatchWait = 1000 * time.Millisecond
	// firstWatchWait is the wait of the first watch after the store was lost.
	firstWatchWait = 50 * time.Millisecond
	// maxReadAge is how long after the store's last response an instance still
	// announces its revision to others; it exceeds the longest watch.
	maxReadAge = 3 * time.Second
	// minFeedTTL and maxFeedTTL bound how long the store's last response to another instance, as that
	// one announces it, replaces a watch of this one. What the store has published since may be unknown
	// to both; it has to be in force 2 s after its confirmation. Each instance draws its own.
	minFeedTTL, maxFeedTTL = 1400 * time.Millisecond, 1550 * time.Millisecond
	// secondaryDelay is how much longer an instance that serves no callers waits, so that those that do
	// read the store for it.
	secondaryDelay = 250 * time.Millisecond
	// catchUpDelay gives this instance's own watch time to bring the same changes
	// before they are fetched from another instance.
	catchUpDelay = 50 * time.Millisecond
	// fedCheckInterval is how often an instance without a watch checks whether it
	// needs one.
	fedCheckInterval = 250 * time.Millisecond
	// watchPause is the pause between two watches; changes in quick succession
	// during the pause arrive in one response.
	watchPause = 150 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the back-off after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// expireInterval is how often delayed removals are checked.
	expireInterval = 200 * time.Millisecond
)

// Listener receives changes, one call at a time.
type Listener interface {
	// RoutesChanged receives a newer version of the routes.
	RoutesChanged(table *routing.Table)
	// TargetsChanged receives all targets.
	TargetsChanged(targets []roster.Target)
}

// Options configures a Follower.
type Options struct {
	Store Source
	// Peers supplies changes while the store fails and when another instance has a
	// higher revision; nil for none.
	Peers   *Peers
	Decoder Decoder
	// WatchesStore reports whether this instance is among the store watchers; the
	// other instances are fed by them.
	WatchesStore func() bool
	// IsPrimary reports whether this instance serves callers; nil if it always does.
	IsPrimary func() bool
	// Announce makes the other instances learn soon what this one has.
	Announce func()
	// Unreachable records that an instance did not answer a call; nil for nobody.
	Unreachable func(vm string)
	// KeysBound is the age of the routes from which requests with keys are not served by them;
	// zero sets no bound.
	KeysBound time.Duration
	// Uptime is the instance's clock, which counts suspension.
	Uptime   func() time.Duration
	Listener Listener
	Logger   *log.Logger
	Scope    tally.Scope
}

// Follower keeps the routes and targets up to date, and serves its copy of the
// published items to other instances.
type Follower struct {
	options Options
	table   atomic.Pointer[routing.Table]
	history *history

	mu sync.Mutex
	// targets and position are the state applied so far; the position is zero before the
	// first listing.
	targets  *roster.Roster
	position contract.StorePosition
	listed   bool
	// storeContactAt is when the store last responded to this instance or a peer.
	storeContactAt time.Duration
	// storeReadAt is when the store last responded to this instance itself.
	storeReadAt time.Duration
	storeLost   bool
	// dropsListings is true while the latest listing was dropped as older.
	dropsListings bool
	// decodedTargets are the entries of the targets, by the keys of their items.
	decodedTargets map[string]decodedTarget
	// unusable holds the keys whose values cannot be used.
	unusable map[string]bool
	// fedAt is when the store last responded to an instance whose announcements replace a watch; feedTTL
	// is how long that holds for a primary.
	fedAt, feedTTL time.Duration
	// newestRoutes is the item with the routes in force.
	newestRoutes Item
	// routesToldAt is when other instances were last told of newer routes than theirs.
	routesToldAt time.Duration
	// aheadVMs are the VMs of instances with a newer position or newer routes.
	aheadVMs        []string
	progress        progress
	catchUpRequests chan struct{}

	keys *keys
}

// New returns a follower without routes and targets.
func New(options Options) *Follower {
	options.Scope = options.Scope.SubScope("follow")
	return &Follower{
		options: options, targets: roster.New(), history: newHistory(), catchUpRequests: make(chan struct{}, 1),
		decodedTargets: make(map[string]decodedTarget), unusable: make(map[string]bool), keys: newKeys(options.KeysBound, options.Uptime()),
		feedTTL: randomBetween(minFeedTTL, maxFeedTTL),
	}
}

// Ready reports whether routes are in force and the targets were listed.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed && f.table.Load() != nil
}

// StoreUnreachable reports whether the last call to the store failed.
func (f *Follower) StoreUnreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// Position returns the store's position up to which this instance is complete.
func (f *Follower) Position() contract.StorePosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Announcement returns what other instances are told. Its position is zero while this
// instance does not read the store itself.
func (f *Follower) Announcement() contract.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := contract.Announcement{RoutesVersion: f.RoutesVersion()}
	age := f.options.Uptime() - f.storeReadAt
	if !f.storeLost && f.listed && age <= maxReadAge {
		own.Position, own.StoreAge = f.position, age
	}
	return own
}

// Run keeps the copy up to date until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.expire(ctx)
	go f.catchUp(ctx)
	go f.confirm(ctx)
	backoff := minRetryDelay
	for ctx.Err() == nil {
		if f.isFedByPeer() {
			pause.For(ctx, min(fedCheckInterval, f.feedLeft()))
			continue
		}
		err := f.listOrWatch(ctx, f.options.Store)
		if err == nil {
			backoff = minRetryDelay
			pause.For(ctx, watchPause)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.recordStoreFailure(err)
		f.fetchDuringFailure(ctx)
		pause.For(ctx, jittered(backoff))
		backoff = min(2*backoff, maxRetryDelay)
	}
	return ctx.Err()
}

// listOrWatch lists if nothing was listed yet, and otherwise watches once. It lists, too,
// when the store no longer has the changes, or was restored from a copy, after which its
// revisions count anew.
func (f *Follower) listOrWatch(ctx context.Context, source Source) error {
	f.mu.Lock()
	after, listed, lost := f.position, f.listed, f.storeLost
	f.mu.Unlock()
	if !listed {
		return f.list(ctx, source)
	}
	f.options.Scope.Counter("watches").Inc(1)
	wait := randomBetween(minWatchWait, maxWatchWait)
	if lost {
		wait = firstWatchWait // the store may have come back from a copy, and have no change to tell
	}
	if f.takePromptWatch() || f.isLeftBehind() {
		wait = firstWatchWait
	}
	sent := f.options.Uptime()
	changes, err := source.Watch(ctx, after.Revision, wait)
	if errors.Is(err, ErrHistoryGone) {
		events.StoreHistoryGone.Log(f.options.Logger, "after_revision", after.Revision, "era", after.Era)
		return f.list(ctx, source)
	}
	if err != nil {
		return fmt.Errorf("watch after revision %d: %w", after.Revision, err)
	}
	if changes.Position.Era > after.Era {
		return f.list(ctx, source)
	}
	f.recordStoreContact()
	if f.apply(changes, after) {
		f.confirmedByStore(sent)
	}
	f.storeAnswered()
	return nil
}

// randomBetween returns a random duration of at least shortest and less than longest.
func randomBetween(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(rand.Int64N(int64(longest-shortest)))
}

func (f *Follower) list(ctx context.Context, source Source) error {
	f.options.Scope.Counter("listings").Inc(1)
	sent := f.options.Uptime()
	listing, err := source.List(ctx)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	f.recordStoreContact()
	if f.apply(listing, contract.StorePosition{}) {
		f.confirmedByStore(sent)
	}
	f.storeAnswered()
	return nil
}

// recordStoreContact records that the store has responded.
func (f *Follower) recordStoreContact() {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets.MarkStoreReachable(now)
	f.storeContactAt, f.storeReadAt = now, now
	if f.storeLost {
		f.storeLost = false
		events.StoreRegained.Log(f.options.Logger, "revision", f.position.Revision, "era", f.position.Era)
	}
}

// recordStoreFailure records a failed call to the store.
func (f *Follower) recordStoreFailure(cause error) {
	f.options.Scope.Counter("store_calls_failed").Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets.MarkStoreUnreachable()
	if !f.storeLost {
		f.storeLost = true
		events.StoreUnreachable.Log(f.options.Logger, "revision", f.position.Revision, "era", f.position.Era, "cause", cause)
	}
}

// expire performs delayed removals until the context ends.
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
		f.reportKeys()
		f.mu.Lock()
		expired, revived := f.targets.Expire(f.options.Uptime())
		if len(expired) > 0 {
			events.TargetsExpired.Log(f.options.Logger, "targets", expired)
		}
		if len(expired) > 0 || revived {
			f.notifyTargets()
		}
		f.mu.Unlock()
	}
}

// jittered returns a random duration between half of the wait and the wait.
func jittered(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Int64N(int64(wait/2)+1))
}
