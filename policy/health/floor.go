package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// floorWeight is the share of a convicted target that stays in at the floor.
	floorWeight = 0.3
	// leastReduced is the share of a target just below conviction.
	leastReduced = 0.5
)

// leaving reports whether a target takes no new work because it goes away.
func (e *target) leaving(now time.Duration) bool { return e.Leaving || now < e.leaveEnd }

// reconcile decides afresh which of the targets that should be out are out.
// The worst go first and the floor is counted anew each time, so it holds
// under every order of events. The order is the same on every VM that has the
// same evidence.
func (t *Tracker) reconcile(now time.Duration) {
	available := 0
	wanted := make([]*target, 0, len(t.targets))
	t.probing = t.probing[:0]
	for _, entry := range t.targets {
		entry.verdict.withheld = false
		if entry.counts(now) {
			available += entry.Slots
		}
		if entry.verdict.out() || entry.verdict.held || entry.verdict.tested {
			wanted = append(wanted, entry)
		}
		if entry.verdict.trying || entry.verdict.tested {
			t.probing = append(t.probing, entry)
		}
	}
	slices.SortFunc(wanted, worstFirst)
	for _, entry := range wanted {
		available = t.tryOut(now, entry, available)
	}
	t.fillWeights(now)
}

// tryOut ejects a target if the floor allows, and returns the slots that remain.
func (t *Tracker) tryOut(now time.Duration, entry *target, available int) int {
	v := &entry.verdict
	left := available
	if entry.counts(now) {
		left -= entry.Slots
	}
	allowed := left >= t.config.FloorSlots
	if v.out() && v.ejected != allowed {
		v.ejected = allowed
		t.touch(entry)
		t.noteFloor(now, entry, allowed)
	}
	v.withheld = allowed && (v.held || v.tested)
	if !allowed {
		return available
	}
	return left
}

// counts reports whether a target adds to the healthy capacity when it is in.
func (e *target) counts(now time.Duration) bool {
	return !e.leaving(now) && !e.verdict.ramping
}

// worstFirst orders targets by class, severity in steps, and name.
func worstFirst(a, b *target) int {
	const step = 4.0
	class := func(v *verdict) int {
		switch {
		case v.convicted:
			return 0
		case v.avoided:
			return 1
		}
		return 2
	}
	severity := func(v *verdict) int { return int(v.severity / step) }
	return cmp.Or(
		cmp.Compare(class(&a.verdict), class(&b.verdict)),
		cmp.Compare(severity(&b.verdict), severity(&a.verdict)),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
	)
}

// fillWeights sets each target's share for requests that may run twice and for others.
func (t *Tracker) fillWeights(now time.Duration) {
	once, twice := t.weights[0], t.weights[1]
	for i, entry := range t.targets {
		twice[i] = t.weight(now, entry)
		once[i] = twice[i]
	}
}

// weight sets a target's state and returns its share.
func (t *Tracker) weight(now time.Duration, entry *target) float64 {
	v := &entry.verdict
	switch {
	case entry.leaving(now):
		v.state = Leaving
		return 0
	case v.out() && v.ejected:
		v.state = Ejected
		if !v.convicted {
			v.state = Avoided
		}
		return 0
	case v.out():
		v.state = Probation
		return floorWeight
	case v.withheld && v.held:
		v.state = Held
		return 0
	case v.withheld:
		v.state = Probation
		return 0
	case v.ramping:
		v.state = Ramping
		return t.rampWeight(now, v)
	}
	return t.reducedWeight(entry)
}

func (t *Tracker) rampWeight(now time.Duration, v *verdict) float64 {
	done := float64(now-v.rampFrom) / float64(rampTime)
	return min(1, max(rampStart, done))
}

// reducedWeight lowers the share as the evidence grows.
func (t *Tracker) reducedWeight(entry *target) float64 {
	v := &entry.verdict
	_, part := t.level(&entry.tally.all)
	if part < reducedShare {
		v.state = Healthy
		return 1
	}
	v.state = Reduced
	return max(leastReduced, 1-(part-reducedShare))
}

// Weights returns the shares of the targets in the order of Configure, 0 to 1,
// for requests that may run twice or for others. The slice is the tracker's own.
func (t *Tracker) Weights(idempotent bool) []float64 {
	if idempotent {
		return t.weights[1]
	}
	return t.weights[0]
}

// State returns what this VM makes of a target.
func (t *Tracker) State(index int) State { return t.targets[index].verdict.state }
