package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config sets up the tracker of one service on one VM.
type Config struct {
	// VM and Zone name the VM that the tracker works on.
	VM   string
	Zone string
	// Zones are the zones of the VMs that serve the service.
	Zones []string
	// VMs is the number of VMs that serve the service.
	VMs int
	// FloorSlots is the healthy capacity that ejections must leave.
	FloorSlots int
	// FalsePerTargetMonth is the accepted number of false ejections of a target in a month.
	FalsePerTargetMonth float64
	// Random spreads trials over the VMs.
	Random *rand.Rand
}

// Target describes a target of the service.
type Target struct {
	Name    string
	Slots   int
	Leaving bool
}

// Attempt is an attempt in progress.
type Attempt struct {
	target *target
	start  time.Duration
	old    bool
	seated bool
	// void attempts are no evidence, because the VM itself paused.
	void bool
	// counted is what the attempt has contributed so far.
	counted Scores
}

// target is what the tracker knows about one target.
type target struct {
	Target
	index int
	tally tally
	// peaks are the heights of the excursions in progress.
	peaks    Scores
	verdict  verdict
	inFlight int
	// own increments that the other VMs do not know yet.
	pending Scores
	// seen counts this VM's attempts by kind, for findings and news.
	seen map[Kind]uint64
	// peers holds what other VMs said last.
	peers map[string]peerView
	// peerOld counts the other VMs' old attempts by zone.
	peerOld []int
	oldOwn  int
	// silent counts old attempts that timed out since the target last answered,
	// until silentEnd.
	silent    int
	silentEnd time.Duration
	oldTold   int
	probeBad  bool
	trialOK   int
	// trialsUntold are good trials that the other VMs do not know yet.
	trialsUntold int
	// returned is set until the other VMs know that trials ended well.
	returned bool
	changed  bool
	listed   bool
	urgent   bool
	leaveEnd time.Duration
}

// peerView is the last word of another VM about a target.
type peerView struct {
	zone     int
	at       time.Duration
	old      int
	ejected  bool
	probeBad bool
	// outdated ejections were decided before this VM took the target back.
	outdated bool
}

// Tracker judges the targets of one service. It is not safe for concurrent
// use. All times are durations on one monotonic clock of the instance.
type Tracker struct {
	config    Config
	threshold float64
	// limits are the scores at which each rule convicts.
	limits      Scores
	calibration calibration
	zone        int
	zones       []string
	targets     []*target
	byName      map[string]*target
	reference   reference
	failures    failures
	wrong       failures
	attempts    map[*Attempt]struct{}
	lastTick    time.Duration
	ticked      bool
	lastFade    time.Duration
	lastNews    time.Duration
	lastTimes   time.Duration
	lastRegular time.Duration
	// listed and urgent are the targets of which there is something to tell.
	listed []*target
	urgent []*target
	// probing are the targets that want trials.
	probing []*target
	// staleTimes is set when the reference heard of times since its last tables.
	staleTimes bool
	weights    [2][]float64
	dirty      bool
	findings   []Finding
}

// New returns a tracker without targets.
func New(config Config) *Tracker {
	t := &Tracker{config: config, byName: make(map[string]*target), attempts: make(map[*Attempt]struct{})}
	t.failures = newFailures()
	t.wrong = newFailures()
	t.calibration = newCalibration()
	t.zones = slices.Clone(config.Zones)
	t.zone = t.zoneIndex(config.Zone)
	return t
}

// zoneIndex returns a zone's index; zones that appear later are added.
func (t *Tracker) zoneIndex(zone string) int {
	if i := slices.Index(t.zones, zone); i >= 0 {
		return i
	}
	t.zones = append(t.zones, zone)
	for _, target := range t.targets {
		target.tally.zones = append(target.tally.zones, Scores{})
		target.peerOld = append(target.peerOld, 0)
		target.tally.without = append(target.tally.without, target.tally.all)
	}
	return len(t.zones) - 1
}

// Configure sets the service's targets; what is known of those that stay is
// kept. A target that was not there before starts cold, except at the start.
func (t *Tracker) Configure(now time.Duration, targets []Target) {
	first := len(t.targets) == 0
	known := t.byName
	t.byName = make(map[string]*target, len(targets))
	t.targets = make([]*target, 0, len(targets))
	for i, description := range targets {
		entry, ok := known[description.Name]
		if !ok {
			entry = t.newTarget(now, !first)
		}
		if entry.Leaving && !description.Leaving {
			entry.verdict.ramp(now)
		}
		entry.Target, entry.index = description, i
		t.byName[description.Name] = entry
		t.targets = append(t.targets, entry)
	}
	t.weights = [2][]float64{make([]float64, len(targets)), make([]float64, len(targets))}
	t.setThreshold()
	t.reconcile(now)
}

func (t *Tracker) newTarget(now time.Duration, cold bool) *target {
	entry := &target{tally: newTally(len(t.zones)), seen: make(map[Kind]uint64), peers: make(map[string]peerView), peerOld: make([]int, len(t.zones))}
	if cold {
		entry.verdict.ramp(now)
	}
	return entry
}

// SetVMCount tells how many VMs serve the service.
func (t *Tracker) SetVMCount(vms int) { t.config.VMs = vms }

// SetFloor changes the floor and the accepted rate of false ejections.
func (t *Tracker) SetFloor(now time.Duration, floorSlots int, falsePerTargetMonth float64) {
	t.config.FloorSlots = floorSlots
	t.config.FalsePerTargetMonth = falsePerTargetMonth
	t.setThreshold()
	t.reconcile(now)
}

// Index returns a target's index in the order of Configure.
func (t *Tracker) Index(name string) (int, bool) {
	entry, ok := t.byName[name]
	if !ok {
		return 0, false
	}
	return entry.index, true
}

// StartAttempt notes that an attempt is sent.
func (t *Tracker) StartAttempt(now time.Duration, index int) *Attempt {
	attempt := &Attempt{target: t.targets[index], start: now}
	attempt.target.inFlight++
	t.attempts[attempt] = struct{}{}
	return attempt
}

// EndAttempt notes how an attempt ended after a time.
func (t *Tracker) EndAttempt(now time.Duration, attempt *Attempt, kind Kind, taken time.Duration) {
	t.notePause(now)
	if _, ok := t.attempts[attempt]; !ok {
		return
	}
	delete(t.attempts, attempt)
	entry := attempt.target
	entry.inFlight--
	entry.seen[kind]++
	t.unseat(attempt)
	entry.noteSilence(now, attempt, kind)
	t.mark(entry)
	if kind == Draining {
		t.drains(now, entry)
	}
	if kind == Draining || kind == Shed || kind == Canceled || attempt.void {
		t.withdraw(now, attempt)
		return
	}
	t.weigh(now, attempt, kind, taken)
}

// weigh turns the end of an attempt into evidence.
func (t *Tracker) weigh(now time.Duration, attempt *Attempt, kind Kind, taken time.Duration) {
	entry := attempt.target
	suspect := entry.verdict.suspect(entry, &attempt.counted, &t.limits)
	final := attempt.counted
	failed := kind.Failed()
	final[RuleFailing] = t.failures.evidence(failed && kind != Wrong)
	final[RuleWrong] = t.wrong.evidence(kind == Wrong)
	if !failed && t.reference.learned() {
		t.weighTime(attempt, &final, taken)
	}
	entry.excuseCold(&final)
	t.contribute(now, attempt, &final)
	t.trialEnded(now, entry, !failed)
	if suspect {
		return
	}
	t.failures.observe(failed && kind != Wrong)
	t.wrong.observe(kind == Wrong)
	if !failed {
		t.reference.observe(taken)
		t.setThreshold()
	}
}

// weighTime sets the time rules' evidence. An attempt that grew old while the
// target's slots were held by other old ones proves nothing against it.
func (t *Tracker) weighTime(attempt *Attempt, final *Scores, taken time.Duration) {
	evidence := &t.reference.ended[t.reference.bucket(taken)]
	for _, h := range hypotheses {
		final[h.rule] = evidence[h.rule]
		if attempt.old && !attempt.seated {
			final[h.rule] = min(0, final[h.rule])
		}
	}
}

// excuseCold drops what speaks for slowness while a target warms up.
func (e *target) excuseCold(scores *Scores) {
	if !e.verdict.ramping {
		return
	}
	for _, rule := range [...]Rule{RuleSlow, RuleVerySlow, RuleSometimesSlow} {
		scores[rule] = min(0, scores[rule])
	}
}

// contribute replaces what an attempt has contributed so far.
func (t *Tracker) contribute(now time.Duration, attempt *Attempt, total *Scores) {
	var increments Scores
	for i := range total {
		increments[i] = total[i] - attempt.counted[i]
	}
	if increments.zero() {
		return
	}
	attempt.counted = *total
	entry := attempt.target
	t.absorb(now, entry, t.zone, true, &increments)
	entry.pend(&increments)
	t.mark(entry)
}

// withdraw takes back what an attempt has contributed.
func (t *Tracker) withdraw(now time.Duration, attempt *Attempt) {
	t.contribute(now, attempt, &Scores{})
}

// absorb adds increments to a target's scores and judges it when they are high.
func (t *Tracker) absorb(now time.Duration, entry *target, zone int, own bool, increments *Scores) {
	entry.tally.add(zone, own, increments)
	entry.verdict.tried.plus(increments)
	if !entry.verdict.out() {
		t.excursions(entry)
	}
	if _, part := t.level(&entry.tally.all); part >= reducedShare || entry.verdict.out() || entry.verdict.reduced {
		t.judge(now, entry)
	}
}

// setThreshold follows the rate of observations that the service times allow.
func (t *Tracker) setThreshold() {
	const unknownRate = 60.0
	rate := unknownRate
	if t.reference.learned() && len(t.targets) > 0 {
		middle := float64(shortestTime) * pow2(float64(t.reference.median)/bucketsPerOctave)
		rate = float64(t.targets[0].Slots) * float64(time.Second) / middle
	}
	t.threshold = Threshold(t.config.FalsePerTargetMonth, rate)
	t.limits = t.calibration.limits(t.threshold)
}

// RecordProbe notes a probe's result. A probe is a hint: it never convicts or clears.
func (t *Tracker) RecordProbe(now time.Duration, index int, healthy bool) {
	entry := t.targets[index]
	if entry.probeBad != !healthy {
		entry.probeBad = !healthy
		t.touch(entry)
	}
	if entry.probeBad {
		t.judge(now, entry)
	}
}

// drains notes that a target said that it is leaving.
func (t *Tracker) drains(now time.Duration, entry *target) {
	entry.leaveEnd = now + leavingHold
	t.reconcile(now)
}

// leavingHold is the time for which a target's word that it drains is believed.
const leavingHold = 2 * time.Second
