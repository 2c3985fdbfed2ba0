package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pauseGap is the time between two ticks from which the VM takes itself to
	// have paused; what ran meanwhile is no evidence.
	pauseGap = 400 * time.Millisecond
	// peerMemory is the time for which another VM's last word counts.
	peerMemory = 3 * time.Second
	// commonQuantile is the share of targets below which evidence is common to all.
	commonQuantile = 0.4
	// commonLimit is the common score, in nats, that is taken off all targets.
	commonLimit = 3.0
)

func pow2(x float64) float64 { return math.Exp2(x) }

// Tick runs periodic work: ages of attempts, common causes, fading, back-off
// and ramps. It is to be called about every 50 ms.
func (t *Tracker) Tick(now time.Duration) {
	t.notePause(now)
	t.ticked, t.lastTick = true, now
	t.age(now)
	t.removeCommon(now)
	if now-t.lastFade >= fadeInterval {
		t.lastFade = now
		t.fade(now)
	}
	for _, entry := range t.targets {
		t.advance(now, entry)
	}
	t.reconcile(now)
}

// notePause recognizes that the VM itself has paused.
func (t *Tracker) notePause(now time.Duration) {
	if t.ticked && now-t.lastTick > pauseGap {
		t.lastTick = now
		t.voidAttempts(now)
	}
}

// voidAttempts discounts what was in progress while the VM itself paused.
func (t *Tracker) voidAttempts(now time.Duration) {
	for attempt := range t.attempts {
		attempt.void = true
		t.unseat(attempt)
		t.withdraw(now, attempt)
	}
}

// age counts attempts that grow old as evidence before they end. Not more of
// them than the target has slots count, since the others wait behind these.
func (t *Tracker) age(now time.Duration) {
	if !t.reference.learned() {
		return
	}
	for _, attempt := range t.oldest(now) {
		entry := attempt.target
		if !attempt.old {
			attempt.old = true
			entry.oldOwn++
			attempt.seated = entry.oldCount() <= max(1, entry.Slots)
			t.mark(entry)
		}
		if !attempt.seated {
			continue
		}
		total := attempt.counted
		evidence := &t.reference.running[t.reference.bucket(now-attempt.start)]
		for _, h := range hypotheses {
			total[h.rule] = evidence[h.rule]
		}
		entry.excuseCold(&total)
		t.contribute(now, attempt, &total)
	}
}

// oldest returns the old attempts in order of their start.
func (t *Tracker) oldest(now time.Duration) []*Attempt {
	var old []*Attempt
	for attempt := range t.attempts {
		if !attempt.void && t.reference.bucket(now-attempt.start) >= t.reference.old {
			old = append(old, attempt)
		}
	}
	slices.SortFunc(old, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.target.index, b.target.index))
	})
	return old
}

// unseat takes an attempt off the old ones.
func (t *Tracker) unseat(attempt *Attempt) {
	if !attempt.old {
		return
	}
	attempt.target.oldOwn--
	if attempt.void {
		attempt.old = false
	}
}

// silentMemory is the time for which an attempt that timed out still counts as
// holding a slot, unless the target answers.
const silentMemory = 2 * time.Second

// noteSilence keeps an old attempt that timed out among the old ones. While a
// target is tested it need not, since only trials are sent.
func (e *target) noteSilence(now time.Duration, attempt *Attempt, kind Kind) {
	switch {
	case kind == TimedOut && attempt.old && !e.verdict.tested:
		e.silent++
		e.oldOwn++
		e.silentEnd = now + silentMemory
	case kind == Succeeded:
		e.endSilence()
	}
}

// endSilence drops the attempts that timed out.
func (e *target) endSilence() {
	e.oldOwn -= e.silent
	e.silent = 0
}

// hear keeps the last word of another VM.
func (e *target) hear(vm string, view peerView) {
	before := e.peers[vm]
	view.outdated = before.outdated && view.ejected
	e.peerOld[before.zone] -= before.old
	e.peerOld[view.zone] += view.old
	e.peers[vm] = view
}

// forget drops the words of VMs that have not been heard for a while.
func (e *target) forget(now time.Duration) {
	for vm, view := range e.peers {
		if now-view.at > peerMemory {
			e.peerOld[view.zone] -= view.old
			delete(e.peers, vm)
		}
	}
}

// oldCount returns the old attempts of all VMs on the target.
func (e *target) oldCount() int {
	count := e.oldOwn
	for _, old := range e.peerOld {
		count += old
	}
	return count
}

// oldZones returns the number of zones that see old attempts.
func (e *target) oldZones(ownZone int) int {
	count := 0
	for zone, old := range e.peerOld {
		if old > 0 || zone == ownZone && e.oldOwn > 0 {
			count++
		}
	}
	return count
}

// removeCommon takes off the evidence that most targets share: overload, or
// requests that fail everywhere.
func (t *Tracker) removeCommon(now time.Duration) {
	if !t.maybeCommon() {
		return
	}
	common := t.common()
	if !slices.ContainsFunc(common[:], func(s float64) bool { return s > commonLimit }) {
		return
	}
	for i := range common {
		if common[i] <= commonLimit {
			common[i] = 0
		}
	}
	for _, entry := range t.targets {
		if !entry.verdict.convicted {
			entry.tally.subtract(&common)
		}
	}
	if common[RuleFailing] > 0 {
		t.failures.failAll()
	}
	if common[RuleWrong] > 0 {
		t.wrong.failAll()
	}
	if common[RuleSlow]+common[RuleVerySlow]+common[RuleStalled]+common[RuleSometimesSlow] > 0 {
		t.reference.slowAll()
	}
	t.note(now, Finding{Decision: "none ejected", Rule: "common cause", Next: "the usual times and failures are learned anew"})
}

// maybeCommon reports whether enough targets have a score above the limit.
func (t *Tracker) maybeCommon() bool {
	high := 0
	for _, entry := range t.targets {
		if _, score := entry.tally.all.strongest(); score > commonLimit {
			high++
		}
	}
	return float64(high) >= (1-commonQuantile)*float64(len(t.targets))
}

// common returns each rule's score at the quantile of the targets.
func (t *Tracker) common() Scores {
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

// fade lets evidence lose weight with time and drops old words of other VMs.
func (t *Tracker) fade(now time.Duration) {
	for _, entry := range t.targets {
		entry.forget(now)
		if !entry.verdict.out() {
			entry.tally.fade(fadeFactor)
		}
	}
	if t.staleTimes {
		t.staleTimes = false
		t.reference.rebuild()
		t.setThreshold()
	}
}
