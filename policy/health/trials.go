package health

import "time"

// beginTrials starts trials with idempotent requests after a target's back-off.
// Failing probes delay it.
func (t *Tracker) beginTrials(now time.Duration, entry *target) {
	a := &entry.assessment
	if entry.probeFails && now-a.changedAt < failingProbeBackOffFactor*(a.backOffUntil-a.changedAt) {
		return
	}
	a.inTrials = true
	a.trialsFrom = now
	a.trialScores = Scores{}
	entry.goodTrials = 0
	a.nextTrial = now + t.trialWait(entry)
}

// needsTrial reports whether a trial would give evidence. In trials after an
// ejection none is sent while the target has overdue attempts.
func (e *target) needsTrial() bool {
	a := &e.assessment
	if a.inTrials {
		return e.overdueAttemptCount() == 0
	}
	if !a.onProbation || !a.workWithheld {
		return false
	}
	allowed := e.Slots
	if rule, _ := e.tally.all.highest(); rule == RuleStalled {
		allowed = 1
	}
	return e.overdueAttemptCount() < allowed
}

// trialWait returns a random wait that spreads the fleet's trials over its VMs.
// The rate after an ejection starts low and grows with each good trial.
func (t *Tracker) trialWait(entry *target) time.Duration {
	rate := min(trialsPerSecond, 1+float64(entry.goodTrials))
	if entry.assessment.onProbation {
		rate = probationTrialsPerSecond
	}
	mean := float64(max(1, t.config.VMs)) / rate
	return time.Duration(t.config.Random.ExpFloat64() * mean * float64(time.Second))
}

// NextTrial returns a target that is due for a trial by an idempotent request, and
// schedules the one after it. This VM has at most one trial per target in progress.
func (t *Tracker) NextTrial(now time.Duration) (index int, ok bool) {
	for _, entry := range t.trialCandidates {
		a := &entry.assessment
		due := entry.needsTrial() && now >= a.nextTrial && entry.attemptsInProgress == 0 && !entry.isLeaving(now)
		if due {
			a.nextTrial = now + t.trialWait(entry)
			return entry.index, true
		}
	}
	return 0, false
}

// recordTrial records the result of a trial of this VM.
func (t *Tracker) recordTrial(now time.Duration, entry *target, good bool) {
	if !entry.assessment.inTrials {
		return
	}
	if good {
		entry.goodTrials++
		entry.unsentTrials++
		t.markChanged(entry)
	}
	t.evaluateTrials(now, entry)
}

// evaluateTrials ends the trials once their evidence is clear.
func (t *Tracker) evaluateTrials(now time.Duration, entry *target) {
	a := &entry.assessment
	_, worst := a.trialScores.highest()
	switch {
	case worst >= failedTrialsNats:
		a.severity = max(a.severity, worst)
		t.takeOutOfService(now, entry, a.rule, a.severity)
	case a.trialScores[a.rule] <= maxReturnNats && entry.goodTrials >= minGoodTrials:
		t.reinstate(now, entry, true)
		entry.returned = true
	}
}

// markPeerEjectionsOutdated marks the ejections that other VMs have decided so far as
// outdated.
func (e *target) markPeerEjectionsOutdated() {
	for vm, view := range e.peers {
		view.outdated = view.ejected
		e.peers[vm] = view
	}
}

// reinstate returns a target to service, with a ramp if it got no work before.
func (t *Tracker) reinstate(now time.Duration, entry *target, ramp bool) {
	a := &entry.assessment
	a.faulty, a.avoided, a.inTrials, a.ejected = false, false, false, false
	a.changedAt = now
	entry.tally.reset()
	entry.markPeerEjectionsOutdated()
	t.markChanged(entry)
	if ramp {
		a.startRamp(now)
		// A target that has returned is ejected again on less evidence.
		var start Scores
		start[a.rule] = reducedShare * t.limits[a.rule]
		entry.tally.forEach(func(s *Scores) { *s = start })
	}
	t.reconcile(now)
	t.addFinding(now, Finding{Target: entry.Name, Decision: "reinstated", Rule: a.rule.String(),
		Evidence: []string{"good trials of all VMs"}, Next: "full share after the ramp"})
}
