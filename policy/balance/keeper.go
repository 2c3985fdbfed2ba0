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
	// others wait for a slot. It fills the time in which a slot's return and
	// the next grant travel.
	extraPerTarget = 1
	// noExtraFor is how long a target that shed gets no extra requests.
	noExtraFor = time.Minute
)

// LeaseTerm is how long a VM may be silent before its leases end.
const LeaseTerm = time.Second

// SlotRequest is one request for a slot, sent by a VM to the keeper.
type SlotRequest struct {
	VM string
	// ID names the request among the VM's own; the grant carries it.
	ID       uint64
	Customer string
	// Weight is the customer's weight in the fair queue.
	Weight float64
	Zone   string
	// Idempotent requests may go to targets under trial.
	Idempotent bool
	Exclude    []string
	// Deadline is the time at which the ask is dropped.
	Deadline time.Time
}

// LeaseGrant gives a slot of a target to an ask.
type LeaseGrant struct {
	VM     string
	ID     uint64
	Target string
}

// Lessor leases the slots of one service's targets. Asks that find no slot
// wait in a fair queue over customers. A VM that is silent for LeaseTerm loses
// its leases.
type Lessor struct {
	slots *Balancer
	queue *admission.FairQueue[SlotRequest]
	// leases holds the targets leased to each VM by the ask's number.
	leases map[string]*holder
	// opensAt is when the leases of an earlier keeper have ended.
	opensAt time.Time
	// started is the origin of the tokens.
	started time.Time
	// ran is when the keeper did something last.
	ran     time.Time
	pending map[pendingKey]*admission.Entry[SlotRequest]
	// noExtra holds until when targets that shed get no extra requests.
	noExtra map[string]time.Time
	rng     *rand.Rand
}

type holder struct {
	heard   time.Time
	targets map[uint64]string
}

type pendingKey struct {
	vm string
	id uint64
}

// NewLessor returns a keeper that grants nothing until the leases of an
// earlier keeper have ended.
func NewLessor(now time.Time, rng *rand.Rand) *Lessor {
	return &Lessor{
		slots:   NewBalancer(),
		queue:   admission.NewFairQueue[SlotRequest](),
		leases:  make(map[string]*holder),
		pending: make(map[pendingKey]*admission.Entry[SlotRequest]),
		noExtra: make(map[string]time.Time),
		opensAt: now.Add(LeaseTerm),
		ran:     now,
		started: now,
		rng:     rng,
	}
}

// Configure replaces the targets; each has as many leases as slots.
func (k *Lessor) Configure(targets []Target) {
	targets = slices.Clone(targets)
	for i := range targets {
		targets[i].Limit = targets[i].Slots
		targets[i].Extra = extraPerTarget
		if _, shed := k.noExtra[targets[i].Name]; shed {
			targets[i].Extra = 0
		}
	}
	k.slots.Configure(targets)
}

// SetCondition changes a target's weight.
func (k *Lessor) SetCondition(name string, condition Condition) {
	k.slots.SetCondition(name, condition)
}

// Waiting returns the number of asks without a slot.
func (k *Lessor) Waiting() int { return k.queue.Len() }

// Leased returns the number of slots of a target that are leased.
func (k *Lessor) Leased(target string) int { return k.slots.InFlight(target) }

// Shed records that a target turned a request away.
func (k *Lessor) Shed(now time.Time, target string) {
	k.noExtra[target] = now.Add(noExtraFor)
	k.slots.SetExtra(target, 0)
}

func (k *Lessor) enqueue(ask SlotRequest) {
	key := pendingKey{ask.VM, ask.ID}
	if _, ok := k.pending[key]; ok {
		return
	}
	if _, ok := k.holder(ask.VM).targets[ask.ID]; ok {
		return
	}
	k.pending[key] = k.queue.Push(ask.Customer, ask.Weight, ask)
}

func (k *Lessor) end(vm string, id uint64) {
	key := pendingKey{vm, id}
	if entry, ok := k.pending[key]; ok {
		k.queue.Remove(entry)
		delete(k.pending, key)
	}
	k.release(k.leases[vm], id)
}

// Expire ends the leases of silent VMs and returns the grants that can be made.
func (k *Lessor) Expire(now time.Time) []LeaseGrant {
	k.noticePause(now)
	for target, until := range k.noExtra {
		if !now.Before(until) {
			delete(k.noExtra, target)
			k.slots.SetExtra(target, extraPerTarget)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(k.leases)) {
		if now.Sub(k.leases[vm].heard) >= LeaseTerm {
			k.drop(vm)
		}
	}
	return k.grant(now)
}

// drop ends all leases of a VM.
func (k *Lessor) drop(vm string) {
	h := k.leases[vm]
	for _, id := range slices.Sorted(maps.Keys(h.targets)) {
		k.release(h, id)
	}
	delete(k.leases, vm)
}

func (k *Lessor) holder(vm string) *holder {
	h, ok := k.leases[vm]
	if !ok {
		h = &holder{targets: make(map[uint64]string)}
		k.leases[vm] = h
	}
	return h
}

func (k *Lessor) release(h *holder, id uint64) {
	if h == nil {
		return
	}
	if target, ok := h.targets[id]; ok {
		k.slots.Return(target)
		delete(h.targets, id)
	}
}

// grant serves the queue while slots are free. An ask whose own exclusions
// leave it no free slot is passed over until the next call.
func (k *Lessor) grant(now time.Time) []LeaseGrant {
	if now.Before(k.opensAt) {
		return nil
	}
	var grants []LeaseGrant
	var passed []*admission.Entry[SlotRequest]
	for (k.slots.HasRoom() || k.slots.HasExtraRoom()) && len(passed) < maxPassed {
		entry, ok := k.queue.Pop()
		if !ok {
			break
		}
		ask := entry.Item
		key := pendingKey{ask.VM, ask.ID}
		delete(k.pending, key)
		if !ask.Deadline.IsZero() && !now.Before(ask.Deadline) {
			continue
		}
		target, ok := k.slots.Take(k.rng, ask.want())
		if !ok {
			passed = append(passed, entry)
			continue
		}
		k.holder(ask.VM).targets[ask.ID] = target
		grants = append(grants, LeaseGrant{VM: ask.VM, ID: ask.ID, Target: target})
	}
	for _, entry := range passed {
		k.pending[pendingKey{entry.Item.VM, entry.Item.ID}] = entry
		k.queue.Restore(entry)
	}
	return grants
}

// maxPassed bounds the asks passed over in one call.
const maxPassed = 8

func (a SlotRequest) want() Criteria {
	return Criteria{Zone: a.Zone, Exclude: a.Exclude, Idempotent: a.Idempotent, AllowExtra: true}
}
