package follow

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
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
			f.PositionAnnounced("vm-2", contract.StorePosition{Era: 1, Revision: 1000}, true)
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
