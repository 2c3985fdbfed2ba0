package freshness

import (
	"testing"
	"time"
)

const (
	bound = 5 * time.Second
	// start is the uptime at which the VMs of the tests begin.
	start = time.Hour
)

// compared returns the state of a VM with a version in force for which the store's word
// counts.
func compared(version uint64) *State {
	s := New(bound, start)
	s.Applied(version)
	s.PeersKnown(0, start+aloneTime)
	return s
}

func at(ms int) time.Duration { return start + time.Duration(ms)*time.Millisecond }

// TestWhatMakesAVMCurrent is a table of what a VM with version 7 hears, and until when it is
// current then. Times are in milliseconds after the start.
func TestWhatMakesAVMCurrent(t *testing.T) {
	peer := func(version uint64, age time.Duration) Answer {
		return Answer{Version: version, Confirmed: true, Age: age}
	}
	for _, c := range []struct {
		name string
		hear func(s *State)
		// until is when the VM ceases to be current; 0 when it never is.
		until int
	}{
		{"nothing", func(*State) {}, 0},
		{"a call to the store counts from when it was sent", func(s *State) { s.ConfirmedByStore(at(3000)) }, 8000},
		{"a peer's age makes its confirmation older", func(s *State) { s.ConfirmedByPeer("a", peer(7, 3*time.Second), at(4000)) }, 6000},
		{"a late answer of the store moves nothing back", func(s *State) { s.ConfirmedByStore(at(4000)); s.ConfirmedByStore(at(3000)) }, 9000},
		{"a late answer of a peer moves nothing back", func(s *State) {
			s.ConfirmedByStore(at(4000))
			s.ConfirmedByPeer("a", peer(7, 0), at(3000))
		}, 9000},
		{"a confirmation of an older version is void", func(s *State) { s.ConfirmedByPeer("a", peer(6, 0), at(4000)) }, 0},
		{"a confirmation of a newer version waits for it", func(s *State) { s.ConfirmedByPeer("a", peer(8, 0), at(4000)) }, 0},
		{"it counts once that version is in force", func(s *State) {
			s.ConfirmedByPeer("a", peer(8, 0), at(4000))
			s.Applied(8)
		}, 9000},
		{"it is void once a still newer one is in force", func(s *State) {
			s.ConfirmedByPeer("a", peer(8, 0), at(4000))
			s.Applied(9)
		}, 0},
		{"of two newer versions the newest waits", func(s *State) {
			s.ConfirmedByPeer("a", peer(9, 0), at(2000))
			s.ConfirmedByPeer("b", peer(8, 0), at(4000))
			s.Applied(9)
		}, 7000},
		{"an earlier confirmation holds when a newer version is heard of", func(s *State) {
			s.ConfirmedByStore(at(3000))
			s.HeardOf(8)
		}, 8000},
		{"the store's word is void while a newer version is known", func(s *State) {
			s.ConfirmedByStore(at(3000))
			s.HeardOf(8)
			s.ConfirmedByStore(at(4000))
		}, 8000},
		{"a peer without a confirmation gives none", func(s *State) { s.ConfirmedByPeer("a", Answer{Version: 7}, at(4000)) }, 0},
		{"an invalid age gives none", func(s *State) { s.ConfirmedByPeer("a", peer(7, -time.Hour), at(4000)) }, 0},
		{"an older version than the one in force is not applied", func(s *State) {
			s.ConfirmedByStore(at(3000))
			s.Applied(6)
		}, 8000},
	} {
		s := compared(7)
		c.hear(s)
		until := 0
		for ms := 4000; ms < 12_000; ms += 50 {
			if s.Current(at(ms)) {
				until = ms + 50
			}
		}
		if until != c.until {
			t.Errorf("%s: current until %d ms, want %d", c.name, until, c.until)
		}
	}
}

// TestVMWithoutRoutesIsNotCurrent guards against a new VM that serves before it has routes.
func TestVMWithoutRoutesIsNotCurrent(t *testing.T) {
	s := compared(0)
	s.ConfirmedByStore(at(3000))
	s.ConfirmedByPeer("a", Answer{Confirmed: true}, at(3000))
	if s.Current(at(3000)) {
		t.Error("a VM without routes is current")
	}
}

// TestStoreCountsOnceVersionsWereCompared guards against a VM that takes a store at its word
// which was restored from a copy with a key that was withdrawn since.
func TestStoreCountsOnceVersionsWereCompared(t *testing.T) {
	older := Answer{Version: 7}
	for _, c := range []struct {
		name string
		hear func(s *State)
		want bool
	}{
		{"no peer has answered", func(s *State) { s.PeersKnown(5, at(1000)) }, false},
		{"three have", func(s *State) {
			for _, peer := range []string{"a", "b", "c"} {
				s.ConfirmedByPeer(peer, older, at(1000))
			}
			s.PeersKnown(5, at(1000))
		}, true},
		{"three have, before others were heard of", func(s *State) {
			for _, peer := range []string{"a", "b", "c"} {
				s.ConfirmedByPeer(peer, older, at(100))
			}
			s.PeersKnown(5, at(990))
		}, false},
		{"one has, thrice", func(s *State) {
			for range 3 {
				s.ConfirmedByPeer("a", older, at(1000))
			}
			s.PeersKnown(5, at(1000))
		}, false},
		{"all of two have", func(s *State) {
			s.ConfirmedByPeer("a", older, at(1000))
			s.ConfirmedByPeer("b", older, at(1000))
			s.PeersKnown(2, at(1000))
		}, true},
		{"one of them has a newer version", func(s *State) {
			s.ConfirmedByPeer("a", older, at(1000))
			s.ConfirmedByPeer("b", Answer{Version: 9}, at(1000))
			s.PeersKnown(2, at(1000))
		}, false},
		{"they were asked before the store was restored", func(s *State) {
			s.StoreRestored(at(1500))
			for _, peer := range []string{"a", "b", "c"} {
				s.ConfirmedByPeer(peer, older, at(1000))
			}
		}, false},
		{"there is no peer", func(s *State) { s.PeersKnown(0, start+aloneTime) }, true},
		{"there may be peers yet", func(s *State) { s.PeersKnown(0, start+aloneTime-1) }, false},
		{"all peers have gone", func(s *State) {
			s.PeersKnown(2, at(1000))
			s.PeersKnown(0, start+aloneTime)
		}, false},
	} {
		s := New(bound, start)
		s.Applied(7)
		c.hear(s)
		s.ConfirmedByStore(at(2000))
		if s.Current(at(2500)) != c.want {
			t.Errorf("%s: current %v, want %v", c.name, !c.want, c.want)
		}
	}
}

// TestWhatTheStoreSaidMeanwhileCounts guards against a VM that refuses requests for another
// watch although it has just compared its version.
func TestWhatTheStoreSaidMeanwhileCounts(t *testing.T) {
	s := New(bound, start)
	s.Applied(7)
	s.ConfirmedByStore(at(100))
	s.PeersKnown(1, at(200))
	s.ConfirmedByPeer("a", Answer{Version: 7}, at(200))
	s.PeersKnown(1, at(1000))
	if !s.Current(at(1000)) {
		t.Error("not current after the comparison")
	}
}

// TestEachRestorationIsCompared guards against a VM that compares once, at its start.
func TestEachRestorationIsCompared(t *testing.T) {
	s := compared(9)
	s.ConfirmedByStore(at(3000))
	s.StoreRestored(at(3500))
	s.ConfirmedByStore(at(4000))
	if age, _ := s.Age(at(4000)); age != time.Second || s.Compared() {
		t.Errorf("age %v, compared %v", age, s.Compared())
	}
	s.PeersKnown(1, at(4000))
	s.ConfirmedByPeer("a", Answer{Version: 7}, at(4100))
	s.PeersKnown(1, at(4500))
	if age, _ := s.Age(at(4500)); age != 500*time.Millisecond {
		t.Errorf("age %v after the comparison", age)
	}
}

// TestPeersAreAskedBeforeTheStoreCountsWithoutThem guards against a VM that takes a restored
// store at its word without any peer's answer although it had no time to ask: its process was
// paused, or its routes first needed no confirmations.
func TestPeersAreAskedBeforeTheStoreCountsWithoutThem(t *testing.T) {
	for _, c := range []struct {
		name string
		// before are the milliseconds at which peers are known before 60 s.
		before []int
	}{
		{"first asked after a minute", nil},
		{"a pause of a minute", []int{100, 200}},
	} {
		s := New(bound, start)
		s.Applied(7)
		for _, ms := range c.before {
			s.PeersKnown(5, at(ms))
		}
		silent := silentBounds * int(bound.Milliseconds())
		for ms := 60_000; ms < 60_000+silent-2000; ms += 100 {
			s.PeersKnown(5, at(ms))
			if s.Compared() {
				t.Errorf("%s: compared after %d ms of asking", c.name, ms-60_000)
				break
			}
		}
		for ms := 60_000 + silent - 2000; ms <= 60_000+silent; ms += 100 {
			s.PeersKnown(5, at(ms))
		}
		if !s.Compared() {
			t.Errorf("%s: waits for silent peers for ever", c.name)
		}
	}
}

// TestWhenAVMAsks is a table of the age of the confirmation and what a VM does.
func TestWhenAVMAsks(t *testing.T) {
	for _, c := range []struct {
		age                        time.Duration
		servesKeys, readsStore     bool
		asks, needsStore, isPrompt bool
		sinceStore                 time.Duration
	}{
		{age: 900 * time.Millisecond, servesKeys: true, sinceStore: 900 * time.Millisecond},
		{age: 1100 * time.Millisecond, servesKeys: true, asks: true, sinceStore: 1100 * time.Millisecond},
		{age: 1100 * time.Millisecond, sinceStore: 1100 * time.Millisecond},
		{age: 2900 * time.Millisecond, servesKeys: true, readsStore: true, sinceStore: 2 * time.Second},
		{age: 3100 * time.Millisecond, servesKeys: true, readsStore: true, asks: true, sinceStore: 2 * time.Second},
		{age: 4100 * time.Millisecond, servesKeys: true, asks: true, needsStore: true, isPrompt: true, sinceStore: 4 * time.Second},
		{age: 4100 * time.Millisecond, servesKeys: true, asks: true, sinceStore: time.Second},
	} {
		s := compared(7)
		now := start + 10*time.Second
		s.ConfirmedByPeer("a", Answer{Version: 7, Confirmed: true}, now-c.age)
		s.store = moment{at: now - c.sinceStore, known: true}
		if got := s.ShouldAsk(c.servesKeys, c.readsStore, now); got != c.asks {
			t.Errorf("%+v: asks %v", c, got)
		}
		if got := s.NeedsStore(now); got != c.needsStore {
			t.Errorf("%+v: needs the store %v", c, got)
		}
		if got := s.NeedsPromptAnswer(now); got != c.isPrompt {
			t.Errorf("%+v: needs a prompt answer %v", c, got)
		}
	}
	fresh := New(bound, start)
	fresh.PeersKnown(1, start)
	if !fresh.ShouldAsk(false, true, start) {
		t.Error("a VM that starts does not ask")
	}
	fresh.ConfirmedByPeer("a", Answer{}, start)
	if fresh.ShouldAsk(false, true, start) {
		t.Error("a VM that starts asks again although all peers have answered")
	}
}
