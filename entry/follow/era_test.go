package follow

import (
	"io"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// TestAnnouncementOfAnOlderEraReplacesNoWatch guards against an instance that stops to
// watch the store because another one, which has not noticed that the store was restored
// from a copy, announces a higher revision.
func TestAnnouncementOfAnOlderEraReplacesNoWatch(t *testing.T) {
	runFollower(t, false, func(store *fakeStore, f *Follower, l *recordingListener) {
		store.set(func() { store.era = 2 })
		time.Sleep(maxWatchWait + time.Second)
		if f.Position().Era != 2 {
			t.Fatalf("position %v after the store was restored", f.Position())
		}
		store.put("routes", "routes 8")
		for range 20 {
			f.Announced("vm-2", contract.Announcement{Position: contract.StorePosition{Era: 1, Revision: 1000}}, true)
			time.Sleep(200 * time.Millisecond)
		}
		if !l.has(8, "a") {
			t.Errorf("the listener has %+v", l)
		}
	})
}

// TestChangesThatFollowAnotherErasStateAreIgnored guards against a late response to a
// watch that was begun before the store was restored from a copy: what it leaves out was
// written under other revisions.
func TestChangesThatFollowAnotherErasStateAreIgnored(t *testing.T) {
	at := func(era, revision uint64) contract.StorePosition {
		return contract.StorePosition{Era: era, Revision: revision}
	}
	for _, c := range []struct {
		name     string
		position contract.StorePosition
		after    contract.StorePosition
		want     contract.StorePosition
	}{
		{"changes of the present era", at(2, 80), at(2, 70), at(2, 80)},
		{"changes that were asked for in the older era", at(2, 120), at(1, 100), at(2, 70)},
		{"changes of the older era", at(1, 120), at(1, 100), at(2, 70)},
		{"changes of an era whose state is unknown", at(3, 120), at(2, 70), at(2, 70)},
	} {
		f := New(Options{
			Decoder: textDecoder{}, Listener: &recordingListener{}, Uptime: func() time.Duration { return time.Minute },
			Logger: log.New(io.Discard), Scope: tally.NoopScope,
		})
		f.apply(Listing{Full: true, Position: at(2, 70)}, contract.StorePosition{})
		f.apply(Listing{Position: c.position}, c.after)
		if f.Position() != c.want {
			t.Errorf("%s: position %v, want %v", c.name, f.Position(), c.want)
		}
	}
}

// TestListingOfANewerEraReplacesAHigherRevision guards against an instance that ignores
// a store that was restored from a copy, whose revisions are lower.
func TestListingOfANewerEraReplacesAHigherRevision(t *testing.T) {
	l := &recordingListener{}
	f := New(Options{
		Decoder: textDecoder{}, Listener: l, Uptime: func() time.Duration { return time.Minute },
		Logger: log.New(io.Discard), Scope: tally.NoopScope,
	})
	f.apply(Listing{Full: true, Position: contract.StorePosition{Era: 1, Revision: 90}}, contract.StorePosition{})
	f.apply(Listing{Full: true, Position: contract.StorePosition{Era: 2, Revision: 50}, Items: []Item{{Key: "t/a", Value: []byte("target 10.0.0.1:80"), Revision: 40}}}, contract.StorePosition{})
	f.apply(Listing{Full: true, Position: contract.StorePosition{Era: 1, Revision: 95}}, contract.StorePosition{})
	if !l.has(0, "a") || f.Position() != (contract.StorePosition{Era: 2, Revision: 50}) {
		t.Errorf("position %v, listener %+v", f.Position(), l)
	}
}

// TestNewerRoutesAreTakenFromAnInstanceOfAnOlderEra guards against losing the newest
// version when the only instance that has it has not read the store since it was restored
// from an older copy.
func TestNewerRoutesAreTakenFromAnInstanceOfAnOlderEra(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	newFollower := func(position contract.StorePosition, routes string) *Follower {
		f := New(Options{Decoder: textDecoder{}, Listener: &recordingListener{}, Uptime: now, Logger: log.New(io.Discard), Scope: tally.NoopScope})
		f.apply(Listing{Full: true, Position: position, Items: []Item{{Key: "routes", Value: []byte(routes), Revision: 1}}}, contract.StorePosition{})
		return f
	}
	cutOff := newFollower(contract.StorePosition{Era: 1, Revision: 90}, "routes 9")
	current := newFollower(contract.StorePosition{Era: 2, Revision: 50}, "routes 7")
	server := &feed{follower: cutOff}
	response, err := server.Follow(t.Context(), connect.NewRequest(&primroseloomv1.FollowRequest{After: 50, Era: 2, RoutesVersion: 7}))
	if err != nil {
		t.Fatal(err)
	}
	if message := response.Msg; message.GetWhole() || len(message.GetItems()) > 0 || message.GetNewestRoutes() == nil {
		t.Fatalf("response %v, want newer routes only", message)
	}
	current.applyNewestRoutes(itemFromWire(response.Msg.GetNewestRoutes()))
	if current.RoutesVersion() != 9 || current.Position().Era != 2 {
		t.Errorf("version %d at %v", current.RoutesVersion(), current.Position())
	}
	for _, invalid := range []string{"routes x", "routes 5"} {
		current.applyNewestRoutes(Item{Key: "routes", Value: []byte(invalid)})
		if current.RoutesVersion() != 9 {
			t.Errorf("%q from another instance put version %d in force", invalid, current.RoutesVersion())
		}
	}
	if _, err := server.Follow(t.Context(), connect.NewRequest(&primroseloomv1.FollowRequest{After: 50, Era: 2, RoutesVersion: 9})); err == nil {
		t.Error("an instance of an older era without newer routes has something to tell")
	}
}

// TestOlderRoutesOfAnotherInstanceAreAnsweredByAnAnnouncement guards against an instance
// that hears of older routes from one to which it sends no heartbeats.
func TestOlderRoutesOfAnotherInstanceAreAnsweredByAnAnnouncement(t *testing.T) {
	runFollower(t, true, func(_ *fakeStore, f *Follower, _ *recordingListener) {
		announced := 0
		f.options.Announce = func() { announced++ }
		for range 5 {
			f.Announced("vm-2", contract.Announcement{RoutesVersion: 3}, false)
		}
		f.Announced("vm-3", contract.Announcement{RoutesVersion: 4}, false)
		f.Announced("vm-4", contract.Announcement{}, false)
		if announced != 1 {
			t.Errorf("%d announcements within routesTellInterval, want 1", announced)
		}
	})
}
