package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is a State's record of another member. The uptime is stored as the time
// at which the process started, on this instance's clock.
type record struct {
	Member
	started time.Duration
	// positions are the member's places on the rings.
	positions []uint64
	// suspectUntil is the time until which the member can refute a suspicion.
	suspectUntil time.Duration
	// challengedUntil is the time until which the member can refute a statement
	// that it is dead; zero when it is not challenged.
	challengedUntil time.Duration
	refutations     int
	lastRefutation  time.Duration
	heldDownUntil   time.Duration
	// unreachable is set when this instance alone could not reach the member.
	unreachable bool
	// died is the time at which the record became a tombstone.
	died time.Duration
}

// State is one instance's view of the fleet. It is not safe for concurrent use.
type State struct {
	settings   Settings
	random     *rand.Rand
	self       record
	members    map[string]*record
	tombstones map[string]*record
	edges      map[string]*edge
	byProbe    map[uint64]*edge
	nextProbe  uint64
	queue      map[string]*queuedStatement
	sequence   uint64
	events     []Event
	digest     uint64
	version    uint64
	// overlayVersion is the version for which edges and neighbors were chosen.
	overlayVersion uint64
	nextOverlay    time.Duration
	nextPush       time.Duration
	neighbors      []string

	seeds           []string
	listedAddresses []string
	lastContact     time.Duration
	lastTick        time.Duration
	nextRejoin      time.Duration
	lastSync        time.Duration
	mismatches      int
	revalidating    bool
	revalidateEnd   time.Duration
	superseded      bool
	joinTokens      float64
	joinTokensAt    time.Duration
	dropped         uint64
}

// New returns the state of a starting instance. The seeds are the "IP:port"
// addresses of peers that may be running.
func New(self Member, seeds []string, settings Settings, random *rand.Rand) *State {
	s := &State{
		settings: settings, random: random,
		members: make(map[string]*record), tombstones: make(map[string]*record),
		edges: make(map[string]*edge), byProbe: make(map[uint64]*edge),
		queue: make(map[string]*queuedStatement),
		seeds: slices.Clone(seeds), joinTokens: float64(settings.JoinsPerSecond),
		version: 1,
	}
	self.Status = Alive
	self.Incarnation = max(self.Incarnation, 1)
	s.self = record{Member: self, positions: s.ringPositions(self.VM)}
	s.digest = statementHash(&s.self.Member)
	return s
}

func (s *State) ringPositions(vm string) []uint64 {
	positions := make([]uint64, s.settings.Rings)
	for ring := range positions {
		positions[ring] = xxhash.Sum64String(strconv.Itoa(ring) + "/" + vm)
	}
	return positions
}

// statementHash hashes the part of a statement on which all views must agree.
func statementHash(m *Member) uint64 {
	digest := xxhash.New()
	var numbers [17]byte
	binary.BigEndian.PutUint64(numbers[0:], m.Instance)
	binary.BigEndian.PutUint64(numbers[8:], m.Incarnation)
	numbers[16] = byte(m.Status)
	_, _ = digest.WriteString(m.VM)
	_, _ = digest.Write(numbers[:])
	return digest.Sum64()
}

// Self returns the statement of this instance about itself.
func (s *State) Self(now time.Duration) Member { return s.self.statementAt(now) }

// statementAt returns the statement with the uptime as of now.
func (r *record) statementAt(now time.Duration) Member {
	m := r.Member
	m.Uptime = now - r.started
	return m
}

// Version changes whenever the members, or which of them are advertised, may have
// changed.
func (s *State) Version() uint64 { return s.version }

// Dropped returns the number of statements refused as malformed or because a limit
// was exceeded.
func (s *State) Dropped() uint64 { return s.dropped }

// Isolated reports whether no instance has responded for Settings.IsolatedAfter.
func (s *State) Isolated(now time.Duration) bool {
	return len(s.members) > 0 && now-s.lastContact > s.settings.IsolatedAfter
}

// Revalidating reports whether the instance resumed after a pause and has not yet
// received a response from another one; it must not dispatch meanwhile.
func (s *State) Revalidating() bool { return s.revalidating }

// Superseded reports whether a newer process of this VM exists.
func (s *State) Superseded() bool { return s.superseded }

// Events returns what changed since the last call.
func (s *State) Events() []Event {
	events := s.events
	s.events = nil
	return events
}

// Members returns all members that are not dead: this instance first, then the
// others sorted by name.
func (s *State) Members(now time.Duration) []View {
	views := make([]View, 0, len(s.members)+1)
	views = append(views, View{Member: s.self.statementAt(now), Advertised: s.self.Status == Alive && !s.superseded})
	for _, r := range s.members {
		views = append(views, View{Member: r.statementAt(now), Advertised: r.advertised(now)})
	}
	slices.SortFunc(views[1:], func(a, b View) int { return cmp.Compare(a.VM, b.VM) })
	return views
}

func (r *record) advertised(now time.Duration) bool {
	return r.Status == Alive && !r.unreachable && now >= r.heldDownUntil
}

// Lookup returns a member that is not dead.
func (s *State) Lookup(now time.Duration, vm string) (Member, bool) {
	if vm == s.self.VM {
		return s.Self(now), true
	}
	r, ok := s.members[vm]
	if !ok {
		return Member{}, false
	}
	return r.statementAt(now), true
}

func (s *State) emit(kind EventKind, vm string, raised bool) {
	const maxEvents = 4096
	s.version++
	if len(s.events) < maxEvents {
		s.events = append(s.events, Event{Kind: kind, VM: vm, RaisedHere: raised})
	}
}
