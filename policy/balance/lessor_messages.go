package balance

import (
	"maps"
	"slices"
	"time"
)

// HandleMessage applies a VM's message and returns the grants that can be made
// now, to any VM. A message is applied only when its echo proves that the VM
// receives the lessor's replies; otherwise the VM would hold slots that it does
// not know of.
func (l *Lessor) HandleMessage(now time.Time, from string, message LeaseMessage) (grants []LeaseGrant, applied bool) {
	l.detectPause(now)
	if !l.renewLeases(now, from, message.Echo) {
		return nil, false
	}
	for _, held := range message.Held {
		l.adopt(from, held)
	}
	for _, target := range message.Shed {
		l.Shed(now, target)
	}
	for _, id := range message.Returns {
		l.cancel(from, id)
	}
	for _, request := range message.Requests {
		request.VM = from
		l.enqueue(request)
	}
	if message.Full {
		grants = l.reconcile(from, message)
	}
	return append(grants, l.grantSlots(now)...), true
}

// reconcile removes the requests and leases that a VM's full message no longer
// lists, and returns again the grants that did not reach the VM.
func (l *Lessor) reconcile(vm string, message LeaseMessage) []LeaseGrant {
	requested := make(map[uint64]bool, len(message.Requests))
	for _, request := range message.Requests {
		requested[request.ID] = true
	}
	held := make(map[uint64]bool, len(message.Held))
	for _, lease := range message.Held {
		held[lease.ID] = true
	}
	var grants []LeaseGrant
	leases := l.leasesOf(vm)
	for _, id := range slices.Sorted(maps.Keys(leases.targets)) {
		switch {
		case requested[id]:
			grants = append(grants, LeaseGrant{VM: vm, ID: id, Target: leases.targets[id]})
		case !held[id]:
			l.release(leases, id)
		}
	}
	for key := range l.pending {
		if key.vm == vm && !requested[key.id] {
			l.cancel(vm, key.id)
		}
	}
	return grants
}

// Token returns the token of replies made now: the nanoseconds since the lessor
// started, plus one, because zero means no token.
func (l *Lessor) Token(now time.Time) uint64 { return uint64(now.Sub(l.started)) + 1 }

// renewLeases renews a VM's leases as of the reply that the VM echoes. It reports
// whether that reply was made less than LeaseTerm ago.
func (l *Lessor) renewLeases(now time.Time, vm string, echo uint64) bool {
	echoed := l.started.Add(time.Duration(echo) - 1)
	if echo == 0 || echo > l.Token(now) || now.Sub(echoed) >= LeaseTerm {
		return false
	}
	leases := l.leasesOf(vm)
	if echoed.After(leases.lastReceived) {
		leases.lastReceived = echoed
	}
	return true
}

// adopt records a slot that a VM took by itself or leased from an earlier lessor.
func (l *Lessor) adopt(vm string, held HeldLease) {
	leases := l.leasesOf(vm)
	if _, ok := leases.targets[held.ID]; ok {
		return
	}
	l.cancel(vm, held.ID)
	leases.targets[held.ID] = held.Target
	l.balancer.TakeNamed(held.Target)
}

// detectPause ends all leases and waits for LeaseTerm again when this process did
// not run for so long that other VMs may have selected another lessor.
func (l *Lessor) detectPause(now time.Time) {
	if now.Sub(l.lastRun) >= LeaseTerm/2 {
		l.opensAt = now.Add(LeaseTerm)
		for _, vm := range slices.Sorted(maps.Keys(l.leases)) {
			l.dropVM(vm)
		}
	}
	l.lastRun = now
}

// Open reports whether the lessor grants slots: all leases of an earlier lessor
// have expired.
func (l *Lessor) Open(now time.Time) bool { return !now.Before(l.opensAt) }

// BusyShare returns the fraction of the usable slots that is leased. It may
// exceed one when VMs took slots by themselves.
func (l *Lessor) BusyShare() float64 { return l.balancer.busyShare() }
