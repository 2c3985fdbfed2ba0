package balance

import (
	"maps"
	"slices"
	"time"
)

// HandleMessage applies a VM's message and returns the grants that can be made now,
// to any VM. A message is applied only when its echo proves that the VM hears
// the keeper, since it would hold slots that it does not know of.
func (k *Lessor) HandleMessage(now time.Time, from string, message LeaseMessage) (grants []LeaseGrant, applied bool) {
	k.noticePause(now)
	if !k.hears(now, from, message.Echo) {
		return nil, false
	}
	for _, held := range message.Held {
		k.adopt(from, held)
	}
	for _, target := range message.Shed {
		k.Shed(now, target)
	}
	for _, id := range message.Returns {
		k.end(from, id)
	}
	for _, ask := range message.Requests {
		ask.VM = from
		k.enqueue(ask)
	}
	if message.Full {
		grants = k.reconcile(from, message)
	}
	return append(grants, k.grant(now)...), true
}

// reconcile drops what a VM no longer waits for or holds, and repeats grants
// that did not reach it.
func (k *Lessor) reconcile(vm string, message LeaseMessage) []LeaseGrant {
	asked := make(map[uint64]bool, len(message.Requests))
	for _, ask := range message.Requests {
		asked[ask.ID] = true
	}
	held := make(map[uint64]bool, len(message.Held))
	for _, lease := range message.Held {
		held[lease.ID] = true
	}
	var grants []LeaseGrant
	h := k.holder(vm)
	for _, id := range slices.Sorted(maps.Keys(h.targets)) {
		switch {
		case asked[id]:
			grants = append(grants, LeaseGrant{VM: vm, ID: id, Target: h.targets[id]})
		case !held[id]:
			k.release(h, id)
		}
	}
	for key := range k.pending {
		if key.vm == vm && !asked[key.id] {
			k.end(vm, key.id)
		}
	}
	return grants
}

// Token returns what the replies made now carry.
func (k *Lessor) Token(now time.Time) uint64 { return uint64(now.Sub(k.started)) + 1 }

// hears renews a VM's leases as of the reply that it echoes, and reports
// whether that is recent.
func (k *Lessor) hears(now time.Time, vm string, echo uint64) bool {
	echoed := k.started.Add(time.Duration(echo) - 1)
	if echo == 0 || echo > k.Token(now) || now.Sub(echoed) >= LeaseTerm {
		return false
	}
	h := k.holder(vm)
	if echoed.After(h.heard) {
		h.heard = echoed
	}
	return true
}

// adopt records a lease that a VM took by itself or from an earlier keeper.
func (k *Lessor) adopt(vm string, held HeldLease) {
	h := k.holder(vm)
	if _, ok := h.targets[held.ID]; ok {
		return
	}
	k.end(vm, held.ID)
	h.targets[held.ID] = held.Target
	k.slots.TakeNamed(held.Target)
}

// noticePause starts over when this process did not run for so long that other
// VMs may have turned to another keeper.
func (k *Lessor) noticePause(now time.Time) {
	if now.Sub(k.ran) >= LeaseTerm/2 {
		k.opensAt = now.Add(LeaseTerm)
		for _, vm := range slices.Sorted(maps.Keys(k.leases)) {
			k.drop(vm)
		}
	}
	k.ran = now
}

// Open reports whether the leases of an earlier keeper have ended.
func (k *Lessor) Open(now time.Time) bool { return !now.Before(k.opensAt) }

// BusyShare returns the part of the usable slots that is leased, above one when
// VMs took slots by themselves.
func (k *Lessor) BusyShare() float64 { return k.slots.busy() }
