package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minPauseGap is the time between two ticks above which the VM itself is
	// assumed to have paused; attempts in progress then are no evidence.
	minPauseGap = 400 * time.Millisecond
	// peerMemory is the time for which another VM's last message counts.
	peerMemory = 3 * time.Second
	// commonQuantile is the quantile of the targets' scores that counts as
	// common to all.
	commonQuantile = 0.4
	// minCommonNats is the common score, in nats, above which it is subtracted
	// from all targets.
	minCommonNats = 3.0
)

func exp2(x float64) float64 { return math.Exp2(x) }

// Tick runs periodic work: ages of attempts, common causes, decay of evidence,
// back-off and ramps. Callers call it about every 50 ms.
func (t *Tracker) Tick(now time.Duration) {
	t.detectPause(now)
	t.hasTicked, t.lastTick = true, now
	t.countOverdueAttempts(now)
	t.removeCommonEvidence(now)
	if now-t.lastDecay >= decayInterval {
		t.lastDecay = now
		t.decayEvidence(now)
	}
	for _, entry := range t.targets {
		t.advance(now, entry)
	}
	t.reconcile(now)
}

// detectPause voids the attempts in progress if the VM itself has paused.
func (t *Tracker) detectPause(now time.Duration) {
	if t.hasTicked && now-t.lastTick > minPauseGap {
		t.lastTick = now
		t.voidAttempts(now)
	}
}

// voidAttempts withdraws the evidence of attempts that were in progress while the
// VM itself paused.
func (t *Tracker) voidAttempts(now time.Duration) {
	for attempt := range t.attempts {
		attempt.voided = true
		t.removeOverdueAttempt(attempt)
		t.withdraw(now, attempt)
	}
}

// countOverdueAttempts counts overdue attempts as evidence before they end. At most as
// many as the target has slots count, since the others wait for these.
func (t *Tracker) countOverdueAttempts(now time.Duration) {
	if !t.reference.hasEnoughSamples() {
		return
	}
	for _, attempt := range t.overdueAttempts(now) {
		entry := attempt.target
		if !attempt.overdue {
			attempt.overdue = true
			entry.ownOverdueAttempts++
			attempt.occupiesSlot = entry.overdueAttemptCount() <= max(1, entry.Slots)
			t.queueNews(entry)
		}
		if !attempt.occupiesSlot {
			continue
		}
		total := attempt.contributed
		evidence := &t.reference.runningEvidence[t.reference.bucket(now-attempt.start)]
		for _, h := range hypotheses {
			total[h.rule] = evidence[h.rule]
		}
		entry.dropSlownessWhileRamping(&total)
		t.contribute(now, attempt, &total)
	}
}

// overdueAttempts returns the overdue attempts in order of their start.
func (t *Tracker) overdueAttempts(now time.Duration) []*Attempt {
	var overdue []*Attempt
	for attempt := range t.attempts {
		if !attempt.voided && t.reference.bucket(now-attempt.start) >= t.reference.overdueBucket {
			overdue = append(overdue, attempt)
		}
	}
	slices.SortFunc(overdue, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.target.index, b.target.index))
	})
	return overdue
}

// removeOverdueAttempt removes an attempt from the target's count of overdue attempts.
func (t *Tracker) removeOverdueAttempt(attempt *Attempt) {
	if !attempt.overdue {
		return
	}
	attempt.target.ownOverdueAttempts--
	if attempt.voided {
		attempt.overdue = false
	}
}

// unansweredMemory is the time for which an attempt that timed out still counts as
// holding a slot, unless the target answers another one.
const unansweredMemory = 2 * time.Second

// updateUnanswered keeps counting an overdue attempt that timed out as an overdue
// one, until a success. During a probation it is not counted, since only trials are
// sent then.
func (e *target) updateUnanswered(now time.Duration, attempt *Attempt, kind Kind) {
	switch {
	case kind == TimedOut && attempt.overdue && !e.assessment.onProbation:
		e.unanswered++
		e.ownOverdueAttempts++
		e.unansweredUntil = now + unansweredMemory
	case kind == Succeeded:
		e.clearUnanswered()
	}
}

// clearUnanswered stops counting the attempts that timed out.
func (e *target) clearUnanswered() {
	e.ownOverdueAttempts -= e.unanswered
	e.unanswered = 0
}

// updatePeer stores the last message of another VM.
func (e *target) updatePeer(vm string, view peerView) {
	previous := e.peers[vm]
	view.outdated = previous.outdated && view.ejected
	e.peerOverdueAttempts[previous.zone] -= previous.overdueAttempts
	e.peerOverdueAttempts[view.zone] += view.overdueAttempts
	e.peers[vm] = view
}

// dropStalePeers drops the messages of VMs that are older than peerMemory.
func (e *target) dropStalePeers(now time.Duration) {
	for vm, view := range e.peers {
		if now-view.receivedAt > peerMemory {
			e.peerOverdueAttempts[view.zone] -= view.overdueAttempts
			delete(e.peers, vm)
		}
	}
}

// overdueAttemptCount returns the number of overdue attempts of all VMs on the target.
func (e *target) overdueAttemptCount() int {
	count := e.ownOverdueAttempts
	for _, overdue := range e.peerOverdueAttempts {
		count += overdue
	}
	return count
}

// countZonesWithOverdueAttempts returns the number of zones whose VMs have overdue attempts.
func (e *target) countZonesWithOverdueAttempts(ownZone int) int {
	count := 0
	for zone, overdue := range e.peerOverdueAttempts {
		if overdue > 0 || zone == ownZone && e.ownOverdueAttempts > 0 {
			count++
		}
	}
	return count
}

// removeCommonEvidence subtracts the evidence that most targets share, such as
// that of overload or of requests that fail on every target.
func (t *Tracker) removeCommonEvidence(now time.Duration) {
	if !t.mayHaveCommonCause() {
		return
	}
	common := t.commonScores()
	if !slices.ContainsFunc(common[:], func(s float64) bool { return s > minCommonNats }) {
		return
	}
	for i := range common {
		if common[i] <= minCommonNats {
			common[i] = 0
		}
	}
	for _, entry := range t.targets {
		if !entry.assessment.faulty {
			entry.tally.subtract(&common)
		}
	}
	if common[RuleFailing] > 0 {
		t.failures.raise()
	}
	if common[RuleWrong] > 0 {
		t.wrongResponses.raise()
	}
	if common[RuleSlow]+common[RuleVerySlow]+common[RuleStalled]+common[RuleSometimesSlow] > 0 {
		t.reference.raiseCommonFactor()
	}
	t.addFinding(now, Finding{Decision: "none ejected", Rule: "common cause", Next: "the expected service times and failure rates are learned again"})
}

// mayHaveCommonCause reports whether enough targets have a score above minCommonNats.
func (t *Tracker) mayHaveCommonCause() bool {
	high := 0
	for _, entry := range t.targets {
		if _, score := entry.tally.all.highest(); score > minCommonNats {
			high++
		}
	}
	return float64(high) >= (1-commonQuantile)*float64(len(t.targets))
}

// commonScores returns the commonQuantile of the targets' scores for each rule.
func (t *Tracker) commonScores() Scores {
	var common Scores
	scores := make([]float64, 0, len(t.targets))
	for rule := range common {
		scores = scores[:0]
		for _, entry := range t.targets {
			scores = append(scores, entry.tally.all[rule])
		}
		if len(scores) < 2 {
			continue
		}
		slices.Sort(scores)
		common[rule] = scores[int(commonQuantile*float64(len(scores)))]
	}
	return common
}

// decayEvidence reduces the weight of old evidence, drops stale messages of other
// VMs and rebuilds the reference after news of service times.
func (t *Tracker) decayEvidence(now time.Duration) {
	for _, entry := range t.targets {
		entry.dropStalePeers(now)
		if !entry.assessment.outOfService() {
			entry.tally.decay(decayFactor)
		}
	}
	if t.referenceStale {
		t.referenceStale = false
		t.reference.rebuild()
		t.updateThreshold()
	}
}
