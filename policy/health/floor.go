package health

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// floorWeight is the weight of a faulty or avoided target that the floor
	// keeps in service.
	floorWeight = 0.3
	// minReducedWeight is the minimum weight of a reduced target.
	minReducedWeight = 0.5
)

// isLeaving reports whether a target takes no new work because it drains.
func (e *target) isLeaving(now time.Duration) bool { return e.Leaving || now < e.leavingUntil }

// reconcile decides again which of the targets that should be out of service are
// ejected. It starts with the worst and counts the slots from scratch, so the
// floor holds under any order of events. VMs with the same evidence use the same
// order.
func (t *Tracker) reconcile(now time.Duration) {
	available := 0
	candidates := make([]*target, 0, len(t.targets))
	t.trialCandidates = t.trialCandidates[:0]
	for _, entry := range t.targets {
		entry.assessment.workWithheld = false
		if entry.countsTowardFloor(now) {
			available += entry.Slots
		}
		if entry.assessment.outOfService() || entry.assessment.held || entry.assessment.onProbation {
			candidates = append(candidates, entry)
		}
		if entry.assessment.inTrials || entry.assessment.onProbation {
			t.trialCandidates = append(t.trialCandidates, entry)
		}
	}
	slices.SortFunc(candidates, worstFirst)
	for _, entry := range candidates {
		available = t.ejectIfAllowed(now, entry, available)
	}
	t.updateWeights(now)
}

// ejectIfAllowed ejects a target, or withholds work from it, if the floor allows,
// and returns the slots that remain.
func (t *Tracker) ejectIfAllowed(now time.Duration, entry *target, available int) int {
	a := &entry.assessment
	remaining := available
	if entry.countsTowardFloor(now) {
		remaining -= entry.Slots
	}
	allowed := remaining >= t.config.FloorSlots
	if a.outOfService() && a.ejected != allowed {
		a.ejected = allowed
		t.markChanged(entry)
		t.addFloorFinding(now, entry, allowed)
	}
	a.workWithheld = allowed && (a.held || a.onProbation)
	if !allowed {
		return available
	}
	return remaining
}

// countsTowardFloor reports whether a target in service counts as healthy capacity.
func (e *target) countsTowardFloor(now time.Duration) bool {
	return !e.isLeaving(now) && !e.assessment.ramping
}

// worstFirst orders targets by class, severity in steps, and hash of the name.
func worstFirst(a, b *target) int {
	const step = 4.0
	class := func(v *assessment) int {
		switch {
		case v.faulty:
			return 0
		case v.avoided:
			return 1
		}
		return 2
	}
	severity := func(v *assessment) int { return int(v.severity / step) }
	return cmp.Or(
		cmp.Compare(class(&a.assessment), class(&b.assessment)),
		cmp.Compare(severity(&b.assessment), severity(&a.assessment)),
		cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
	)
}

// updateWeights sets each target's weight, which is the same for idempotent and for
// other requests.
func (t *Tracker) updateWeights(now time.Duration) {
	ordinary, idempotent := t.weights[0], t.weights[1]
	for i, entry := range t.targets {
		idempotent[i] = t.updateState(now, entry)
		ordinary[i] = idempotent[i]
	}
}

// updateState sets a target's state and returns its weight.
func (t *Tracker) updateState(now time.Duration, entry *target) float64 {
	a := &entry.assessment
	switch {
	case entry.isLeaving(now):
		a.state = Leaving
		return 0
	case a.outOfService() && a.ejected:
		a.state = Ejected
		if !a.faulty {
			a.state = Avoided
		}
		return 0
	case a.outOfService():
		a.state = Probation
		return floorWeight
	case a.workWithheld && a.held:
		a.state = Held
		return 0
	case a.workWithheld:
		a.state = Probation
		return 0
	case a.ramping:
		a.state = Ramping
		return t.rampWeight(now, a)
	}
	return t.updateReduced(entry)
}

func (t *Tracker) rampWeight(now time.Duration, a *assessment) float64 {
	done := float64(now-a.rampFrom) / float64(rampTime)
	return min(1, max(rampStart, done))
}

// updateReduced sets the state Healthy or Reduced and returns the weight, which
// falls as the evidence grows.
func (t *Tracker) updateReduced(entry *target) float64 {
	a := &entry.assessment
	_, share := t.nearestToLimit(&entry.tally.all)
	if share < reducedShare {
		a.state = Healthy
		return 1
	}
	a.state = Reduced
	return max(minReducedWeight, 1-(share-reducedShare))
}

// Weights returns the weights of the targets, 0 to 1, in the order of Configure.
// They are the same for idempotent and for other requests, in two slices that the
// tracker overwrites later.
func (t *Tracker) Weights(idempotent bool) []float64 {
	if idempotent {
		return t.weights[1]
	}
	return t.weights[0]
}

// State returns this VM's state of a target.
func (t *Tracker) State(index int) State { return t.targets[index].assessment.state }
