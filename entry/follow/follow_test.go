package follow

import (
	"context"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// textDecoder decodes "routes VERSION" and "target ADDRESS".
type textDecoder struct{}

func (textDecoder) Decode(item Item, _ time.Duration) (Entry, error) {
	kind, rest, _ := strings.Cut(string(item.Value), " ")
	id, isTarget := strings.CutPrefix(item.Key, "t/")
	switch {
	case isTarget && item.Removed:
		return Entry{TargetID: id}, nil
	case isTarget && kind == "target":
		return Entry{TargetID: id, Target: &roster.Target{ID: id, Address: rest, State: roster.StateReady}}, nil
	case isTarget:
		return Entry{TargetID: id}, errors.New("no target")
	}
	version, err := strconv.ParseUint(rest, 10, 64)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Routes: &routing.Document{Version: version}}, nil
}

// fakeStore is an in-memory store.
type fakeStore struct {
	mu          sync.Mutex
	items       map[string]Item
	events      []Item
	era         uint64
	revision    uint64
	oldest      uint64
	unavailable bool
	// silent is true while watches return no changes, as after a connection was
	// cut without notice.
	silent bool
	// drops counts how often all waiting watches were dropped.
	drops int
	calls int
}

func newStore() *fakeStore { return &fakeStore{items: make(map[string]Item)} }

// position returns the store's position; the lock is held.
func (s *fakeStore) position() contract.StorePosition {
	return contract.StorePosition{Era: s.era, Revision: s.revision}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: []byte(value), Revision: s.revision, Removed: value == ""}
	s.events = append(s.events, item)
	if s.items[key] = item; item.Removed {
		delete(s.items, key)
	}
}

// dropSlack is how long the store's client waits beyond the end of a watch.
const dropSlack = 800 * time.Millisecond

var errUnavailable = errors.New("the store is unavailable")

func (s *fakeStore) List(context.Context) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return Listing{}, errUnavailable
	}
	listing := Listing{Position: s.position(), Full: true}
	for _, item := range s.items {
		listing.Items = append(listing.Items, item)
	}
	return listing, nil
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	s.mu.Lock()
	s.calls++
	silent, drops := s.silent, s.drops
	s.mu.Unlock()
	for until := time.Now().Add(wait); ; {
		s.mu.Lock()
		listing, err := s.since(after)
		dropped := s.drops > drops
		s.mu.Unlock()
		if dropped {
			time.Sleep(time.Until(until) + dropSlack)
			return Listing{}, errUnavailable
		}
		if err != nil || (len(listing.Items) > 0 && !silent) || !time.Now().Before(until) {
			return listing, err
		}
		select {
		case <-ctx.Done():
			return Listing{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *fakeStore) since(after uint64) (Listing, error) {
	if s.unavailable {
		return Listing{}, errUnavailable
	}
	if after < s.oldest {
		return Listing{}, ErrHistoryGone
	}
	listing := Listing{Position: s.position()}
	for _, event := range s.events {
		if event.Revision > after {
			listing.Items = append(listing.Items, event)
		}
	}
	return listing, nil
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// recordingListener records the latest routes version and targets.
type recordingListener struct {
	mu      sync.Mutex
	version uint64
	targets []string
}

func (l *recordingListener) RoutesChanged(table *routing.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = table.Version()
}

func (l *recordingListener) TargetsChanged(targets []roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = nil
	for _, target := range targets {
		l.targets = append(l.targets, target.ID)
	}
}

func (l *recordingListener) has(version uint64, targets string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version == version && strings.Join(l.targets, ",") == targets
}

// runFollower runs a test with a running follower of a fake store.
func runFollower(t *testing.T, watches bool, test func(store *fakeStore, f *Follower, l *recordingListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store, l := newStore(), &recordingListener{}
		store.put("routes", "routes 4")
		store.put("t/a", "target 10.0.0.1:80")
		f := New(Options{
			Store: store, Decoder: textDecoder{}, WatchesStore: func() bool { return watches }, Listener: l,
			Uptime: func() time.Duration { return time.Since(start) + time.Minute },
			Logger: log.New(io.Discard), Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		time.Sleep(time.Second)
		test(store, f, l)
		cancel()
		<-done
		time.Sleep(time.Second)
	})
}

func TestChangesAreApplied(t *testing.T) {
	runFollower(t, true, func(store *fakeStore, f *Follower, l *recordingListener) {
		if !f.Ready() || !l.has(4, "a") {
			t.Fatalf("after the listing: %+v", l)
		}
		store.put("routes", "routes 8")
		store.put("t/b", "target 10.0.0.2:80")
		time.Sleep(500 * time.Millisecond)
		if !l.has(8, "a,b") {
			t.Errorf("after changes: %+v", l)
		}
		store.put("t/a", "")
		store.put("t/b", "garbage")
		time.Sleep(500 * time.Millisecond)
		if !l.has(8, "") {
			t.Errorf("after a removal and a malformed entry: %+v", l)
		}
	})
}

func TestRoutesNeverReturnToAnOlderVersion(t *testing.T) {
	runFollower(t, true, func(store *fakeStore, _ *Follower, l *recordingListener) {
		store.put("routes", "routes 9")
		store.put("routes", "routes 7")
		store.put("routes", "routes x")
		time.Sleep(time.Second)
		if !l.has(9, "a") {
			t.Errorf("the listener has %+v", l)
		}
	})
}

// TestSilentlyDroppedWatchIsNoticed has a store whose watches return no changes
// and whose history no longer reaches back far enough afterwards.
func TestSilentlyDroppedWatchIsNoticed(t *testing.T) {
	runFollower(t, true, func(store *fakeStore, _ *Follower, l *recordingListener) {
		store.set(func() { store.silent = true })
		time.Sleep(5 * time.Second)
		store.put("routes", "routes 8")
		store.set(func() { store.oldest, store.silent = store.revision, false })
		time.Sleep(maxWatchWait + time.Second)
		if !l.has(8, "a") {
			t.Errorf("the listener has %+v", l)
		}
	})
}

// TestDroppedWatchesOfManyDoNotEndTogether guards against all instances missing a
// change for the full wait: one change wakes all their watches, and the store
// then silently drops the next watches of all while it changes again.
func TestDroppedWatchesOfManyDoNotEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 6
		start := time.Now()
		store := newStore()
		store.put("routes", "routes 4")
		ctx, cancel := context.WithCancel(t.Context())
		var listeners []*recordingListener
		for range instances {
			l := &recordingListener{}
			listeners = append(listeners, l)
			f := New(Options{
				Store: store, Decoder: textDecoder{}, WatchesStore: func() bool { return true }, Listener: l,
				Uptime: func() time.Duration { return time.Since(start) + time.Minute },
				Logger: log.New(io.Discard), Scope: tally.NoopScope,
			})
			go func() { _ = f.Run(ctx) }()
		}
		time.Sleep(5 * time.Second)
		store.put("routes", "routes 6")
		time.Sleep(500 * time.Millisecond)
		store.set(func() { store.drops++ })
		store.put("routes", "routes 8")
		store.set(func() { store.oldest = store.revision })
		const bound = 2 * time.Second
		time.Sleep(bound)
		upToDate := 0
		for _, l := range listeners {
			if l.has(8, "") {
				upToDate++
			}
		}
		if upToDate == 0 {
			t.Errorf("no instance got the change within %v", bound)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestInstanceFedByPeerDoesNotWatch(t *testing.T) {
	runFollower(t, false, func(store *fakeStore, f *Follower, l *recordingListener) {
		time.Sleep(5 * time.Second)
		store.set(func() { store.calls = 0 })
		for range 50 {
			f.Announced("vm-2", contract.Announcement{Position: f.Position()}, true)
			time.Sleep(200 * time.Millisecond)
		}
		if store.calls > 2 {
			t.Errorf("%d calls to the store while fed by a peer", store.calls)
		}
		store.put("routes", "routes 8")
		time.Sleep(maxFeedTTL + maxWatchWait)
		if !l.has(8, "a") {
			t.Errorf("after the announcements stopped: %+v", l)
		}
	})
}

func TestTargetsRemovedDuringAnOutageAreKeptForTheRepublishGrace(t *testing.T) {
	runFollower(t, true, func(store *fakeStore, f *Follower, l *recordingListener) {
		store.set(func() { store.unavailable = true })
		time.Sleep(5 * time.Second)
		if !f.StoreUnreachable() {
			t.Error("the outage was not noticed")
		}
		store.put("t/a", "")
		store.set(func() { store.unavailable = false })
		time.Sleep(roster.RepublishGrace - 500*time.Millisecond)
		if !l.has(4, "a") {
			t.Errorf("before the republish grace has passed: %+v", l)
		}
		time.Sleep(2 * time.Second)
		if !l.has(4, "") {
			t.Errorf("after the republish grace: %+v", l)
		}
	})
}

func TestHistoryReturnsChangesAndOmitsRemovalsFromAFullListing(t *testing.T) {
	at := func(revision uint64) contract.StorePosition {
		return contract.StorePosition{Era: 2, Revision: revision}
	}
	h := newHistory()
	h.add(Listing{Full: true, Position: at(5), Items: []Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 5}}})
	h.add(Listing{Position: at(7), Items: []Item{{Key: "a", Revision: 7, Removed: true}}})
	changes, ok := h.nextPart(at(5), nil, math.MaxInt)
	if !ok || changes.Full || len(changes.Items) != 1 || !changes.Items[0].Removed {
		t.Errorf("after 5: %+v", changes)
	}
	for _, from := range []contract.StorePosition{at(3), {}, {Era: 1, Revision: 6}} {
		if all, ok := h.nextPart(from, nil, math.MaxInt); !ok || !all.Full || len(all.Items) != 1 {
			t.Errorf("after %v, from where removals are unknown: %+v, want everything", from, all)
		}
	}
	if later, ok := h.nextPart(contract.StorePosition{Era: 3, Revision: 6}, nil, math.MaxInt); ok {
		t.Errorf("after a position of a later era: %+v, want nothing", later)
	}
}

// TestInstanceWatchesWhenWatchersLoseTheStore has an outage of the store for its
// watchers only: their revision is old, so this instance has to watch by itself.
func TestInstanceWatchesWhenWatchersLoseTheStore(t *testing.T) {
	runFollower(t, false, func(store *fakeStore, f *Follower, l *recordingListener) {
		time.Sleep(maxReadAge)
		store.put("routes", "routes 8")
		for range 20 {
			f.Announced("vm-2", contract.Announcement{Position: contract.StorePosition{Revision: 2}}, false)
			time.Sleep(200 * time.Millisecond)
		}
		if !l.has(8, "a") {
			t.Errorf("while the watchers have lost the store: %+v", l)
		}
	})
}

func TestRevisionIsAnnouncedOnlyWhileTheStoreIsRead(t *testing.T) {
	runFollower(t, true, func(store *fakeStore, f *Follower, _ *recordingListener) {
		if f.Announcement().Position != f.Position() || f.Position().IsZero() {
			t.Errorf("announced position %v, own position %v", f.Announcement().Position, f.Position())
		}
		store.set(func() { store.unavailable = true })
		time.Sleep(maxWatchWait + maxReadAge)
		if read := f.Announcement().Position; !read.IsZero() {
			t.Errorf("announced position %v although the store is unavailable", read)
		}
	})
}
