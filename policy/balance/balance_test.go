package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func testTargets(count int) []Target {
	targets := make([]Target, count)
	for i := range targets {
		targets[i] = Target{Name: fmt.Sprintf("t%03d", i), Zone: fmt.Sprint("z", i%3), Limit: 3, Slots: 3}
	}
	return targets
}

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }

// TestBalancerMatchesScanOfAllTargets compares random operations with a plain
// scan of all targets.
func TestBalancerMatchesScanOfAllTargets(t *testing.T) {
	for seed := range uint64(100) {
		rng := newRNG(seed)
		b := NewBalancer()
		b.Configure(testTargets(8))
		inFlight := map[string]int{}
		weights := map[string]float64{}
		trials := map[string]bool{}
		count := 8
		for _, target := range testTargets(8) {
			weights[target.Name] = 1
		}
		for step := range 400 {
			name := fmt.Sprintf("t%03d", rng.IntN(count))
			switch rng.IntN(8) {
			case 0:
				weights[name] = float64(rng.IntN(3)) / 2
				trials[name] = rng.IntN(2) == 0
				b.SetCondition(name, Condition{Weight: weights[name], TrialsOnly: trials[name]})
			case 1:
				b.Configure(testTargets(count))
			case 2, 3:
				if inFlight[name] > 0 {
					inFlight[name]--
					b.Return(name)
				}
			default:
				criteria := Criteria{Zone: "z0", Exclude: []string{name}, Idempotent: rng.IntN(2) == 0}
				possible := 0
				for other, weight := range weights {
					if other != name && weight > 0 && inFlight[other] < 3 && (criteria.Idempotent || !trials[other]) {
						possible++
					}
				}
				got, ok := b.Take(rng, criteria)
				if ok != (possible > 0) {
					t.Fatalf("seed %d step %d: got %v with %d possible", seed, step, ok, possible)
				}
				if !ok {
					break
				}
				if got == name || weights[got] == 0 || inFlight[got] >= 3 || trials[got] && !criteria.Idempotent {
					t.Fatalf("seed %d step %d: chose %s", seed, step, got)
				}
				inFlight[got]++
			}
		}
	}
}

func TestConfigureKeepsInFlightCounts(t *testing.T) {
	b, rng := NewBalancer(), newRNG(1)
	b.Configure(testTargets(1))
	for range 3 {
		b.Take(rng, Criteria{})
	}
	b.Configure(testTargets(1))
	if _, ok := b.Take(rng, Criteria{}); ok {
		t.Fatal("a new configuration reset the count of requests in progress")
	}
}

func TestSameZoneIsPreferredButNotOverloaded(t *testing.T) {
	rng := newRNG(2)
	b := NewBalancer()
	b.Configure(testTargets(21))
	near := 0
	for range 21 {
		name, _ := b.Take(rng, Criteria{Zone: "z0"})
		if b.targets[b.byName[name]].Zone == "z0" {
			near++
		}
	}
	if near <= 7 || near >= 14 {
		t.Fatalf("%d of 21 requests in the same zone, want 8 to 13", near)
	}
}

func TestConnectionShareNeverExceedsTheLimit(t *testing.T) {
	for vms := 1; vms <= 840; vms++ {
		if total := ConnectionShare(330, vms) * vms * restartAllowance; total > 330 {
			t.Fatalf("%d VMs may open %d connections", vms, total)
		}
	}
	if got := ConnectionShare(330, 36); got < 4 {
		t.Fatalf("36 VMs have %d connections each, too few for 3 slots and a probe", got)
	}
}

func TestWindowConvergesToItsShare(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWindow(2, 60)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if w.Size() > 15 {
			w.Shed(now, time.Millisecond)
		} else {
			w.Succeeded(int(w.Size()))
		}
	}
	if w.Size() < 11 || w.Size() > 16 {
		t.Fatalf("window %v, want about 15", w.Size())
	}
}

func newLessor(now time.Time, targets int) *Lessor {
	l := NewLessor(now, newRNG(3))
	l.Configure(testTargets(targets))
	return l
}

// handleMessage passes a message of a VM that has just received a reply.
func handleMessage(l *Lessor, now time.Time, vm string, message LeaseMessage) []LeaseGrant {
	message.Echo = l.Token(now)
	grants, _ := l.HandleMessage(now, vm, message)
	return grants
}

// openLessor returns a lessor that grants slots: earlier leases have expired.
func openLessor(now time.Time, targets int) (*Lessor, time.Time) {
	l := newLessor(now, targets)
	for range 4 {
		now = now.Add(LeaseTerm / 4)
		l.Expire(now)
	}
	return l, now
}

func TestLessorWaitsForEarlierLeasesToExpire(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLessor(now, 1)
	if grants := handleMessage(l, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: 1}}}); len(grants) > 0 {
		t.Fatal("a slot was granted while leases of an earlier lessor may be valid")
	}
	handleMessage(l, now, "b", LeaseMessage{Held: []HeldLease{{ID: 9, Target: "t000"}}})
	for range 3 {
		now = now.Add(LeaseTerm / 4)
		handleMessage(l, now, "a", LeaseMessage{})
		handleMessage(l, now, "b", LeaseMessage{})
	}
	if grants := l.Expire(now.Add(LeaseTerm / 4)); len(grants) != 1 || l.Leased("t000") != 2 {
		t.Fatalf("%d grants, %d leased", len(grants), l.Leased("t000"))
	}
}

func TestLessorEndsLeasesOfSilentVM(t *testing.T) {
	l, now := openLessor(time.Unix(0, 0), 1)
	l.Shed(now, "t000")
	handleMessage(l, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: 0}, {ID: 1}, {ID: 2}}})
	if grants := handleMessage(l, now, "b", LeaseMessage{Requests: []SlotRequest{{ID: 1}}}); len(grants) > 0 {
		t.Fatal("a fourth request was granted at a target that has shed a request")
	}
	for range 3 {
		now = now.Add(LeaseTerm / 4)
		handleMessage(l, now, "b", LeaseMessage{})
	}
	grants := l.Expire(now.Add(LeaseTerm / 4))
	if len(grants) != 1 || grants[0].VM != "b" {
		t.Fatalf("got %+v", grants)
	}
	handleMessage(l, now, "a", LeaseMessage{Returns: []uint64{0}})
	if l.Leased("t000") != 1 {
		t.Fatalf("%d leased after a late return", l.Leased("t000"))
	}
}

func TestVMThatReceivesNoRepliesHoldsNoLeases(t *testing.T) {
	l, now := openLessor(time.Unix(0, 0), 1)
	echo := l.Token(now)
	for id := range uint64(40) {
		l.HandleMessage(now, "no-replies", LeaseMessage{Echo: echo, Requests: []SlotRequest{{ID: id}}})
		now = now.Add(LeaseTerm / 10)
		l.Expire(now)
	}
	if l.Leased("t000") != 0 || l.Waiting() != 0 {
		t.Fatalf("%d slots leased and %d requests waiting for a VM that receives no replies", l.Leased("t000"), l.Waiting())
	}
}

func TestLessorStartsOverAfterProcessPause(t *testing.T) {
	l, now := openLessor(time.Unix(0, 0), 1)
	now = now.Add(30 * time.Second)
	if grants := handleMessage(l, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: 1}}}); len(grants) > 0 || l.Open(now) {
		t.Fatal("a lessor granted slots right after a long pause of its process")
	}
}

// TestLessorNeverLeasesASlotTwice sends random requests and returns, including
// returns of leases that do not exist.
func TestLessorNeverLeasesASlotTwice(t *testing.T) {
	for seed := range uint64(100) {
		rng := newRNG(seed)
		l, now := openLessor(time.Unix(0, 0), 4)
		for id := range uint64(300) {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			vm := fmt.Sprint(rng.IntN(3))
			switch rng.IntN(4) {
			case 0:
				handleMessage(l, now, vm, LeaseMessage{Returns: []uint64{uint64(rng.IntN(int(id) + 1))}})
			case 1:
				l.Expire(now)
			default:
				request := SlotRequest{ID: id, Customer: vm, Weight: 1, Deadline: now.Add(time.Second)}
				handleMessage(l, now, vm, LeaseMessage{Requests: []SlotRequest{request}})
			}
			leased := map[string]int{}
			for _, held := range l.leases {
				for _, target := range held.targets {
					leased[target]++
				}
			}
			for target, count := range leased {
				if count > 3+extraPerTarget || count != l.Leased(target) {
					t.Fatalf("seed %d: %s has %d leases, counted %d", seed, target, count, l.Leased(target))
				}
			}
			if len(l.pending) != l.Waiting() {
				t.Fatalf("seed %d: %d pending, %d waiting", seed, len(l.pending), l.Waiting())
			}
		}
	}
}

func BenchmarkTake(b *testing.B) {
	for _, count := range []int{20, 360} {
		b.Run(fmt.Sprint("targets=", count), func(b *testing.B) {
			balancer, rng := NewBalancer(), newRNG(1)
			balancer.Configure(testTargets(count))
			for range count * 2 {
				balancer.Take(rng, Criteria{Zone: "z0"})
			}
			b.ReportAllocs()
			for b.Loop() {
				name, _ := balancer.Take(rng, Criteria{Zone: "z1"})
				balancer.Return(name)
			}
		})
	}
}

func BenchmarkLessor(b *testing.B) {
	for _, count := range []int{20, 360} {
		b.Run(fmt.Sprint("targets=", count), func(b *testing.B) {
			l, now := openLessor(time.Unix(0, 0), count)
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				handleMessage(l, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: id, Customer: "c", Weight: 1}}})
				handleMessage(l, now, "a", LeaseMessage{Returns: []uint64{id}})
			}
		})
	}
}
