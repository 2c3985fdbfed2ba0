package roster

import (
	"maps"
	"slices"
	"time"
)

// RepublishGrace is how long a running target may take to publish its entry again
// after the store has become reachable.
const RepublishGrace = 2200 * time.Millisecond

// State says whether a target accepts new requests, as the target itself reports.
type State string

// The states of a target.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Target is one published target.
type Target struct {
	// ID is the instance identifier.
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Zone    string
	// SoftwareVersion is the version of the target's software.
	SoftwareVersion string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	State State
	// WarmUntil is the time, on the clock of the roster's owner, until which the
	// target is slow after its start.
	WarmUntil time.Duration
	// StartedAt is the target's start time as it reports it. It distinguishes two
	// starts under one ID.
	StartedAt time.Time
	// Sequence counts the target's reports since its start; zero when it counts none.
	Sequence uint64
}

// record is a target together with the state of its entry.
type record struct {
	target Target
	// removeAt is the time at which a removal learned after an outage takes effect;
	// zero for none.
	removeAt time.Duration
	// history is the history of the store from which the entry was read.
	history uint64
}

// Roster holds the targets of a deployment. It is not safe for concurrent use.
type Roster struct {
	records map[string]*record
	// dueAt is when the first deferred removal may be due; zero for none.
	dueAt time.Duration
	// reachableAt is the time at which the store became reachable after an outage.
	reachableAt      time.Duration
	storeUnreachable bool
	// history counts how often the store was restored from a copy.
	history uint64
	// left holds the targets whose entries were removed lately, and held those of them
	// that a restored store lists again.
	left map[string]leftTarget
	held map[string]*heldTarget
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		records: make(map[string]*record), left: make(map[string]leftTarget), held: make(map[string]*heldTarget),
		reachableAt: -RepublishGrace,
	}
}

// MarkStoreUnreachable records that the store cannot be reached.
func (r *Roster) MarkStoreUnreachable() { r.storeUnreachable = true }

// MarkStoreReachable records that the store responded.
func (r *Roster) MarkStoreReachable(now time.Duration) {
	if r.storeUnreachable {
		r.storeUnreachable, r.reachableAt = false, now
	}
}

// Update is what Put made of an entry.
type Update int

// The results of Put.
const (
	// Unchanged means that nothing changed that matters to the choice of a target.
	Unchanged Update = iota
	// Changed means that the target was added or replaced.
	Changed
	// Outdated means that the entry comes from a restored copy of the store and is older
	// than what the target has said since; what was known stays.
	Outdated
)

// Put adds or replaces a target.
func (r *Roster) Put(target Target, now time.Duration) Update {
	old, known := r.records[target.ID]
	if known && r.isOutdated(old, target) {
		old.removeAt = 0 // its entry is there, if an older one
		return Outdated
	}
	if r.hold(target, now) {
		return Outdated
	}
	r.records[target.ID] = &record{target: target, history: r.history}
	if !known || old.removeAt != 0 || !sameExceptWarmUntil(old.target, target) {
		return Changed
	}
	return Unchanged
}

// sameExceptWarmUntil reports whether two targets are equal in all fields but
// WarmUntil.
func sameExceptWarmUntil(a, b Target) bool {
	a.WarmUntil, b.WarmUntil = 0, 0
	return a.StartedAt.Equal(b.StartedAt) && a.ID == b.ID && a.Service == b.Service && a.Address == b.Address &&
		a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State && a.SoftwareVersion == b.SoftwareVersion
}

// Remove removes a target whose entry is gone, and reports whether it did. Within
// RepublishGrace after an outage a ready target is kept until the grace has passed.
func (r *Roster) Remove(id string, now time.Duration) bool {
	delete(r.held, id)
	record, known := r.records[id]
	if !known {
		return false
	}
	if graceEnd := r.reachableAt + RepublishGrace; now < graceEnd && record.target.State == StateReady {
		if record.removeAt == 0 {
			record.removeAt = graceEnd
			r.deferredUntil(graceEnd)
		}
		return false
	}
	r.rememberLeft(record.target, now)
	delete(r.records, id)
	return true
}

// RemoveNow removes a target at once, for an entry whose content no longer describes
// a target.
func (r *Roster) RemoveNow(id string) bool {
	delete(r.held, id)
	_, known := r.records[id]
	delete(r.records, id)
	return known
}

// Retain removes the targets that are missing from a complete listing.
func (r *Roster) Retain(listed map[string]bool, now time.Duration) bool {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if !listed[id] && r.Remove(id, now) {
			changed = true
		}
	}
	maps.DeleteFunc(r.held, func(id string, _ *heldTarget) bool { return !listed[id] })
	return changed
}

// Expire carries out what is due: deferred removals, and the return of targets that were
// held. It returns the identifiers of the removed targets and whether any target returned.
func (r *Roster) Expire(now time.Duration) (expired []string, revived bool) {
	if r.dueAt != 0 && now >= r.dueAt {
		expired = r.removeDeferred(now)
	}
	return expired, r.reviveHeld(now)
}

// deferredUntil records that a removal is due at a time.
func (r *Roster) deferredUntil(at time.Duration) {
	if r.dueAt == 0 || at < r.dueAt {
		r.dueAt = at
	}
}

// removeDeferred carries out the deferred removals that are due, and returns the identifiers in order.
func (r *Roster) removeDeferred(now time.Duration) (removed []string) {
	r.dueAt = 0
	for id, record := range r.records {
		switch {
		case record.removeAt == 0:
		case now < record.removeAt:
			r.deferredUntil(record.removeAt)
		default:
			removed = append(removed, id)
			r.rememberLeft(record.target, now)
			delete(r.records, id)
		}
	}
	slices.Sort(removed)
	return removed
}

// Targets returns all targets in order of their identifiers.
func (r *Roster) Targets() []Target {
	targets := make([]Target, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		targets = append(targets, r.records[id].target)
	}
	return targets
}

// Len returns the number of targets.
func (r *Roster) Len() int { return len(r.records) }
