package health

import (
	"math"
	"slices"
	"time"
)

// Evidence is what one VM tells the others about one target.
type Evidence struct {
	Target string
	VM     string
	Zone   string
	// Increments are the scores gained or lost since the VM's last word, in nats.
	Increments Scores
	// OldAttempts is the number of the VM's attempts that are older than 99 in 100.
	OldAttempts int
	// GoodTrials is the number of good trials since the last word.
	GoodTrials int
	Ejected    bool
	// Returned tells that trials ended well.
	Returned   bool
	ProbesFail bool
}

// News is what one VM tells the others of its service at a time.
type News struct {
	Evidence []Evidence
	// Times are service times of targets that are not suspect.
	Times []TimeCount
}

const (
	// timesInterval is the time between two words about service times.
	timesInterval = 5 * time.Second
	// newsStep is the change of a score, in nats, that is worth a message.
	newsStep = 1.5
	// newsInterval is the time between two words about targets not suspected.
	newsInterval = 500 * time.Millisecond
	// urgentShare is the share of a limit from which news of a target goes at once.
	urgentShare = 0.2
	// renewInterval is the time after which a standing fact is told again.
	renewInterval = time.Second
)

// pend keeps increments for the next message. While nobody holds evidence
// against a target, what speaks for it would not change any score.
func (e *target) pend(increments *Scores) {
	e.pending.plus(increments)
	if e.verdict.out() {
		return
	}
	for i := range e.pending {
		if e.pending[i] < 0 && e.tally.all[i] == 0 {
			e.pending[i] = 0
		}
	}
}

// touch notes a change that the others should hear of at once.
func (t *Tracker) touch(entry *target) {
	entry.changed = true
	t.mark(entry)
}

// mark lists a target of which there may be something to tell.
func (t *Tracker) mark(entry *target) {
	if !entry.listed {
		entry.listed = true
		t.listed = append(t.listed, entry)
	}
	if !entry.urgent && t.isUrgent(entry) {
		entry.urgent = true
		t.urgent = append(t.urgent, entry)
	}
}

// isUrgent reports whether the others should hear of a target at once.
func (t *Tracker) isUrgent(entry *target) bool {
	if entry.changed {
		return true
	}
	if _, part := t.level(&entry.tally.all); part < urgentShare {
		return false
	}
	return entry.worthTelling()
}

// worthTelling reports whether the others should hear of a target by and by.
func (e *target) worthTelling() bool {
	if e.changed || e.oldTold != e.oldOwn {
		return true
	}
	for _, score := range e.pending {
		if score >= newsStep || score <= -newsStep {
			return true
		}
	}
	return false
}

// standing reports whether there is a fact that must be renewed.
func (e *target) standing() bool {
	return e.oldOwn > 0 || e.verdict.ejected && e.verdict.convicted || e.probeBad
}

// TakeNews returns what the other VMs of the service should hear now, and takes it
// as told. It is to be called after each event; mostly there is nothing.
func (t *Tracker) TakeNews(now time.Duration) (news News, ok bool) {
	for _, entry := range t.urgent {
		entry.urgent = false
		if entry.worthTelling() {
			news.Evidence = append(news.Evidence, t.tell(entry))
		}
	}
	t.urgent = t.urgent[:0]
	if now-t.lastRegular >= newsInterval {
		t.lastRegular = now
		news.Evidence = append(news.Evidence, t.regularNews()...)
	}
	if now-t.lastNews >= renewInterval {
		t.lastNews = now
		news.Evidence = append(news.Evidence, t.renewals()...)
	}
	if now-t.lastTimes >= timesInterval {
		t.lastTimes = now
		news.Times = t.reference.tell()
	}
	return news, len(news.Evidence)+len(news.Times) > 0
}

// regularNews tells of the listed targets and keeps those whose evidence is
// still too little.
func (t *Tracker) regularNews() []Evidence {
	var news []Evidence
	kept := t.listed[:0]
	for _, entry := range t.listed {
		switch {
		case entry.worthTelling():
			news = append(news, t.tell(entry))
			entry.listed = false
		case entry.pending.zero():
			entry.listed = false
		default:
			kept = append(kept, entry)
		}
	}
	t.listed = kept
	return news
}

// renewals repeats facts that would otherwise be forgotten.
func (t *Tracker) renewals() []Evidence {
	var news []Evidence
	for _, entry := range t.targets {
		if entry.standing() {
			news = append(news, t.tell(entry))
		}
	}
	return news
}

func (t *Tracker) tell(entry *target) Evidence {
	evidence := Evidence{Target: entry.Name, VM: t.config.VM, Zone: t.config.Zone, Increments: entry.pending,
		OldAttempts: entry.oldOwn, GoodTrials: entry.trialsUntold, ProbesFail: entry.probeBad}
	evidence.Ejected = entry.verdict.ejected && entry.verdict.convicted
	entry.pending = Scores{}
	entry.oldTold = entry.oldOwn
	entry.trialsUntold = 0
	evidence.Returned = entry.returned
	entry.returned = false
	entry.changed = false
	return evidence
}

// ReceiveNews takes another VM's news.
func (t *Tracker) ReceiveNews(now time.Duration, news *News) {
	if len(news.Times) > 0 {
		t.reference.hear(news.Times)
		t.staleTimes = true
	}
	for i := range news.Evidence {
		t.receive(now, &news.Evidence[i])
	}
}

func (t *Tracker) receive(now time.Duration, evidence *Evidence) {
	entry, ok := t.byName[evidence.Target]
	if !ok || evidence.VM == t.config.VM {
		return
	}
	zone, ok := t.knownZone(evidence.Zone)
	if !ok {
		return
	}
	entry.hear(evidence.VM, peerView{zone: zone, at: now, old: min(max(0, evidence.OldAttempts), oldLimit),
		ejected: evidence.Ejected, probeBad: evidence.ProbesFail})
	entry.trialOK += min(max(0, evidence.GoodTrials), trialsNeeded)
	t.hold(now, entry)
	increments := evidence.Increments
	clampAll(&increments)
	t.absorb(now, entry, zone, false, &increments)
	if evidence.Returned && t.agreesToReturn(now, entry) {
		t.reinstate(now, entry, true)
	}
	if evidence.Ejected {
		t.judge(now, entry)
	}
	if t.dirty {
		t.dirty = false
		t.reconcile(now)
	}
}

// agreesToReturn reports whether this VM takes a target back because the
// trials have ended well on another.
func (t *Tracker) agreesToReturn(now time.Duration, entry *target) bool {
	v := &entry.verdict
	return v.out() && now >= v.until && (!v.trying || v.tried[v.rule] <= 0)
}

const (
	// messageLimit bounds what one message can prove, in nats.
	messageLimit = 4 * evidenceLimit
	// oldLimit bounds the old attempts that a VM may claim.
	oldLimit = 64
	// zoneLimit bounds the zones that are told apart.
	zoneLimit = 64
)

// knownZone returns a zone's index, and false when there are too many zones.
func (t *Tracker) knownZone(zone string) (int, bool) {
	if len(t.zones) >= zoneLimit && !slices.Contains(t.zones, zone) {
		return 0, false
	}
	return t.zoneIndex(zone), true
}

func clampAll(increments *Scores) {
	for i := range increments {
		if math.IsNaN(increments[i]) {
			increments[i] = 0
		}
		increments[i] = min(messageLimit, max(-messageLimit, increments[i]))
	}
}
