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

// leaseSimulation runs lessees and lessors over a network that loses messages.
type leaseSimulation struct {
	now     time.Time
	rng     *rand.Rand
	lessees []*Lessee
	lessors []*Lessor
	// blocked is true for a sender and a receiver whose messages are lost.
	blocked [leaseVMs][leaseVMs]bool
	granted []map[uint64]string
	waiting []map[uint64]bool
	nextID  uint64
}

func newLeaseSimulation(seed uint64) *leaseSimulation {
	w := &leaseSimulation{now: time.Unix(0, 0), rng: newRNG(seed), lessors: make([]*Lessor, leaseVMs)}
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

func (w *leaseSimulation) run(steps int) {
	for range steps {
		w.now = w.now.Add(leaseStep)
		for vm := range leaseVMs {
			w.lessees[vm].Tick(w.now)
			w.updateLessor(vm)
			if w.lessors[vm] != nil {
				w.reply(vm, -1, LeaseReply{}, w.lessors[vm].Expire(w.now))
			}
			w.sendOutbox(vm)
		}
	}
}

func (w *leaseSimulation) updateLessor(vm int) {
	switch {
	case !w.lessees[vm].IsLessor():
		w.lessors[vm] = nil
	case w.lessors[vm] == nil:
		w.lessors[vm] = NewLessor(w.now, w.rng)
		w.lessors[vm].Configure(testTargets(3))
	}
}

func (w *leaseSimulation) sendOutbox(vm int) {
	for _, envelope := range w.lessees[vm].Outbox(w.now) {
		var to int
		_, _ = fmt.Sscan(envelope.To, &to)
		if w.blocked[vm][to] {
			continue
		}
		w.updateLessor(to)
		if w.lessors[to] == nil {
			w.deliver(to, vm, LeaseReply{Sequence: envelope.Message.Sequence})
			continue
		}
		grants, applied := w.lessors[to].HandleMessage(w.now, fmt.Sprint(vm), envelope.Message)
		w.reply(to, vm, LeaseReply{Sequence: envelope.Message.Sequence, Resync: !applied}, grants)
	}
}

func (w *leaseSimulation) reply(lessor, requester int, response LeaseReply, grants []LeaseGrant) {
	for vm := range leaseVMs {
		reply := LeaseReply{}
		if vm == requester {
			reply = response
		}
		for _, grant := range grants {
			if grant.VM == fmt.Sprint(vm) {
				reply.Grants = append(reply.Grants, grant)
			}
		}
		if vm != requester && len(reply.Grants) == 0 {
			continue
		}
		l := w.lessors[lessor]
		reply.IsLessor, reply.Open, reply.BusyShare, reply.Token = true, l.Open(w.now), l.BusyShare(), l.Token(w.now)
		w.deliver(lessor, vm, reply)
	}
}

func (w *leaseSimulation) deliver(from, to int, reply LeaseReply) {
	if w.blocked[from][to] {
		return
	}
	for _, grant := range w.lessees[to].Receive(w.now, fmt.Sprint(from), reply) {
		delete(w.waiting[to], grant.ID)
		w.granted[to][grant.ID] = grant.Target
	}
}

// startOrEndRequest starts or ends a request of a VM at random.
func (w *leaseSimulation) startOrEndRequest(vm int) {
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

func (w *leaseSimulation) finish(vm int, id uint64) {
	delete(w.granted[vm], id)
	w.lessees[vm].Finish(id)
}

// settle restores the network, ends all granted requests, and checks that no
// request waits and no slot stays leased.
func (w *leaseSimulation) settle(t *testing.T, seed uint64) {
	w.blocked = [leaseVMs][leaseVMs]bool{}
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
			t.Fatalf("seed %d: VM %d: %d requests wait, lessor %q", seed, vm, len(w.waiting[vm]), w.lessees[vm].Lessor())
		}
	}
	for _, target := range testTargets(3) {
		if leased := w.lessors[0].Leased(target.Name); leased != 0 {
			t.Fatalf("seed %d: %d slots of %s are still leased after all requests ended", seed, leased, target.Name)
		}
	}
}

// TestLeasesSurviveLostMessages blocks and restores single directions between VMs
// at random. A lessor also counts leases that other lessors granted, so its count
// stays within what all candidates may lease at the same time. After the network
// is restored no slot stays leased and no request waits.
func TestLeasesSurviveLostMessages(t *testing.T) {
	for seed := range uint64(40) {
		w := newLeaseSimulation(seed)
		for range 60 {
			if w.rng.IntN(4) == 0 {
				from, to := w.rng.IntN(leaseVMs), w.rng.IntN(leaseVMs)
				w.blocked[from][to] = from != to && w.rng.IntN(2) == 0
			}
			for vm := range leaseVMs {
				w.startOrEndRequest(vm)
			}
			w.run(1 + w.rng.IntN(40))
			for vm, l := range w.lessors {
				for _, target := range testTargets(3) {
					if l != nil && l.Leased(target.Name) > lessorCandidates*(3+extraPerTarget) {
						t.Fatalf("seed %d: VM %d leases %d of %s", seed, vm, l.Leased(target.Name), target.Name)
					}
				}
			}
		}
		w.settle(t, seed)
	}
}

func TestVMThatReceivesNoRepliesChoosesLocally(t *testing.T) {
	w := newLeaseSimulation(1)
	w.run(300)
	if w.lessees[3].ChoosesLocally() {
		t.Fatal("a VM does not use the lessor")
	}
	for vm := range leaseVMs {
		w.blocked[vm][3] = vm != 3
	}
	w.startOrEndRequest(3)
	w.startOrEndRequest(3)
	w.lessees[3].Request(SlotRequest{ID: 999, Customer: "c", Weight: 1})
	w.run(100)
	if !w.lessees[3].ChoosesLocally() {
		t.Fatal("a VM that receives no replies still waits for the lessor")
	}
	if w.lessees[1].Lessor() != "0" {
		t.Fatal("another VM stopped using the lessor")
	}
}
