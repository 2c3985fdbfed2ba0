package health

import "time"

// beginTrials lets requests that may run twice test a target after its
// back-off; failing probes put it off.
func (t *Tracker) beginTrials(now time.Duration, entry *target) {
	v := &entry.verdict
	if entry.probeBad && now-v.since < probeDistrust*(v.until-v.since) {
		return
	}
	v.trying = true
	v.triedFrom = now
	v.tried = Scores{}
	entry.trialOK = 0
	v.nextTrial = now + t.trialWait(entry)
}

// wantsTrial reports whether a trial would tell something. After an ejection
// none is sent while another one has grown old.
func (e *target) wantsTrial() bool {
	v := &e.verdict
	if v.trying {
		return e.oldCount() == 0
	}
	if !v.tested || !v.withheld {
		return false
	}
	allowed := e.Slots
	if rule, _ := e.tally.all.strongest(); rule == RuleStalled {
		allowed = 1
	}
	return e.oldCount() < allowed
}

// trialWait spreads the fleet's trials over its VMs.
// Those after an ejection begin slowly and follow their successes.
func (t *Tracker) trialWait(entry *target) time.Duration {
	rate := min(trialsPerSecond, 1+float64(entry.trialOK))
	if entry.verdict.tested {
		rate = testsPerSecond
	}
	mean := float64(max(1, t.config.VMs)) / rate
	return time.Duration(t.config.Random.ExpFloat64() * mean * float64(time.Second))
}

// NextTrial returns a target that is due for a trial by a request that may run
// twice. One trial of this VM is in progress at a time for each target.
func (t *Tracker) NextTrial(now time.Duration) (index int, ok bool) {
	for _, entry := range t.probing {
		v := &entry.verdict
		due := entry.wantsTrial() && now >= v.nextTrial && entry.inFlight == 0 && !entry.leaving(now)
		if due {
			v.nextTrial = now + t.trialWait(entry)
			return entry.index, true
		}
	}
	return 0, false
}

// trialEnded counts a trial of this VM.
func (t *Tracker) trialEnded(now time.Duration, entry *target, good bool) {
	if !entry.verdict.trying {
		return
	}
	if good {
		entry.trialOK++
		entry.trialsUntold++
		t.touch(entry)
	}
	t.judgeTrials(now, entry)
}

// judgeTrials ends the trials once their evidence is clear.
func (t *Tracker) judgeTrials(now time.Duration, entry *target) {
	v := &entry.verdict
	_, worst := v.tried.strongest()
	switch {
	case worst >= trialsFailed:
		v.severity = max(v.severity, worst)
		t.putOut(now, entry, v.rule, v.severity)
	case v.tried[v.rule] <= trialsCleared && entry.trialOK >= trialsNeeded:
		t.reinstate(now, entry, true)
		entry.returned = true
	}
}

// outdatePeers makes what others decided before count no longer.
func (e *target) outdatePeers() {
	for vm, view := range e.peers {
		view.outdated = view.ejected
		e.peers[vm] = view
	}
}

// reinstate returns a target to service; one that was out returns by a ramp.
func (t *Tracker) reinstate(now time.Duration, entry *target, ramp bool) {
	v := &entry.verdict
	v.convicted, v.avoided, v.trying, v.ejected = false, false, false, false
	v.since = now
	entry.tally.reset()
	entry.outdatePeers()
	t.touch(entry)
	if ramp {
		v.ramp(now)
		// A target that came back is convicted again on less evidence.
		var start Scores
		start[v.rule] = reducedShare * t.limits[v.rule]
		entry.tally.each(func(s *Scores) { *s = start })
	}
	t.reconcile(now)
	t.note(now, Finding{Target: entry.Name, Decision: "reinstated", Rule: v.rule.String(),
		Evidence: []string{"good trials pooled over the VMs"}, Next: "full share after the ramp"})
}
