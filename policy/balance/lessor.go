package balance

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/admission"
)

const (
	// extraPerTarget is the number of requests that may wait at a target while
	// others wait for a slot. It keeps the slot busy while its return and the next
	// grant are on the network.
	extraPerTarget = 1
	// noExtraDuration is how long a target gets no extra requests after it shed one.
	noExtraDuration = time.Minute
)

// LeaseTerm is how long a VM may be silent before its leases expire.
const LeaseTerm = time.Second

// SlotRequest is one request for a slot, sent by a VM to the lessor.
type SlotRequest struct {
	VM string
	// ID identifies the request among those of its VM; the grant carries it.
	ID       uint64
	Customer string
	// Weight is the customer's weight in the fair queue.
	Weight float64
	Zone   string
	// Idempotent requests may use targets that accept only trials.
	Idempotent bool
	Exclude    []string
	// Deadline is the time at which the request is dropped; zero means never.
	Deadline time.Time
}

// LeaseGrant grants a slot of a target to a slot request.
type LeaseGrant struct {
	VM     string
	ID     uint64
	Target string
}

// Lessor leases the slots of one service's targets. Requests that find no slot
// wait in a queue that is fair between customers. A VM that is silent for
// LeaseTerm loses its leases.
type Lessor struct {
	balancer *Balancer
	queue    *admission.FairQueue[SlotRequest]
	// leases holds the leases of each VM, by VM name.
	leases map[string]*vmLeases
	// opensAt is when all leases of an earlier lessor have expired.
	opensAt time.Time
	// started is the time from which tokens count.
	started time.Time
	// lastRun is when HandleMessage or Expire last ran.
	lastRun time.Time
	pending map[pendingKey]*admission.Entry[SlotRequest]
	// noExtraUntil holds, for each target that shed a request lately, the end of
	// the time without extra requests.
	noExtraUntil map[string]time.Time
	rng          *rand.Rand
}

// vmLeases holds the targets leased to one VM, by request ID.
type vmLeases struct {
	lastReceived time.Time
	targets      map[uint64]string
}

type pendingKey struct {
	vm string
	id uint64
}

// NewLessor returns a lessor that grants nothing until all leases of an earlier
// lessor have expired.
func NewLessor(now time.Time, rng *rand.Rand) *Lessor {
	return &Lessor{
		balancer:     NewBalancer(),
		queue:        admission.NewFairQueue[SlotRequest](),
		leases:       make(map[string]*vmLeases),
		pending:      make(map[pendingKey]*admission.Entry[SlotRequest]),
		noExtraUntil: make(map[string]time.Time),
		opensAt:      now.Add(LeaseTerm),
		lastRun:      now,
		started:      now,
		rng:          rng,
	}
}

// Configure replaces the targets. Each target can be leased as often as it has
// slots, and extraPerTarget times more unless it shed a request lately.
func (l *Lessor) Configure(targets []Target) {
	targets = slices.Clone(targets)
	for i := range targets {
		targets[i].Limit = targets[i].Slots
		targets[i].Extra = extraPerTarget
		if _, shed := l.noExtraUntil[targets[i].Name]; shed {
			targets[i].Extra = 0
		}
	}
	l.balancer.Configure(targets)
}

// SetCondition sets the condition of a target.
func (l *Lessor) SetCondition(name string, condition Condition) {
	l.balancer.SetCondition(name, condition)
}

// Waiting returns the number of requests that wait for a slot.
func (l *Lessor) Waiting() int { return l.queue.Len() }

// Leased returns the number of leases of a target, including extra ones.
func (l *Lessor) Leased(target string) int { return l.balancer.InFlight(target) }

// Shed records that a target shed a request.
func (l *Lessor) Shed(now time.Time, target string) {
	l.noExtraUntil[target] = now.Add(noExtraDuration)
	l.balancer.SetExtra(target, 0)
}

func (l *Lessor) enqueue(request SlotRequest) {
	key := pendingKey{request.VM, request.ID}
	if _, ok := l.pending[key]; ok {
		return
	}
	if _, ok := l.leasesOf(request.VM).targets[request.ID]; ok {
		return
	}
	l.pending[key] = l.queue.Push(request.Customer, request.Weight, request)
}

// cancel removes a waiting request or ends its lease.
func (l *Lessor) cancel(vm string, id uint64) {
	key := pendingKey{vm, id}
	if entry, ok := l.pending[key]; ok {
		l.queue.Remove(entry)
		delete(l.pending, key)
	}
	l.release(l.leases[vm], id)
}

// Expire ends the leases of silent VMs and returns the grants that can be made
// now.
func (l *Lessor) Expire(now time.Time) []LeaseGrant {
	l.detectPause(now)
	for target, until := range l.noExtraUntil {
		if !now.Before(until) {
			delete(l.noExtraUntil, target)
			l.balancer.SetExtra(target, extraPerTarget)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(l.leases)) {
		if now.Sub(l.leases[vm].lastReceived) >= LeaseTerm {
			l.dropVM(vm)
		}
	}
	return l.grantSlots(now)
}

// dropVM ends all leases of a VM.
func (l *Lessor) dropVM(vm string) {
	leases := l.leases[vm]
	for _, id := range slices.Sorted(maps.Keys(leases.targets)) {
		l.release(leases, id)
	}
	delete(l.leases, vm)
}

func (l *Lessor) leasesOf(vm string) *vmLeases {
	leases, ok := l.leases[vm]
	if !ok {
		leases = &vmLeases{targets: make(map[uint64]string)}
		l.leases[vm] = leases
	}
	return leases
}

func (l *Lessor) release(leases *vmLeases, id uint64) {
	if leases == nil {
		return
	}
	if target, ok := leases.targets[id]; ok {
		l.balancer.Return(target)
		delete(leases.targets, id)
	}
}

// grantSlots serves the queue while slots are free. A request that may use none
// of the free slots is skipped until the next call.
func (l *Lessor) grantSlots(now time.Time) []LeaseGrant {
	if now.Before(l.opensAt) {
		return nil
	}
	var grants []LeaseGrant
	var skipped []*admission.Entry[SlotRequest]
	for (l.balancer.HasRoom() || l.balancer.HasExtraRoom()) && len(skipped) < maxSkipped {
		entry, ok := l.queue.Pop()
		if !ok {
			break
		}
		request := entry.Item
		key := pendingKey{request.VM, request.ID}
		delete(l.pending, key)
		if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
			continue
		}
		target, ok := l.balancer.Take(l.rng, request.criteria())
		if !ok {
			skipped = append(skipped, entry)
			continue
		}
		l.leasesOf(request.VM).targets[request.ID] = target
		grants = append(grants, LeaseGrant{VM: request.VM, ID: request.ID, Target: target})
	}
	for _, entry := range skipped {
		l.pending[pendingKey{entry.Item.VM, entry.Item.ID}] = entry
		l.queue.Restore(entry)
	}
	return grants
}

// maxSkipped bounds the requests that grantSlots skips in one call.
const maxSkipped = 8

func (r SlotRequest) criteria() Criteria {
	return Criteria{Zone: r.Zone, Exclude: r.Exclude, Idempotent: r.Idempotent, AllowExtra: true}
}
