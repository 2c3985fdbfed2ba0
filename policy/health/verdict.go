package health

import "time"

// The shares of the threshold at which work is reduced, limited to requests
// that may run twice, or shifted away, and what must remain without the zone
// that proves most.
const (
	reducedShare   = 0.35
	probationShare = 0.5
	// clearShare ends a probation.
	clearShare    = 0.42
	withoutShare  = 0.5
	answeredShare = 0.2
	agreedShare   = 0.1
	clearedShare  = 0.2
	// answeredLead is by how much, in nats, slow answers must outweigh silence.
	answeredLead = 6.0
	// probeBonus is what failing probes of several VMs add, in nats.
	probeBonus = 2.0
)

// Times of ejection and return.
const (
	firstBackOff   = 5 * time.Second
	longestBackOff = 5 * time.Minute
	// offenceMemory is the time in service after which back-off starts anew.
	offenceMemory = 10 * time.Minute
	// testLimit bounds a probation, in case no request may serve as a trial, and
	// testPause is the time before the next one.
	testLimit = 10 * time.Second
	testPause = time.Second
	// trialPatience is the time after which a target that no request could try
	// returns by the word of its probes.
	trialPatience = time.Minute
	// rampTime is the time over which a target gets back its full share.
	rampTime = 10 * time.Second
	// rampStart is the share at the beginning of a ramp.
	rampStart = 0.1
)

// Returning to service takes a number of good trials and a score that speaks
// against the rule; a score that speaks for it prolongs the ejection.
const (
	trialsNeeded  = 8
	trialsCleared = -4.5
	trialsFailed  = 10.0
	// trialsPerSecond is the rate of trials of one target by the whole fleet.
	trialsPerSecond = 10.0
	// testsPerSecond is the rate of trials during a probation.
	testsPerSecond = 20.0
	// probeDistrust multiplies the back-off while probes fail.
	probeDistrust = 3
)

// verdict is what a VM has decided about a target.
type verdict struct {
	state State
	// convicted targets are to be out; at the floor they may stay in.
	convicted bool
	avoided   bool
	held      bool
	// withheld targets get no ordinary work, as far as the floor allows.
	withheld bool
	reduced  bool
	// tested targets take only trials until their evidence is clear.
	tested     bool
	testedFrom time.Duration
	ejected    bool
	rule       Rule
	// severity orders targets at the floor; it is frozen at conviction.
	severity float64
	since    time.Duration
	until    time.Duration
	offences int
	// tried sums up the evidence since trials began.
	tried     Scores
	trying    bool
	triedFrom time.Duration
	nextTrial time.Duration
	rampFrom  time.Duration
	ramping   bool
}

// out reports whether the target is to be out of service.
func (v *verdict) out() bool { return v.convicted || v.avoided }

// suspect reports whether a target's times and failures are unfit as reference,
// by what others than the attempt in hand have shown.
func (v *verdict) suspect(entry *target, attempt, limits *Scores) bool {
	const suspectShare = 0.25
	if v.out() || v.ramping {
		return true
	}
	for i, score := range entry.tally.all {
		if score-max(0, attempt[i]) > suspectShare*limits[i] {
			return true
		}
	}
	return false
}

// ramp starts a growing share of work.
func (v *verdict) ramp(now time.Duration) {
	v.ramping = true
	v.rampFrom = now
}

// judge compares a target's scores with the thresholds.
func (t *Tracker) judge(now time.Duration, entry *target) {
	v := &entry.verdict
	if v.trying {
		t.judgeTrials(now, entry)
		return
	}
	if v.out() {
		t.judgeOut(now, entry)
		return
	}
	rule, part := t.relativeLevel(entry, pooled)
	score := entry.tally.all[rule]
	if part > 0 {
		part += t.bonus(entry) / t.limits[rule]
	}
	switch {
	case part >= 1 && entry.tally.least(rule) >= t.withoutNeeded(entry, rule):
		t.convict(now, entry, rule, score)
	case part >= agreedShare && peersAgree(entry):
		t.convict(now, entry, rule, score)
	default:
		t.judgePath(now, entry)
	}
	wasReduced := v.reduced
	v.reduced = part >= reducedShare
	if !v.out() {
		t.test(now, entry, part)
	}
	if wasReduced != v.reduced {
		t.dirty = true
	}
}

// test starts or ends the probation of a target that is suspected. Requests
// that may run twice then settle the matter, and all others go elsewhere.
func (t *Tracker) test(now time.Duration, entry *target, part float64) {
	v := &entry.verdict
	switch {
	case !v.tested && part >= probationShare && now-v.testedFrom >= testPause:
		v.tested = true
		v.testedFrom = now
		v.nextTrial = now + t.trialWait(entry)
		t.dirty = true
	case v.tested && (part < clearShare || now-v.testedFrom >= testLimit):
		v.tested = false
		v.testedFrom = now
		t.dirty = true
	}
}

// withoutNeeded is the score that must remain without any one zone. Less is
// needed when answers arrive, though slowly or wrongly, and when probes from
// two zones fail, since no path explains these.
func (t *Tracker) withoutNeeded(entry *target, rule Rule) float64 {
	if len(t.zones) < 2 {
		return 0
	}
	share := withoutShare
	if entry.answers(rule) || entry.probesFail(t.zone) {
		share = answeredShare
	}
	return share * t.limits[rule]
}

// answers reports whether the evidence for a rule comes from answers rather
// than from silence.
func (e *target) answers(rule Rule) bool {
	switch rule {
	case RuleWrong:
		return true
	case RuleSlow, RuleVerySlow, RuleSometimesSlow:
		return e.tally.all[rule] > e.tally.all[RuleStalled]+answeredLead
	}
	return false
}

// probesFail reports whether the probes of VMs of two zones fail.
func (e *target) probesFail(ownZone int) bool {
	if !e.probeBad {
		return false
	}
	for _, peer := range e.peers {
		if peer.probeBad && peer.zone != ownZone {
			return true
		}
	}
	return false
}

// bonus returns what failing probes add to other evidence.
func (t *Tracker) bonus(entry *target) float64 {
	if entry.probesFail(t.zone) {
		return probeBonus
	}
	return 0
}

// peersAgree reports whether VMs of two zones have ejected the target.
func peersAgree(entry *target) bool {
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

// judgePath avoids a target that only this VM or its zone sees failing.
func (t *Tracker) judgePath(now time.Duration, entry *target) {
	zoneRule, zonePart := t.relativeLevel(entry, t.ofZone)
	ownRule, ownPart := t.relativeLevel(entry, ofVM)
	switch {
	case zonePart >= 1 && len(t.zones) > 1:
		t.avoid(now, entry, zoneRule, entry.tally.zones[t.zone][zoneRule])
	case ownPart >= 1:
		t.avoid(now, entry, ownRule, entry.tally.own[ownRule])
	}
}

// convict decides that the target itself is unfit.
func (t *Tracker) convict(now time.Duration, entry *target, rule Rule, score float64) {
	v := &entry.verdict
	v.convicted, v.avoided = true, false
	t.putOut(now, entry, rule, score)
}

// avoid decides that the path to the target is unfit.
func (t *Tracker) avoid(now time.Duration, entry *target, rule Rule, score float64) {
	entry.verdict.avoided = true
	t.putOut(now, entry, rule, score)
}

// putOut starts the back-off, longer for each offence.
func (t *Tracker) putOut(now time.Duration, entry *target, rule Rule, score float64) {
	v := &entry.verdict
	v.rule, v.severity, v.since = rule, score, now
	v.ramping = false
	v.trying = false
	v.tested = false
	v.offences++
	t.endExcursions(entry)
	v.until = now + backOff(v.offences)
	t.touch(entry)
	t.reconcile(now)
	t.noteOut(now, entry)
}

// backOff returns how long a target stays out at least.
func backOff(offences int) time.Duration {
	wait := firstBackOff
	for i := 1; i < offences && wait < longestBackOff; i++ {
		wait *= 2
	}
	return min(wait, longestBackOff)
}

// judgeOut clears a convicted target that stayed in service at the floor, and
// turns a path's fault into the target's when others see it too.
func (t *Tracker) judgeOut(now time.Duration, entry *target) {
	v := &entry.verdict
	score := entry.tally.all[v.rule]
	if v.avoided && !v.convicted {
		proven := score >= t.limits[v.rule] && entry.tally.least(v.rule) >= t.withoutNeeded(entry, v.rule)
		if proven || peersAgree(entry) {
			t.convict(now, entry, v.rule, score)
		}
		return
	}
	if !v.ejected && score < clearedShare*t.limits[v.rule] {
		t.reinstate(now, entry, false)
	}
}

// advance moves a target through back-off, trials and ramp as time passes.
func (t *Tracker) advance(now time.Duration, entry *target) {
	v := &entry.verdict
	if entry.silent > 0 && now >= entry.silentEnd {
		entry.endSilence()
		t.mark(entry)
	}
	if v.ramping && now-v.rampFrom >= rampTime {
		v.ramping = false
		t.dirty = true
	}
	t.hold(now, entry)
	if v.tested {
		t.judge(now, entry)
	}
	if v.out() && !v.trying && now >= v.until {
		t.beginTrials(now, entry)
	}
	if v.trying && v.tried.zero() && !entry.probeBad && now-v.triedFrom >= trialPatience {
		t.reinstate(now, entry, true)
	}
	if !v.out() && v.offences > 0 && now-v.since > offenceMemory+backOff(v.offences) {
		v.offences = 0
	}
	if entry.leaveEnd != 0 && now >= entry.leaveEnd {
		entry.leaveEnd = 0
		v.ramp(now)
	}
}

// hold stops new work while every slot is held by an old attempt and VMs of
// two zones see it; a slot that comes free ends it.
func (t *Tracker) hold(now time.Duration, entry *target) {
	v := &entry.verdict
	needed := min(2, len(t.zones))
	held := entry.oldCount() >= max(1, entry.Slots) && entry.oldZones(t.zone) >= needed
	if held != v.held {
		v.held = held
		t.dirty = true
	}
}
