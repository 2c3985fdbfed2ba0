package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	leaseVMs  = 4
	leaseStep = 10 * time.Millisecond
)

// leaseWorld runs lessees and keepers over a network that loses messages.
type leaseWorld struct {
	now     time.Time
	rng     *rand.Rand
	lessees []*Lessee
	keepers []*Lessor
	// cut loses what goes from one VM to another.
	cut     [leaseVMs][leaseVMs]bool
	granted []map[uint64]string
	waiting []map[uint64]bool
	nextID  uint64
}

func newLeaseWorld(seed uint64) *leaseWorld {
	w := &leaseWorld{now: time.Unix(0, 0), rng: newRNG(seed), keepers: make([]*Lessor, leaseVMs)}
	var order []string
	for vm := range leaseVMs {
		order = append(order, fmt.Sprint(vm))
	}
	for vm := range leaseVMs {
		lessee := NewLessee(fmt.Sprint(vm))
		lessee.Configure(order)
		w.lessees = append(w.lessees, lessee)
		w.granted = append(w.granted, map[uint64]string{})
		w.waiting = append(w.waiting, map[uint64]bool{})
	}
	return w
}

func (w *leaseWorld) run(steps int) {
	for range steps {
		w.now = w.now.Add(leaseStep)
		for vm := range leaseVMs {
			w.lessees[vm].Tick(w.now)
			w.keep(vm)
			if w.keepers[vm] != nil {
				w.reply(vm, -1, LeaseReply{}, w.keepers[vm].Expire(w.now))
			}
			w.flush(vm)
		}
	}
}

func (w *leaseWorld) keep(vm int) {
	switch {
	case !w.lessees[vm].IsLessor():
		w.keepers[vm] = nil
	case w.keepers[vm] == nil:
		w.keepers[vm] = NewLessor(w.now, w.rng)
		w.keepers[vm].Configure(testTargets(3))
	}
}

func (w *leaseWorld) flush(vm int) {
	for _, envelope := range w.lessees[vm].Outbox(w.now) {
		var to int
		_, _ = fmt.Sscan(envelope.To, &to)
		if w.cut[vm][to] {
			continue
		}
		w.keep(to)
		if w.keepers[to] == nil {
			w.deliver(to, vm, LeaseReply{Sequence: envelope.Message.Sequence})
			continue
		}
		grants, applied := w.keepers[to].HandleMessage(w.now, fmt.Sprint(vm), envelope.Message)
		w.reply(to, vm, LeaseReply{Sequence: envelope.Message.Sequence, Resync: !applied}, grants)
	}
}

func (w *leaseWorld) reply(keeper, asker int, answer LeaseReply, grants []LeaseGrant) {
	for vm := range leaseVMs {
		reply := LeaseReply{}
		if vm == asker {
			reply = answer
		}
		for _, grant := range grants {
			if grant.VM == fmt.Sprint(vm) {
				reply.Grants = append(reply.Grants, grant)
			}
		}
		if vm != asker && len(reply.Grants) == 0 {
			continue
		}
		k := w.keepers[keeper]
		reply.IsLessor, reply.Open, reply.BusyShare, reply.Token = true, k.Open(w.now), k.BusyShare(), k.Token(w.now)
		w.deliver(keeper, vm, reply)
	}
}

func (w *leaseWorld) deliver(from, to int, reply LeaseReply) {
	if w.cut[from][to] {
		return
	}
	for _, grant := range w.lessees[to].Receive(w.now, fmt.Sprint(from), reply) {
		delete(w.waiting[to], grant.ID)
		w.granted[to][grant.ID] = grant.Target
	}
}

// act starts or ends a request of a VM at random.
func (w *leaseWorld) act(vm int) {
	if w.rng.IntN(2) == 0 {
		w.nextID++
		w.waiting[vm][w.nextID] = true
		w.lessees[vm].Request(SlotRequest{ID: w.nextID, Customer: "c", Weight: 1})
		return
	}
	for id := range w.granted[vm] {
		w.finish(vm, id)
		return
	}
}

func (w *leaseWorld) finish(vm int, id uint64) {
	delete(w.granted[vm], id)
	w.lessees[vm].Finish(id)
}

// settle heals the network, ends what was granted and serves what waits.
func (w *leaseWorld) settle(t *testing.T, seed uint64) {
	w.cut = [leaseVMs][leaseVMs]bool{}
	for range 100 {
		w.run(20)
		for vm := range leaseVMs {
			for id := range w.granted[vm] {
				w.finish(vm, id)
			}
		}
	}
	w.run(200)
	for vm := range leaseVMs {
		if len(w.waiting[vm]) > 0 || w.lessees[vm].Lessor() != "0" || w.lessees[vm].ChoosesLocally() {
			t.Fatalf("seed %d: VM %d: %d requests wait, keeper %q", seed, vm, len(w.waiting[vm]), w.lessees[vm].Lessor())
		}
	}
	for _, target := range testTargets(3) {
		if leased := w.keepers[0].Leased(target.Name); leased != 0 {
			t.Fatalf("seed %d: %d slots of %s stay leased to nobody", seed, leased, target.Name)
		}
	}
}

// TestLeasesSurviveFaults cuts and heals directions at random. A keeper counts
// leases that others granted, so its count stays within what all candidates
// may lease at a time. After healing no slot is lost and no request waits.
func TestLeasesSurviveFaults(t *testing.T) {
	for seed := range uint64(40) {
		w := newLeaseWorld(seed)
		for range 60 {
			if w.rng.IntN(4) == 0 {
				from, to := w.rng.IntN(leaseVMs), w.rng.IntN(leaseVMs)
				w.cut[from][to] = from != to && w.rng.IntN(2) == 0
			}
			for vm := range leaseVMs {
				w.act(vm)
			}
			w.run(1 + w.rng.IntN(40))
			for vm, k := range w.keepers {
				for _, target := range testTargets(3) {
					if k != nil && k.Leased(target.Name) > keeperCandidates*(3+extraPerTarget) {
						t.Fatalf("seed %d: VM %d leases %d of %s", seed, vm, k.Leased(target.Name), target.Name)
					}
				}
			}
		}
		w.settle(t, seed)
	}
}

func TestDeafVMChoosesByItself(t *testing.T) {
	w := newLeaseWorld(1)
	w.run(300)
	if w.lessees[3].ChoosesLocally() {
		t.Fatal("a VM does not use the keeper")
	}
	for vm := range leaseVMs {
		w.cut[vm][3] = vm != 3
	}
	w.act(3)
	w.act(3)
	w.lessees[3].Request(SlotRequest{ID: 999, Customer: "c", Weight: 1})
	w.run(100)
	if !w.lessees[3].ChoosesLocally() {
		t.Fatal("a VM that hears nothing waits for the keeper")
	}
	if w.lessees[1].Lessor() != "0" {
		t.Fatal("another VM turned from the keeper")
	}
}
