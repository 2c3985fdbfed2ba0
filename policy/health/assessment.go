package health

import "time"

// Shares of a rule's limit at which the weight is reduced or a probation begins,
// and the shares of the limit that other decisions need.
const (
	reducedShare   = 0.35
	probationShare = 0.5
	// probationEndShare ends a probation.
	probationEndShare = 0.42
	// minOtherZonesShare must remain without the zone with the most evidence
	// before a target is ejected; minOtherZonesShareWithResponses is enough when
	// responses or probes rule out a fault of the path.
	minOtherZonesShare              = 0.5
	minOtherZonesShareWithResponses = 0.2
	// minAgreedShare is enough when VMs of two zones have ejected the target.
	minAgreedShare = 0.1
	// returnShare is the share below which a faulty target that the floor kept in
	// service counts as recovered.
	returnShare = 0.2
	// responseLead is by how much, in nats, the evidence of slow responses must
	// exceed that of attempts without one.
	responseLead = 6.0
	// probeBonus is what failing probes in two zones add to other evidence, in nats.
	probeBonus = 2.0
)

// Times of ejection and return.
const (
	firstBackOff = 5 * time.Second
	maxBackOff   = 5 * time.Minute
	// ejectionMemory is the time in service, beyond the last back-off, after
	// which the ejection count starts again at zero.
	ejectionMemory = 10 * time.Minute
	// maxProbation bounds a probation, in case there is no idempotent request to
	// use as a trial, and probationPause is the time before the next one.
	maxProbation   = 10 * time.Second
	probationPause = time.Second
	// noTrialTimeout is the time without any trial after which a target returns
	// if its probes pass.
	noTrialTimeout = time.Minute
	// rampTime is the time over which a target gets back its full share.
	rampTime = 10 * time.Second
	// rampStart is the share at the beginning of a ramp.
	rampStart = 0.1
)

// A target returns to service after minGoodTrials good trials if the score of the
// rule since the trials began is at most maxReturnNats. A score of any rule of
// failedTrialsNats or more starts another, longer back-off.
const (
	minGoodTrials    = 8
	maxReturnNats    = -4.5
	failedTrialsNats = 10.0
	// trialsPerSecond is the rate of trials of one target by the whole fleet.
	trialsPerSecond = 10.0
	// probationTrialsPerSecond is the rate of trials during a probation.
	probationTrialsPerSecond = 20.0
	// failingProbeBackOffFactor multiplies the back-off while probes fail.
	failingProbeBackOffFactor = 3
)

// assessment is what a VM has decided about a target.
type assessment struct {
	state State
	// faulty targets should be out of service; the floor may keep them in.
	faulty bool
	// avoided targets have a faulty path from this VM or its zone.
	avoided bool
	// held is set while overdue attempts occupy all slots of the target.
	held bool
	// workWithheld is set while a held target gets no work, or one on probation
	// only trials; the floor may prevent both.
	workWithheld bool
	reduced      bool
	// onProbation targets take only trials until their evidence is clear.
	onProbation        bool
	probationChangedAt time.Duration
	ejected            bool
	rule               Rule
	// severity orders targets at the floor; it is the score at the time when the
	// target was taken out of service.
	severity     float64
	changedAt    time.Duration
	backOffUntil time.Duration
	ejections    int
	// trialScores sums the evidence since trials began.
	trialScores Scores
	inTrials    bool
	trialsFrom  time.Duration
	nextTrial   time.Duration
	rampFrom    time.Duration
	ramping     bool
}

// outOfService reports whether the target should be out of service. The floor may
// keep it in; ejected reports whether it is out.
func (a *assessment) outOfService() bool { return a.faulty || a.avoided }

// isSuspect reports whether results of the target must be kept out of the
// reference. The evidence that the current attempt itself contributed is left out.
func (a *assessment) isSuspect(entry *target, contributed, limits *Scores) bool {
	const suspectShare = 0.25
	if a.outOfService() || a.ramping {
		return true
	}
	for i, score := range entry.tally.all {
		if score-max(0, contributed[i]) > suspectShare*limits[i] {
			return true
		}
	}
	return false
}

// startRamp starts to raise the target's share of work from rampStart.
func (a *assessment) startRamp(now time.Duration) {
	a.ramping = true
	a.rampFrom = now
}

// evaluate compares a target's scores with the limits.
func (t *Tracker) evaluate(now time.Duration, entry *target) {
	a := &entry.assessment
	if a.inTrials {
		t.evaluateTrials(now, entry)
		return
	}
	if a.outOfService() {
		t.evaluateOutOfService(now, entry)
		return
	}
	rule, share := t.nearestToLimitRelative(entry, pooledScores)
	score := entry.tally.all[rule]
	if share > 0 {
		share += t.failingProbeBonus(entry) / t.limits[rule]
	}
	switch {
	case share >= 1 && entry.tally.scoreWithoutTopZone(rule) >= t.minScoreWithoutTopZone(entry, rule):
		t.markFaulty(now, entry, rule, score)
	case share >= minAgreedShare && peersOfTwoZonesEjected(entry):
		t.markFaulty(now, entry, rule, score)
	default:
		t.evaluatePath(now, entry)
	}
	wasReduced := a.reduced
	a.reduced = share >= reducedShare
	if !a.outOfService() {
		t.updateProbation(now, entry, share)
	}
	if wasReduced != a.reduced {
		t.needsReconcile = true
	}
}

// updateProbation starts or ends the probation of a suspect target. During it,
// only idempotent requests are sent as trials; all others go to other targets.
func (t *Tracker) updateProbation(now time.Duration, entry *target, share float64) {
	a := &entry.assessment
	switch {
	case !a.onProbation && share >= probationShare && now-a.probationChangedAt >= probationPause:
		a.onProbation = true
		a.probationChangedAt = now
		a.nextTrial = now + t.trialWait(entry)
		t.needsReconcile = true
	case a.onProbation && (share < probationEndShare || now-a.probationChangedAt >= maxProbation):
		a.onProbation = false
		a.probationChangedAt = now
		t.needsReconcile = true
	}
}

// minScoreWithoutTopZone returns the score that must remain without the zone that
// has the most evidence. Less is needed when responses arrive, though slow or
// wrong, and when probes from two zones fail, since a path fault does not explain
// these.
func (t *Tracker) minScoreWithoutTopZone(entry *target, rule Rule) float64 {
	if len(t.zones) < 2 {
		return 0
	}
	share := minOtherZonesShare
	if entry.hasResponses(rule) || entry.probesFailInTwoZones(t.zone) {
		share = minOtherZonesShareWithResponses
	}
	return share * t.limits[rule]
}

// hasResponses reports whether the evidence for a rule comes from responses
// rather than from attempts without one.
func (e *target) hasResponses(rule Rule) bool {
	switch rule {
	case RuleWrong:
		return true
	case RuleSlow, RuleVerySlow, RuleSometimesSlow:
		return e.tally.all[rule] > e.tally.all[RuleStalled]+responseLead
	}
	return false
}

// probesFailInTwoZones reports whether the probes of VMs of two zones fail.
func (e *target) probesFailInTwoZones(ownZone int) bool {
	if !e.probeFails {
		return false
	}
	for _, peer := range e.peers {
		if peer.probeFails && peer.zone != ownZone {
			return true
		}
	}
	return false
}

// failingProbeBonus returns what failing probes add to other evidence, in nats.
func (t *Tracker) failingProbeBonus(entry *target) float64 {
	if entry.probesFailInTwoZones(t.zone) {
		return probeBonus
	}
	return 0
}

// peersOfTwoZonesEjected reports whether VMs of two zones have ejected the target.
func peersOfTwoZonesEjected(entry *target) bool {
	first := -1
	for _, peer := range entry.peers {
		if !peer.ejected || peer.outdated {
			continue
		}
		if first >= 0 && peer.zone != first {
			return true
		}
		first = peer.zone
	}
	return false
}

// evaluatePath marks a target as avoided when only this VM or its zone has
// evidence against it.
func (t *Tracker) evaluatePath(now time.Duration, entry *target) {
	zoneRule, zoneShare := t.nearestToLimitRelative(entry, t.zoneScores)
	ownRule, ownShare := t.nearestToLimitRelative(entry, vmScores)
	switch {
	case zoneShare >= 1 && len(t.zones) > 1:
		t.markAvoided(now, entry, zoneRule, entry.tally.zones[t.zone][zoneRule])
	case ownShare >= 1:
		t.markAvoided(now, entry, ownRule, entry.tally.own[ownRule])
	}
}

// markFaulty decides that the target itself is faulty.
func (t *Tracker) markFaulty(now time.Duration, entry *target, rule Rule, score float64) {
	a := &entry.assessment
	a.faulty, a.avoided = true, false
	t.takeOutOfService(now, entry, rule, score)
}

// markAvoided decides that the path to the target is faulty.
func (t *Tracker) markAvoided(now time.Duration, entry *target, rule Rule, score float64) {
	entry.assessment.avoided = true
	t.takeOutOfService(now, entry, rule, score)
}

// takeOutOfService starts the back-off, which grows with each recent ejection.
func (t *Tracker) takeOutOfService(now time.Duration, entry *target, rule Rule, score float64) {
	a := &entry.assessment
	a.rule, a.severity, a.changedAt = rule, score, now
	a.ramping = false
	a.inTrials = false
	a.onProbation = false
	a.ejections++
	t.endExcursions(entry)
	a.backOffUntil = now + backOff(a.ejections)
	t.markChanged(entry)
	t.reconcile(now)
	t.addEjectionFinding(now, entry)
}

// backOff returns the minimum time that a target stays out of service.
func backOff(ejections int) time.Duration {
	wait := firstBackOff
	for i := 1; i < ejections && wait < maxBackOff; i++ {
		wait *= 2
	}
	return min(wait, maxBackOff)
}

// evaluateOutOfService reinstates a faulty target that the floor kept in service
// once its score has fallen, and marks an avoided target as faulty when other
// zones have evidence too.
func (t *Tracker) evaluateOutOfService(now time.Duration, entry *target) {
	a := &entry.assessment
	score := entry.tally.all[a.rule]
	if a.avoided && !a.faulty {
		proven := score >= t.limits[a.rule] && entry.tally.scoreWithoutTopZone(a.rule) >= t.minScoreWithoutTopZone(entry, a.rule)
		if proven || peersOfTwoZonesEjected(entry) {
			t.markFaulty(now, entry, a.rule, score)
		}
		return
	}
	if !a.ejected && score < returnShare*t.limits[a.rule] {
		t.reinstate(now, entry, false)
	}
}

// advance applies the time limits of back-off, trials, probation and ramp.
func (t *Tracker) advance(now time.Duration, entry *target) {
	a := &entry.assessment
	if entry.unanswered > 0 && now >= entry.unansweredUntil {
		entry.clearUnanswered()
		t.queueNews(entry)
	}
	if a.ramping && now-a.rampFrom >= rampTime {
		a.ramping = false
		t.needsReconcile = true
	}
	t.updateHeld(now, entry)
	if a.onProbation {
		t.evaluate(now, entry)
	}
	if a.outOfService() && !a.inTrials && now >= a.backOffUntil {
		t.beginTrials(now, entry)
	}
	if a.inTrials && a.trialScores.isZero() && !entry.probeFails && now-a.trialsFrom >= noTrialTimeout {
		t.reinstate(now, entry, true)
	}
	if !a.outOfService() && a.ejections > 0 && now-a.changedAt > ejectionMemory+backOff(a.ejections) {
		a.ejections = 0
	}
	if entry.leavingUntil != 0 && now >= entry.leavingUntil {
		entry.leavingUntil = 0
		a.startRamp(now)
	}
}

// updateHeld stops new work while overdue attempts occupy every slot and VMs of two
// zones see them. It ends as soon as a slot is free.
func (t *Tracker) updateHeld(now time.Duration, entry *target) {
	a := &entry.assessment
	needed := min(2, len(t.zones))
	held := entry.overdueAttemptCount() >= max(1, entry.Slots) && entry.countZonesWithOverdueAttempts(t.zone) >= needed
	if held != a.held {
		a.held = held
		t.needsReconcile = true
	}
}
