package roster

import (
	"maps"
	"time"
)

const (
	// RevivalHold is how long a target whose entry was removed stays removed although a
	// store that was restored from a copy lists it again. It is longer than an entry
	// lives after its target has ended, so an entry that outlives it has a live target.
	RevivalHold = 8 * time.Second
	// leftMemory is how long a removed target is remembered; copies of the store are
	// some seconds old.
	leftMemory = time.Minute
)

// leftTarget is the last report of a target whose entry was removed.
type leftTarget struct {
	target  Target
	history uint64
	leftAt  time.Duration
}

// heldTarget is a target that left and is listed again by a restored store.
type heldTarget struct {
	record *record
	until  time.Duration
}

// precedes reports whether a report of a target was made before another one of the same
// identifier, or is the same; reports without a start or a count have no order.
func (t Target) precedes(other Target) bool {
	if !t.StartedAt.Equal(other.StartedAt) {
		return !t.StartedAt.IsZero() && t.StartedAt.Before(other.StartedAt)
	}
	return t.Sequence > 0 && t.Sequence <= other.Sequence
}

// MarkStoreRestored records that the store has come back from a copy. What it says of a
// target may be older than what is known, and entries may be missing until their targets
// have published them again.
func (r *Roster) MarkStoreRestored(now time.Duration) {
	r.history++
	r.reachableAt = now
}

// isOutdated reports whether a restored store returned an older report of a known target
// than it had returned before it was restored.
func (r *Roster) isOutdated(known *record, target Target) bool {
	return known.history != r.history && target.precedes(known.target) && !sameExceptWarmUntil(known.target, target)
}

// hold keeps a target out of the roster that had left before the store was restored, and
// reports whether it did.
func (r *Roster) hold(target Target, now time.Duration) bool {
	left, ok := r.left[target.ID]
	if !ok || left.history == r.history || !target.precedes(left.target) {
		delete(r.held, target.ID)
		return false
	}
	if _, ok := r.held[target.ID]; !ok {
		r.held[target.ID] = &heldTarget{record: &record{target: target, history: r.history}, until: now + RevivalHold}
	}
	return true
}

// rememberLeft remembers the last report of a target that is removed.
func (r *Roster) rememberLeft(target Target, now time.Duration) {
	r.left[target.ID] = leftTarget{target: target, history: r.history, leftAt: now}
}

// reviveHeld adds the held targets whose entries have outlived RevivalHold, unless they
// had announced that they leave, and reports whether it added one.
func (r *Roster) reviveHeld(now time.Duration) bool {
	revived := false
	for id, held := range r.held {
		if now < held.until || r.left[id].target.State == StateDraining {
			continue
		}
		r.records[id] = held.record
		delete(r.held, id)
		delete(r.left, id)
		revived = true
	}
	maps.DeleteFunc(r.left, func(id string, left leftTarget) bool {
		_, isHeld := r.held[id]
		return !isHeld && now-left.leftAt >= leftMemory
	})
	return revived
}
