package membership

import (
	"math/rand/v2"
	"testing"
	"time"
)

// convergedFleet starts a fleet and runs it until all views are complete.
func convergedFleet(t testing.TB, s *simulation, count int) []*instance {
	t.Helper()
	fleet := s.startFleet(count)
	s.run(15 * time.Second)
	expectAdvertised(t, s, fleet, count)
	return fleet
}

func expectAdvertised(t testing.TB, s *simulation, fleet []*instance, want int) {
	t.Helper()
	for _, in := range fleet {
		if got := s.advertisedCount(in); got != want {
			t.Fatalf("at %s: %s advertises %d members, want %d", s.now, in.vm, got, want)
		}
	}
}

func TestNewInstanceJoinsThroughOneSeed(t *testing.T) {
	s := newSimulation(1)
	fleet := convergedFleet(t, s, 12)
	fleet = append(fleet, s.start(12))
	s.run(3 * time.Second)
	expectAdvertised(t, s, fleet, 13)
}

func TestDeadMemberIsNotAdvertisedAfterThreeSeconds(t *testing.T) {
	s := newSimulation(2)
	fleet := convergedFleet(t, s, 36)
	fleet[7].stopped = true
	s.run(3 * time.Second)
	expectAdvertised(t, s, append(fleet[:7:7], fleet[8:]...), 35)
	s.run(10 * time.Second)
	if _, ok := fleet[0].state.Lookup(s.clock(fleet[0]), vmName(7)); ok {
		t.Error("the dead member is still a member after its suspicion timed out")
	}
}

func TestNoSuspicionWithSmallMessageLoss(t *testing.T) {
	s := newSimulation(3)
	convergedFleet(t, s, 12)
	s.loss = 0.02
	s.onEvent = func(at *instance, e Event) { t.Errorf("at %s: %s saw %s of %s", s.now, at.vm, e.Kind, e.VM) }
	s.run(20 * time.Minute)
}

func TestLeavingMemberIsNotAdvertised(t *testing.T) {
	s := newSimulation(4)
	fleet := convergedFleet(t, s, 12)
	fleet[3].state.Leave()
	s.run(time.Second)
	expectAdvertised(t, s, fleet, 11)
	if m, ok := fleet[0].state.Lookup(s.clock(fleet[0]), vmName(3)); !ok || m.Status != Leaving {
		t.Errorf("the leaving member has status %v, known %t; want it known as leaving", m.Status, ok)
	}
	fleet[3].state.Depart()
	s.run(time.Second)
	fleet[3].stopped = true
	if _, ok := fleet[0].state.Lookup(s.clock(fleet[0]), vmName(3)); ok {
		t.Error("the departed member is still known")
	}
}

func TestRestartSupersedesOldProcess(t *testing.T) {
	s := newSimulation(5)
	fleet := convergedFleet(t, s, 12)
	fleet[5].stopped = true
	fleet[5] = s.start(5)
	s.run(3 * time.Second)
	expectAdvertised(t, s, fleet, 12)
	for _, in := range fleet {
		m, _ := in.state.Lookup(s.clock(in), vmName(5))
		if m.Instance != fleet[5].state.self.Instance {
			t.Errorf("%s still knows the old process", in.vm)
		}
	}
}

func TestOlderProcessStopsAdvertisingItself(t *testing.T) {
	s := newSimulation(6)
	fleet := convergedFleet(t, s, 6)
	old := fleet[5].state
	now := s.clock(fleet[5])
	rival := old.Self(now)
	rival.Instance, rival.Incarnation, rival.Uptime = 77, rival.Incarnation+1, time.Second
	old.apply(now, rival, vmName(0), false)
	if !old.Superseded() || old.Members(now)[0].Advertised {
		t.Error("the older process still advertises itself")
	}
}

// TestMemberThatReceivesNothingIsRemovedWithoutFlapping drops all messages to one
// VM, while all others still receive its messages.
func TestMemberThatReceivesNothingIsRemovedWithoutFlapping(t *testing.T) {
	s := newSimulation(7)
	fleet := convergedFleet(t, s, 36)
	nonReceiver := vmName(9)
	changes := make(map[string]int)
	s.onEvent = func(at *instance, e Event) {
		if at.vm != nonReceiver {
			changes[e.VM]++
		}
	}
	s.cut = func(_, to string) bool { return to == nonReceiver }
	s.run(3 * time.Second)
	others := append(fleet[:9:9], fleet[10:]...)
	expectAdvertised(t, s, others, 35)
	s.run(2 * time.Minute)
	expectAdvertised(t, s, others, 35)
	if len(changes) != 1 || changes[nonReceiver] != 2*35 {
		t.Errorf("changes seen by the others: %v, want only two by each about %s", changes, nonReceiver)
	}
	s.cut = func(string, string) bool { return false }
	s.run(15 * time.Second)
	expectAdvertised(t, s, fleet, 36)
}

// TestMemberThatReceivesFromOnePeerOnlyIsHeldDown drops all messages to one VM
// except those of a single other one.
func TestMemberThatReceivesFromOnePeerOnlyIsHeldDown(t *testing.T) {
	s := newSimulation(8)
	fleet := convergedFleet(t, s, 36)
	nonReceiver := vmName(9)
	s.cut = func(from, to string) bool { return to == nonReceiver && from != vmName(1) }
	s.run(30 * time.Second)
	advertised := 0
	for range 600 {
		s.run(100 * time.Millisecond)
		if s.advertises(fleet[0], nonReceiver) {
			advertised++
		}
	}
	if advertised > 60 {
		t.Errorf("a VM that receives from one other VM only was advertised in %d of 600 samples, want at most 60", advertised)
	}
}

func TestPartitionSidesContinueAndMerge(t *testing.T) {
	s := newSimulation(9)
	fleet := convergedFleet(t, s, 36)
	side := func(vm string) bool { return vm < vmName(12) }
	s.cut = func(from, to string) bool { return side(from) != side(to) }
	s.run(30 * time.Second)
	expectAdvertised(t, s, fleet[:12], 12)
	expectAdvertised(t, s, fleet[12:], 24)
	s.cut = func(string, string) bool { return false }
	for range 400 {
		s.run(50 * time.Millisecond)
		for i, in := range fleet {
			if got, minimum := s.advertisedCount(in), 12+12*min(1, i/12); got < minimum {
				t.Fatalf("at %s: %s advertises %d members during the merge, want at least its side's %d", s.now, in.vm, got, minimum)
			}
		}
	}
	expectAdvertised(t, s, fleet, 36)
}

func TestZoneThatReceivesNothingIsRemovedAndOthersStay(t *testing.T) {
	s := newSimulation(10)
	fleet := convergedFleet(t, s, 36)
	receivesNothing := func(vm string) bool { return vm < vmName(12) }
	s.cut = func(from, to string) bool { return receivesNothing(to) && !receivesNothing(from) }
	s.run(4 * time.Second)
	for range 600 {
		expectAdvertised(t, s, fleet[12:], 24)
		s.run(100 * time.Millisecond)
	}
}

func TestPausedProcessRaisesNoSuspicion(t *testing.T) {
	s := newSimulation(11)
	fleet := convergedFleet(t, s, 12)
	s.pause(fleet[4], 20*time.Second)
	s.run(20*time.Second + time.Millisecond)
	if !fleet[4].state.Revalidating() {
		t.Error("a process that resumed after a pause does not revalidate")
	}
	s.onEvent = func(at *instance, e Event) {
		if e.Kind == EventSuspected {
			t.Errorf("at %s: %s suspects %s", s.now, at.vm, e.VM)
		}
	}
	s.run(10 * time.Second)
	if fleet[4].state.Revalidating() {
		t.Error("the process still revalidates after it received a response")
	}
	expectAdvertised(t, s, fleet, 12)
}

func TestIsolatedInstanceKeepsItsMembers(t *testing.T) {
	s := newSimulation(12)
	fleet := convergedFleet(t, s, 6)
	s.cut = func(from, to string) bool { return from == vmName(2) || to == vmName(2) }
	s.run(10 * time.Second)
	if !fleet[2].state.Isolated(s.clock(fleet[2])) || len(fleet[2].state.members) != 5 {
		t.Error("an instance that receives no response must be isolated and keep its members")
	}
}

func TestForgedMembersUseBoundedMemory(t *testing.T) {
	s := newSimulation(13)
	fleet := convergedFleet(t, s, 3)
	random := rand.New(rand.NewPCG(13, 13))
	victim := fleet[0].state
	for i := range 100_000 {
		m := Member{VM: vmName(1000 + i), Instance: random.Uint64(), Incarnation: 1, Status: Status(1 + i%4),
			CallersAddress: address(i), PeersAddress: address(i)}
		victim.apply(s.clock(fleet[0]), m, vmName(1), i%2 == 0)
		m.Status, m.Incarnation = Dead, 2
		if i%4 == 1 && i%32 != 1 {
			victim.apply(s.clock(fleet[0]), m, vmName(1), false)
		}
	}
	limit := s.settings.MaxMembers
	if len(victim.members) > limit || len(victim.tombstones) > limit || len(victim.queue) > 2*limit+1 || len(victim.events) > 4096 {
		t.Errorf("members %d, tombstones %d, queue %d, events %d after a flood; limit %d",
			len(victim.members), len(victim.tombstones), len(victim.queue), len(victim.events), limit)
	}
	if _, ok := victim.members[vmName(1)]; !ok || victim.Dropped() == 0 {
		t.Error("a flood must neither displace members nor go uncounted")
	}
}

func TestVMListOnlyProvidesJoinAddresses(t *testing.T) {
	s := newSimulation(14)
	fleet := convergedFleet(t, s, 3)
	stranger := s.start(7)
	stranger.state.seeds = nil
	rows := []ListedVM{{VM: vmName(7), PeersAddress: address(7)}, {VM: vmName(1), Leaving: true}, {VM: "absent", PeersAddress: "10.9.9.9:1"}}
	fleet[0].state.SetListedVMs(rows)
	s.run(30 * time.Second)
	expectAdvertised(t, s, append(fleet, stranger), 4)
}

func TestChallengeEndsWhenMemberLeaves(t *testing.T) {
	s := newSimulation(17)
	fleet := convergedFleet(t, s, 3)
	state, now := fleet[0].state, s.clock(fleet[0])
	statement, _ := state.Lookup(now, vmName(1))
	statement.Status = Dead
	state.apply(now, statement, vmName(2), false)
	statement.Status = Leaving
	state.apply(now, statement, vmName(1), true)
	state.expire(now + 2*s.settings.ChallengeTimeout)
	if m, _ := state.Lookup(now, vmName(1)); m.Status != Leaving {
		t.Errorf("a leaving member became %s when a challenge timed out", m.Status)
	}
}

func TestPauseExtendsSuspicionTimeout(t *testing.T) {
	s := newSimulation(18)
	fleet := convergedFleet(t, s, 3)
	state, now := fleet[0].state, s.clock(fleet[0])
	state.transition(now, state.members[vmName(1)], Suspect, true)
	const pause = 20 * time.Second
	state.HandlePause(now+pause, pause)
	state.Tick(now + pause)
	if m, ok := state.Lookup(now+pause, vmName(1)); !ok || m.Status != Suspect {
		t.Errorf("the suspected member is %s, known %t, right after the pause; want it suspect", m.Status, ok)
	}
}

func TestGenerationsReachAllWithLoss(t *testing.T) {
	s := newSimulation(19)
	fleet := convergedFleet(t, s, 36)
	s.loss = 0.02
	for generation := uint64(1); generation <= 20; generation++ {
		for _, in := range fleet {
			in.state.SetConfiguration(generation, "", 0)
		}
		s.run(4 * time.Second)
		for _, in := range fleet {
			for _, view := range in.state.Members(s.clock(in)) {
				if view.Generation != generation {
					t.Errorf("%s sees %s at generation %d, want %d", in.vm, view.VM, view.Generation, generation)
				}
			}
		}
	}
}

// TestRelaysPreventSuspicion cuts the connection between a member and its probers
// only, so that it is reached through relays.
func TestRelaysPreventSuspicion(t *testing.T) {
	s := newSimulation(20)
	fleet := convergedFleet(t, s, 36)
	target := vmName(5)
	probers := make(map[string]bool)
	for _, in := range fleet {
		probers[in.vm] = in.state.edges[target] != nil
	}
	s.cut = func(from, to string) bool { return (probers[from] && to == target) || (from == target && probers[to]) }
	s.onEvent = func(at *instance, e Event) {
		if e.Kind == EventSuspected {
			t.Errorf("at %s: %s suspects %s, which relays can reach", s.now, at.vm, e.VM)
		}
	}
	s.run(20 * time.Second)
}

func TestLateProcessRaisesNoSuspicion(t *testing.T) {
	s := newSimulation(15)
	fleet := convergedFleet(t, s, 3)
	state, now := fleet[0].state, s.clock(fleet[0])
	for range 100 {
		now += lateTickThreshold
		state.Tick(now)
		state.markContact(now)
	}
	for _, event := range state.Events() {
		t.Errorf("a process that ran late saw %s of %s", event.Kind, event.VM)
	}
}

func TestHoldDownIsLimitedWhenAllMembersAreSuspected(t *testing.T) {
	s := newSimulation(16)
	fleet := convergedFleet(t, s, 20)
	state, now := fleet[0].state, s.clock(fleet[0])
	for range 3 {
		for _, r := range state.members {
			state.countRefutation(now, r)
		}
	}
	if got := s.advertisedCount(fleet[0]); got < 16 {
		t.Errorf("%d of 20 members are advertised after all were suspected repeatedly, want at least 16", got)
	}
}

func TestCompareStatements(t *testing.T) {
	base := Member{VM: "vm1", Instance: 5, Incarnation: 3, Status: Alive, Refresh: 2, Uptime: time.Minute}
	cases := map[string]struct {
		change func(*Member)
		want   int
	}{
		"same":                    {func(*Member) {}, 0},
		"greater incarnation":     {func(m *Member) { m.Incarnation, m.Status = 4, Alive }, 1},
		"older incarnation, dead": {func(m *Member) { m.Incarnation, m.Status = 2, Dead }, -1},
		"suspect":                 {func(m *Member) { m.Status = Suspect }, 1},
		"older refresh":           {func(m *Member) { m.Refresh = 1 }, -1},
		"suspect, older refresh":  {func(m *Member) { m.Status, m.Refresh = Suspect, 1 }, 1},
		"newer process":           {func(m *Member) { m.Instance, m.Uptime = 4, time.Second }, 1},
		"older process, dead":     {func(m *Member) { m.Instance, m.Uptime, m.Status = 6, time.Hour, Dead }, -1},
	}
	for name, c := range cases {
		other := base
		c.change(&other)
		if got := compareStatements(&other, &base); got != c.want {
			t.Errorf("%s: order %d, want %d", name, got, c.want)
		}
		if got := compareStatements(&base, &other); got != -c.want {
			t.Errorf("%s, reversed: order %d, want %d", name, got, -c.want)
		}
	}
}

func TestMalformedStatementsAreDropped(t *testing.T) {
	good := Member{VM: "vm1", Incarnation: 1, Status: Alive, CallersAddress: address(1), PeersAddress: address(1)}
	cases := map[string]func(*Member){
		"name":        func(m *Member) { m.VM = "VM 1" },
		"status":      func(m *Member) { m.Status = 9 },
		"address":     func(m *Member) { m.PeersAddress = "example:1" },
		"incarnation": func(m *Member) { m.Incarnation = 1 << 60 },
		"zone":        func(m *Member) { m.Zone = string(make([]byte, 100)) },
	}
	for name, spoil := range cases {
		m := good
		spoil(&m)
		if validate(&m) == nil {
			t.Errorf("%s: malformed statement accepted", name)
		}
	}
	if err := validate(&good); err != nil {
		t.Errorf("well-formed statement refused: %v", err)
	}
}
