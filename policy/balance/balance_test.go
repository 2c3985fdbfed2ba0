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

// TestBalancerAgainstNaive runs random operations beside a scan of all targets.
func TestBalancerAgainstNaive(t *testing.T) {
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
				want := Criteria{Zone: "z0", Exclude: []string{name}, Idempotent: rng.IntN(2) == 0}
				possible := 0
				for other, weight := range weights {
					if other != name && weight > 0 && inFlight[other] < 3 && (want.Idempotent || !trials[other]) {
						possible++
					}
				}
				got, ok := b.Take(rng, want)
				if ok != (possible > 0) {
					t.Fatalf("seed %d step %d: got %v with %d possible", seed, step, ok, possible)
				}
				if !ok {
					break
				}
				if got == name || weights[got] == 0 || inFlight[got] >= 3 || trials[got] && !want.Idempotent {
					t.Fatalf("seed %d step %d: chose %s", seed, step, got)
				}
				inFlight[got]++
			}
		}
	}
}

func TestConfigureKeepsRequestsInProgress(t *testing.T) {
	b, rng := NewBalancer(), newRNG(1)
	b.Configure(testTargets(1))
	for range 3 {
		b.Take(rng, Criteria{})
	}
	b.Configure(testTargets(1))
	if _, ok := b.Take(rng, Criteria{}); ok {
		t.Fatal("a new configuration forgot the requests in progress")
	}
}

func TestNearZoneIsPreferredAndNotOverloaded(t *testing.T) {
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
		t.Fatalf("%d of 21 requests in the near zone", near)
	}
}

func TestConnectionShareNeverExceedsTheLimit(t *testing.T) {
	for vms := 1; vms <= 840; vms++ {
		if total := ConnectionShare(330, vms) * vms * restartAllowance; total > 330 {
			t.Fatalf("%d VMs may open %d connections", vms, total)
		}
	}
	if got := ConnectionShare(330, 36); got < 4 {
		t.Fatalf("36 VMs have %d connections each, fewer than slots and a probe", got)
	}
}

func TestWindowFindsItsShare(t *testing.T) {
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

func newKeeper(now time.Time, targets int) *Lessor {
	k := NewLessor(now, newRNG(3))
	k.Configure(testTargets(targets))
	return k
}

// handle passes a message of a VM that has heard the keeper just now.
func handle(k *Lessor, now time.Time, vm string, message LeaseMessage) []LeaseGrant {
	message.Echo = k.Token(now)
	grants, _ := k.HandleMessage(now, vm, message)
	return grants
}

// open returns a keeper that has waited out earlier leases.
func open(now time.Time, targets int) (*Lessor, time.Time) {
	k := newKeeper(now, targets)
	for range 4 {
		now = now.Add(LeaseTerm / 4)
		k.Expire(now)
	}
	return k, now
}

func TestKeeperWaitsOutEarlierLeases(t *testing.T) {
	now := time.Unix(0, 0)
	k := newKeeper(now, 1)
	if grants := handle(k, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: 1}}}); len(grants) > 0 {
		t.Fatal("granted while leases of an earlier keeper may be in force")
	}
	handle(k, now, "b", LeaseMessage{Held: []HeldLease{{ID: 9, Target: "t000"}}})
	for range 3 {
		now = now.Add(LeaseTerm / 4)
		handle(k, now, "a", LeaseMessage{})
		handle(k, now, "b", LeaseMessage{})
	}
	if grants := k.Expire(now.Add(LeaseTerm / 4)); len(grants) != 1 || k.Leased("t000") != 2 {
		t.Fatalf("%d grants, %d leased", len(grants), k.Leased("t000"))
	}
}

func TestKeeperEndsLeasesOfSilentVM(t *testing.T) {
	k, now := open(time.Unix(0, 0), 1)
	k.Shed(now, "t000")
	handle(k, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: 0}, {ID: 1}, {ID: 2}}})
	if grants := handle(k, now, "b", LeaseMessage{Requests: []SlotRequest{{ID: 1}}}); len(grants) > 0 {
		t.Fatal("a fourth request was granted at a target that sheds")
	}
	for range 3 {
		now = now.Add(LeaseTerm / 4)
		handle(k, now, "b", LeaseMessage{})
	}
	grants := k.Expire(now.Add(LeaseTerm / 4))
	if len(grants) != 1 || grants[0].VM != "b" {
		t.Fatalf("got %+v", grants)
	}
	handle(k, now, "a", LeaseMessage{Returns: []uint64{0}})
	if k.Leased("t000") != 1 {
		t.Fatalf("%d leased after a late return", k.Leased("t000"))
	}
}

func TestDeafVMHoldsNoLeases(t *testing.T) {
	k, now := open(time.Unix(0, 0), 1)
	echo := k.Token(now)
	for id := range uint64(40) {
		k.HandleMessage(now, "deaf", LeaseMessage{Echo: echo, Requests: []SlotRequest{{ID: id}}})
		now = now.Add(LeaseTerm / 10)
		k.Expire(now)
	}
	if k.Leased("t000") != 0 || k.Waiting() != 0 {
		t.Fatalf("%d slots leased and %d asks kept for a VM that hears nothing", k.Leased("t000"), k.Waiting())
	}
}

func TestPausedKeeperStartsOver(t *testing.T) {
	k, now := open(time.Unix(0, 0), 1)
	now = now.Add(30 * time.Second)
	if grants := handle(k, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: 1}}}); len(grants) > 0 || k.Open(now) {
		t.Fatal("a keeper that woke late grants slots at once")
	}
}

// TestKeeperNeverLeasesASlotTwice runs random messages, lost ones included.
func TestKeeperNeverLeasesASlotTwice(t *testing.T) {
	for seed := range uint64(100) {
		rng := newRNG(seed)
		k, now := open(time.Unix(0, 0), 4)
		for id := range uint64(300) {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			vm := fmt.Sprint(rng.IntN(3))
			switch rng.IntN(4) {
			case 0:
				handle(k, now, vm, LeaseMessage{Returns: []uint64{uint64(rng.IntN(int(id) + 1))}})
			case 1:
				k.Expire(now)
			default:
				ask := SlotRequest{ID: id, Customer: vm, Weight: 1, Deadline: now.Add(time.Second)}
				handle(k, now, vm, LeaseMessage{Requests: []SlotRequest{ask}})
			}
			leased := map[string]int{}
			for _, h := range k.leases {
				for _, target := range h.targets {
					leased[target]++
				}
			}
			for target, count := range leased {
				if count > 3+extraPerTarget || count != k.Leased(target) {
					t.Fatalf("seed %d: %s has %d leases, counted %d", seed, target, count, k.Leased(target))
				}
			}
			if len(k.pending) != k.Waiting() {
				t.Fatalf("seed %d: %d pending, %d waiting", seed, len(k.pending), k.Waiting())
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

func BenchmarkKeeper(b *testing.B) {
	for _, count := range []int{20, 360} {
		b.Run(fmt.Sprint("targets=", count), func(b *testing.B) {
			k, now := open(time.Unix(0, 0), count)
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				handle(k, now, "a", LeaseMessage{Requests: []SlotRequest{{ID: id, Customer: "c", Weight: 1}}})
				handle(k, now, "a", LeaseMessage{Returns: []uint64{id}})
			}
		})
	}
}
