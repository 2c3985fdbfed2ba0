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
		t.fade()
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
			attempt.seated = entry.oldCount(now) <= max(1, entry.Slots)
			entry.changed = true
		}
		if !attempt.seated {
			continue
		}
		total := attempt.counted
		evidence := &t.reference.running[t.reference.bucket(now-attempt.start)]
		for _, h := range hypotheses {
			total[h.rule] = evidence[h.rule]
		}
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
	attempt.target.changed = true
	if attempt.void {
		attempt.old = false
	}
}

// oldCount returns the old attempts of all VMs on the target.
func (e *target) oldCount(now time.Duration) int {
	count := e.oldOwn
	for _, peer := range e.peers {
		if now-peer.at <= peerMemory {
			count += peer.old
		}
	}
	return count
}

// oldZones returns the number of zones that see old attempts.
func (e *target) oldZones(now time.Duration, zone int) int {
	var seen [64]bool
	count := 0
	mark := func(zone int) {
		if !seen[zone%len(seen)] {
			seen[zone%len(seen)] = true
			count++
		}
	}
	if e.oldOwn > 0 {
		mark(zone)
	}
	for _, peer := range e.peers {
		if peer.old > 0 && now-peer.at <= peerMemory {
			mark(peer.zone)
		}
	}
	return count
}

// removeCommon takes off the evidence that most targets share: overload, or
// requests that fail everywhere.
func (t *Tracker) removeCommon(now time.Duration) {
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
	if common[RuleSlow]+common[RuleVerySlow]+common[RuleStalled]+common[RuleSometimesSlow] > 0 {
		t.reference.slowAll()
	}
	t.note(now, Finding{Decision: "none ejected", Rule: "common cause", Next: "the usual times and failures are learned anew"})
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

// fade lets evidence of targets in service lose weight with time.
func (t *Tracker) fade() {
	for _, entry := range t.targets {
		if !entry.verdict.out() {
			entry.tally.fade(fadeFactor)
		}
	}
}
