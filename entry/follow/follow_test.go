package follow

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// textDecoder reads "routes VERSION" and "target ADDRESS".
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

// fakeStore is a store in memory.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]Item
	events   []Item
	revision uint64
	oldest   uint64
	away     bool
	// deaf watches hear nothing, as after a silent cut.
	deaf bool
	// drops counts the times at which all waiting watches were dropped.
	drops int
	calls int
}

func newStore() *fakeStore { return &fakeStore{items: make(map[string]Item)} }

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

// dropSlack is what the store's client waits beyond the end of a watch.
const dropSlack = 800 * time.Millisecond

var errAway = errors.New("the store is away")

func (s *fakeStore) List(context.Context) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return Listing{}, errAway
	}
	listing := Listing{Revision: s.revision, Whole: true}
	for _, item := range s.items {
		listing.Items = append(listing.Items, item)
	}
	return listing, nil
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error) {
	s.mu.Lock()
	s.calls++
	deaf, drops := s.deaf, s.drops
	s.mu.Unlock()
	for until := time.Now().Add(wait); ; {
		s.mu.Lock()
		listing, err := s.since(after)
		dropped := s.drops > drops
		s.mu.Unlock()
		if dropped {
			time.Sleep(time.Until(until) + dropSlack)
			return Listing{}, errAway
		}
		if err != nil || (len(listing.Items) > 0 && !deaf) || !time.Now().Before(until) {
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
	if s.away {
		return Listing{}, errAway
	}
	if after < s.oldest {
		return Listing{}, ErrHistoryGone
	}
	listing := Listing{Revision: s.revision}
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

// told notes what a listener is told.
type told struct {
	mu      sync.Mutex
	version uint64
	targets []string
}

func (l *told) RoutesChanged(table *routing.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = table.Version()
}

func (l *told) TargetsChanged(targets []roster.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets = nil
	for _, target := range targets {
		l.targets = append(l.targets, target.ID)
	}
}

func (l *told) is(version uint64, targets string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version == version && strings.Join(l.targets, ",") == targets
}

// following runs a test with a follower of a store.
func following(t *testing.T, leads bool, test func(store *fakeStore, f *Follower, l *told)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		store, l := newStore(), &told{}
		store.put("routes", "routes 4")
		store.put("t/a", "target 10.0.0.1:80")
		f := New(Options{
			Store: store, Decoder: textDecoder{}, Leads: func() bool { return leads }, Listener: l,
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

func TestChangesAreFollowed(t *testing.T) {
	following(t, true, func(store *fakeStore, f *Follower, l *told) {
		if !f.Ready() || !l.is(4, "a") {
			t.Fatalf("after the listing: %+v", l)
		}
		store.put("routes", "routes 8")
		store.put("t/b", "target 10.0.0.2:80")
		time.Sleep(500 * time.Millisecond)
		if !l.is(8, "a,b") {
			t.Errorf("after changes: %+v", l)
		}
		store.put("t/a", "")
		store.put("t/b", "garbage")
		time.Sleep(500 * time.Millisecond)
		if !l.is(8, "") {
			t.Errorf("after a removal and a broken entry: %+v", l)
		}
	})
}

func TestRoutesNeverGoBack(t *testing.T) {
	following(t, true, func(store *fakeStore, _ *Follower, l *told) {
		store.put("routes", "routes 9")
		store.put("routes", "routes 7")
		store.put("routes", "routes x")
		time.Sleep(time.Second)
		if !l.is(9, "a") {
			t.Errorf("told %+v", l)
		}
	})
}

// TestDeafWatchIsNoticed is the store that forgets its history and drops its
// watches without a word.
func TestDeafWatchIsNoticed(t *testing.T) {
	following(t, true, func(store *fakeStore, _ *Follower, l *told) {
		store.set(func() { store.deaf = true })
		time.Sleep(5 * time.Second)
		store.put("routes", "routes 8")
		store.set(func() { store.oldest, store.deaf = store.revision, false })
		time.Sleep(mostWatchWait + time.Second)
		if !l.is(8, "a") {
			t.Errorf("told %+v", l)
		}
	})
}

// TestDroppedWatchesOfManyDoNotEndTogether is a change that wakes the watches of
// all instances, then a store that drops them all while it changes again.
func TestDroppedWatchesOfManyDoNotEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 6
		start := time.Now()
		store := newStore()
		store.put("routes", "routes 4")
		ctx, cancel := context.WithCancel(t.Context())
		var listeners []*told
		for range instances {
			l := &told{}
			listeners = append(listeners, l)
			f := New(Options{
				Store: store, Decoder: textDecoder{}, Leads: func() bool { return true }, Listener: l,
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
		informed := 0
		for _, l := range listeners {
			if l.is(8, "") {
				informed++
			}
		}
		if informed == 0 {
			t.Errorf("no instance noticed within %v", bound)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestInstanceThatIsToldDoesNotWatch(t *testing.T) {
	following(t, false, func(store *fakeStore, f *Follower, l *told) {
		time.Sleep(5 * time.Second)
		store.set(func() { store.calls = 0 })
		for range 50 {
			f.Published("vm-2", f.Revision(), true)
			time.Sleep(200 * time.Millisecond)
		}
		if store.calls > 2 {
			t.Errorf("%d calls of the store while being told", store.calls)
		}
		store.put("routes", "routes 8")
		time.Sleep(hintAge + mostWatchWait)
		if !l.is(8, "a") {
			t.Errorf("after the others fell silent: %+v", l)
		}
	})
}

func TestLapsedTargetsAreKeptUntilTheyHadTimeToReturn(t *testing.T) {
	following(t, true, func(store *fakeStore, f *Follower, l *told) {
		store.set(func() { store.away = true })
		time.Sleep(5 * time.Second)
		if !f.StoreLost() {
			t.Error("the outage went unnoticed")
		}
		store.put("t/a", "")
		store.set(func() { store.away = false })
		time.Sleep(roster.RepublishGrace - 500*time.Millisecond)
		if !l.is(4, "a") {
			t.Errorf("soon after the return: %+v", l)
		}
		time.Sleep(2 * time.Second)
		if !l.is(4, "") {
			t.Errorf("later: %+v", l)
		}
	})
}

func TestHistoryTellsChangesAndForgetsRemovals(t *testing.T) {
	h := newHistory()
	h.add(Listing{Whole: true, Revision: 5, Items: []Item{{Key: "a", Revision: 2}, {Key: "b", Revision: 5}}})
	h.add(Listing{Revision: 7, Items: []Item{{Key: "a", Revision: 7, Removed: true}}})
	changes, _, ok := h.after(5)
	if !ok || changes.Whole || len(changes.Items) != 1 || !changes.Items[0].Removed {
		t.Errorf("after 5: %+v", changes)
	}
	if _, _, ok := h.after(3); ok {
		t.Error("removals before the listing are not known, so 3 cannot be told")
	}
	if all, _, ok := h.after(0); !ok || !all.Whole || len(all.Items) != 1 {
		t.Errorf("everything: %+v", all)
	}
}

// TestInstanceWatchesWhenNobodyReadsForIt is an outage of the store for those
// that watch it, while it serves this instance: what the others tell is old.
func TestInstanceWatchesWhenNobodyReadsForIt(t *testing.T) {
	following(t, false, func(store *fakeStore, f *Follower, l *told) {
		time.Sleep(readAge)
		store.put("routes", "routes 8")
		for range 20 {
			f.Published("vm-2", 2, false)
			time.Sleep(200 * time.Millisecond)
		}
		if !l.is(8, "a") {
			t.Errorf("while the others have lost the store: %+v", l)
		}
	})
}

func TestOnlyWhatIsReadIsTold(t *testing.T) {
	following(t, true, func(store *fakeStore, f *Follower, _ *told) {
		if f.ReadRevision() != f.Revision() || f.Revision() == 0 {
			t.Errorf("read %d of %d", f.ReadRevision(), f.Revision())
		}
		store.set(func() { store.away = true })
		time.Sleep(mostWatchWait + readAge)
		if read := f.ReadRevision(); read != 0 {
			t.Errorf("told revision %d although the store is away", read)
		}
	})
}
