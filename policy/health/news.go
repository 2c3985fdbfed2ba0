package health

import (
	"math"
	"slices"
	"time"
)

// Evidence is the message of one VM to the others about one target.
type Evidence struct {
	Target string
	VM     string
	Zone   string
	// Increments are the changes of the scores since the VM's last message, in nats.
	Increments Scores
	// OldAttempts is the number of the VM's overdue attempts, which have run longer
	// than at least 98 in 100 do.
	OldAttempts int
	// GoodTrials is the number of good trials since the VM's last message.
	GoodTrials int
	Ejected    bool
	// Returned is set when the VM reinstated the target after good trials.
	Returned   bool
	ProbesFail bool
}

// News is one message of a VM to the others about the targets of a service.
type News struct {
	Evidence []Evidence
	// Times are service times of targets that are not suspect.
	Times []TimeCount
}

const (
	// serviceTimesInterval is the time between two messages about service times.
	serviceTimesInterval = 5 * time.Second
	// minNewsNats is the minimum change of a score, in nats, that is sent.
	minNewsNats = 1.5
	// newsInterval is the time between two messages about targets that are not urgent.
	newsInterval = 500 * time.Millisecond
	// urgentLimitShare is the share of a limit from which news of a target is
	// sent at once.
	urgentLimitShare = 0.2
	// renewInterval is the time after which a fact that still holds is sent again.
	renewInterval = time.Second
)

// addPending adds increments to the next message. Decreases of a score that is
// zero already are left out, since they would change no score elsewhere either.
func (e *target) addPending(increments *Scores) {
	e.pending.add(increments)
	if e.assessment.outOfService() {
		return
	}
	for i := range e.pending {
		if e.pending[i] < 0 && e.tally.all[i] == 0 {
			e.pending[i] = 0
		}
	}
}

// markChanged marks a change that the other VMs should receive at once.
func (t *Tracker) markChanged(entry *target) {
	entry.changed = true
	t.queueNews(entry)
}

// queueNews queues a target that may have news for the other VMs.
func (t *Tracker) queueNews(entry *target) {
	if !entry.newsQueued {
		entry.newsQueued = true
		t.newsQueue = append(t.newsQueue, entry)
	}
	if !entry.newsUrgent && t.isUrgent(entry) {
		entry.newsUrgent = true
		t.urgentNews = append(t.urgentNews, entry)
	}
}

// isUrgent reports whether the other VMs should receive a target's news at once.
func (t *Tracker) isUrgent(entry *target) bool {
	if entry.changed {
		return true
	}
	if _, share := t.nearestToLimit(&entry.tally.all); share < urgentLimitShare {
		return false
	}
	return entry.hasNews()
}

// hasNews reports whether a target has changes large enough to send.
func (e *target) hasNews() bool {
	if e.changed || e.sentOverdueAttempts != e.ownOverdueAttempts {
		return true
	}
	for _, score := range e.pending {
		if score >= minNewsNats || score <= -minNewsNats {
			return true
		}
	}
	return false
}

// needsRenewal reports whether a fact about a target must be sent repeatedly,
// because the other VMs forget it after peerMemory.
func (e *target) needsRenewal() bool {
	return e.ownOverdueAttempts > 0 || e.assessment.ejected && e.assessment.faulty || e.probeFails
}

// TakeNews returns the news to send to the other VMs of the service now and marks
// it as sent; ok is false when there is none. Callers call it after each event.
func (t *Tracker) TakeNews(now time.Duration) (news News, ok bool) {
	for _, entry := range t.urgentNews {
		entry.newsUrgent = false
		if entry.hasNews() {
			news.Evidence = append(news.Evidence, t.takeEvidence(entry))
		}
	}
	t.urgentNews = t.urgentNews[:0]
	if now-t.lastRegularNews >= newsInterval {
		t.lastRegularNews = now
		news.Evidence = append(news.Evidence, t.takeRegularNews()...)
	}
	if now-t.lastRenewal >= renewInterval {
		t.lastRenewal = now
		news.Evidence = append(news.Evidence, t.takeRenewals()...)
	}
	if now-t.lastServiceTimes >= serviceTimesInterval {
		t.lastServiceTimes = now
		news.Times = t.reference.takeUnsent()
	}
	return news, len(news.Evidence)+len(news.Times) > 0
}

// takeRegularNews returns the news of the queued targets and keeps those queued
// whose changes are still too small.
func (t *Tracker) takeRegularNews() []Evidence {
	var news []Evidence
	remaining := t.newsQueue[:0]
	for _, entry := range t.newsQueue {
		switch {
		case entry.hasNews():
			news = append(news, t.takeEvidence(entry))
			entry.newsQueued = false
		case entry.pending.isZero():
			entry.newsQueued = false
		default:
			remaining = append(remaining, entry)
		}
	}
	t.newsQueue = remaining
	return news
}

// takeRenewals returns the facts that the other VMs would otherwise forget.
func (t *Tracker) takeRenewals() []Evidence {
	var news []Evidence
	for _, entry := range t.targets {
		if entry.needsRenewal() {
			news = append(news, t.takeEvidence(entry))
		}
	}
	return news
}

func (t *Tracker) takeEvidence(entry *target) Evidence {
	evidence := Evidence{Target: entry.Name, VM: t.config.VM, Zone: t.config.Zone, Increments: entry.pending,
		OldAttempts: entry.ownOverdueAttempts, GoodTrials: entry.unsentTrials, ProbesFail: entry.probeFails}
	evidence.Ejected = entry.assessment.ejected && entry.assessment.faulty
	entry.pending = Scores{}
	entry.sentOverdueAttempts = entry.ownOverdueAttempts
	entry.unsentTrials = 0
	evidence.Returned = entry.returned
	entry.returned = false
	entry.changed = false
	return evidence
}

// ReceiveNews applies another VM's news.
func (t *Tracker) ReceiveNews(now time.Duration, news *News) {
	if len(news.Times) > 0 {
		t.reference.addFromPeer(news.Times)
		t.referenceStale = true
	}
	for i := range news.Evidence {
		t.applyEvidence(now, &news.Evidence[i])
	}
}

func (t *Tracker) applyEvidence(now time.Duration, evidence *Evidence) {
	entry, ok := t.byName[evidence.Target]
	if !ok || evidence.VM == t.config.VM {
		return
	}
	zone, ok := t.findOrAddZone(evidence.Zone)
	if !ok {
		return
	}
	entry.updatePeer(evidence.VM, peerView{zone: zone, receivedAt: now, overdueAttempts: min(max(0, evidence.OldAttempts), maxPeerOverdueAttempts),
		ejected: evidence.Ejected, probeFails: evidence.ProbesFail})
	entry.goodTrials += min(max(0, evidence.GoodTrials), minGoodTrials)
	t.updateHeld(now, entry)
	increments := evidence.Increments
	clampIncrements(&increments)
	t.applyIncrements(now, entry, zone, false, &increments)
	if evidence.Returned && t.acceptsReturn(now, entry) {
		t.reinstate(now, entry, true)
	}
	if evidence.Ejected {
		t.evaluate(now, entry)
	}
	if t.needsReconcile {
		t.needsReconcile = false
		t.reconcile(now)
	}
}

// acceptsReturn reports whether this VM reinstates a target because another VM
// did so after good trials.
func (t *Tracker) acceptsReturn(now time.Duration, entry *target) bool {
	a := &entry.assessment
	return a.outOfService() && now >= a.backOffUntil && (!a.inTrials || a.trialScores[a.rule] <= 0)
}

const (
	// maxMessageNats bounds the evidence of one message, in nats.
	maxMessageNats = 4 * maxAttemptNats
	// maxPeerOverdueAttempts bounds the overdue attempts that another VM may report.
	maxPeerOverdueAttempts = 64
	// maxZones bounds the zones that are tracked.
	maxZones = 64
)

// findOrAddZone returns a zone's index, and false for a new zone when there are
// too many.
func (t *Tracker) findOrAddZone(zone string) (int, bool) {
	if len(t.zones) >= maxZones && !slices.Contains(t.zones, zone) {
		return 0, false
	}
	return t.zoneIndex(zone), true
}

func clampIncrements(increments *Scores) {
	for i := range increments {
		if math.IsNaN(increments[i]) {
			increments[i] = 0
		}
		increments[i] = min(maxMessageNats, max(-maxMessageNats, increments[i]))
	}
}
