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
	// maxCommonNats is the common score, in nats, above which it is subtracted
	// from all targets.
	maxCommonNats = 3.0
)

func exp2(x float64) float64 { return math.Exp2(x) }

// Tick runs periodic work: ages of attempts, common causes, decay of evidence,
// back-off and ramps. Callers call it about every 50 ms.
func (t *Tracker) Tick(now time.Duration) {
	t.detectPause(now)
	t.hasTicked, t.lastTick = true, now
	t.countOldAttempts(now)
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
		t.removeOldAttempt(attempt)
		t.withdraw(now, attempt)
	}
}

// countOldAttempts counts old attempts as evidence before they end. At most as
// many as the target has slots count, since the others wait for these.
func (t *Tracker) countOldAttempts(now time.Duration) {
	if !t.reference.hasEnoughSamples() {
		return
	}
	for _, attempt := range t.oldAttempts(now) {
		entry := attempt.target
		if !attempt.old {
			attempt.old = true
			entry.ownOldAttempts++
			attempt.occupiesSlot = entry.oldAttemptCount() <= max(1, entry.Slots)
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

// oldAttempts returns the old attempts in order of their start.
func (t *Tracker) oldAttempts(now time.Duration) []*Attempt {
	var old []*Attempt
	for attempt := range t.attempts {
		if !attempt.voided && t.reference.bucket(now-attempt.start) >= t.reference.oldBucket {
			old = append(old, attempt)
		}
	}
	slices.SortFunc(old, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.target.index, b.target.index))
	})
	return old
}

// removeOldAttempt removes an attempt from the target's count of old attempts.
func (t *Tracker) removeOldAttempt(attempt *Attempt) {
	if !attempt.old {
		return
	}
	attempt.target.ownOldAttempts--
	if attempt.voided {
		attempt.old = false
	}
}

// unansweredMemory is the time for which an attempt that timed out still counts as
// holding a slot, unless the target answers another one.
const unansweredMemory = 2 * time.Second

// updateUnanswered keeps counting an old attempt that timed out as an old one,
// until a success. During a probation it is not counted, since only trials are
// sent then.
func (e *target) updateUnanswered(now time.Duration, attempt *Attempt, kind Kind) {
	switch {
	case kind == TimedOut && attempt.old && !e.assessment.onProbation:
		e.unanswered++
		e.ownOldAttempts++
		e.unansweredUntil = now + unansweredMemory
	case kind == Succeeded:
		e.clearUnanswered()
	}
}

// clearUnanswered stops counting the attempts that timed out.
func (e *target) clearUnanswered() {
	e.ownOldAttempts -= e.unanswered
	e.unanswered = 0
}

// updatePeer stores the last message of another VM.
func (e *target) updatePeer(vm string, view peerView) {
	previous := e.peers[vm]
	view.outdated = previous.outdated && view.ejected
	e.peerOldAttempts[previous.zone] -= previous.oldAttempts
	e.peerOldAttempts[view.zone] += view.oldAttempts
	e.peers[vm] = view
}

// dropStalePeers drops the messages of VMs that are older than peerMemory.
func (e *target) dropStalePeers(now time.Duration) {
	for vm, view := range e.peers {
		if now-view.receivedAt > peerMemory {
			e.peerOldAttempts[view.zone] -= view.oldAttempts
			delete(e.peers, vm)
		}
	}
}

// oldAttemptCount returns the number of old attempts of all VMs on the target.
func (e *target) oldAttemptCount() int {
	count := e.ownOldAttempts
	for _, old := range e.peerOldAttempts {
		count += old
	}
	return count
}

// countZonesWithOldAttempts returns the number of zones whose VMs have old attempts.
func (e *target) countZonesWithOldAttempts(ownZone int) int {
	count := 0
	for zone, old := range e.peerOldAttempts {
		if old > 0 || zone == ownZone && e.ownOldAttempts > 0 {
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
	if !slices.ContainsFunc(common[:], func(s float64) bool { return s > maxCommonNats }) {
		return
	}
	for i := range common {
		if common[i] <= maxCommonNats {
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
		t.reference.raiseLoad()
	}
	t.addFinding(now, Finding{Decision: "none ejected", Rule: "common cause", Next: "the expected service times and failure rates are learned again"})
}

// mayHaveCommonCause reports whether enough targets have a score above maxCommonNats.
func (t *Tracker) mayHaveCommonCause() bool {
	high := 0
	for _, entry := range t.targets {
		if _, score := entry.tally.all.highest(); score > maxCommonNats {
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
