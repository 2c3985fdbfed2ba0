package health

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config sets up the tracker of one service on one VM.
type Config struct {
	// VM and Zone name the VM that the tracker runs on.
	VM   string
	Zone string
	// Zones are the zones of the VMs that serve the service.
	Zones []string
	// VMs is the number of VMs that serve the service.
	VMs int
	// FloorSlots is the number of healthy slots that ejections must leave.
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
	// overdue attempts have run longer than at least 98 in 100 do.
	overdue bool
	// occupiesSlot is set for as many overdue attempts as the target has slots.
	occupiesSlot bool
	// voided attempts are no evidence, because the VM itself paused.
	voided bool
	// contributed is the evidence that the attempt has contributed so far.
	contributed Scores
}

// target is what the tracker knows about one target.
type target struct {
	Target
	index int
	tally tally
	// peaks are the heights of the excursions in progress.
	peaks              Scores
	assessment         assessment
	attemptsInProgress int
	// pending holds own increments that were not sent to the other VMs yet.
	pending Scores
	// resultCounts counts this VM's attempts by kind, for findings.
	resultCounts map[Kind]uint64
	// peers holds the last message of each other VM.
	peers map[string]peerView
	// peerOverdueAttempts counts the other VMs' overdue attempts by zone.
	peerOverdueAttempts []int
	// ownOverdueAttempts counts this VM's overdue attempts in progress and those
	// in unanswered.
	ownOverdueAttempts int
	// unanswered counts overdue attempts that timed out since the target last
	// answered, until unansweredUntil.
	unanswered          int
	unansweredUntil     time.Duration
	sentOverdueAttempts int
	probeFails          bool
	goodTrials          int
	// unsentTrials counts good trials that were not sent to the other VMs yet.
	unsentTrials int
	// returned is set after good trials until that is sent to the other VMs.
	returned     bool
	changed      bool
	newsQueued   bool
	newsUrgent   bool
	leavingUntil time.Duration
}

// peerView is the last message of another VM about a target.
type peerView struct {
	zone            int
	receivedAt      time.Duration
	overdueAttempts int
	ejected         bool
	probeFails      bool
	// outdated ejections were decided before this VM reinstated the target.
	outdated bool
}

// Tracker evaluates the health of the targets of one service. It is not safe for
// concurrent use. All times are durations on one monotonic clock of the instance.
type Tracker struct {
	config    Config
	threshold float64
	// limits are the scores at which each rule marks a target as faulty.
	limits           Scores
	calibration      calibration
	zone             int
	zones            []string
	targets          []*target
	byName           map[string]*target
	reference        reference
	failures         failureRate
	wrongResponses   failureRate
	attempts         map[*Attempt]struct{}
	lastTick         time.Duration
	hasTicked        bool
	lastDecay        time.Duration
	lastRenewal      time.Duration
	lastServiceTimes time.Duration
	lastRegularNews  time.Duration
	// newsQueue and urgentNews are the targets that may have news for other VMs.
	newsQueue  []*target
	urgentNews []*target
	// trialCandidates are the targets that are in trials or on probation.
	trialCandidates []*target
	// referenceStale is set when service times of other VMs were added since
	// decayEvidence last rebuilt the reference.
	referenceStale bool
	weights        [2][]float64
	needsReconcile bool
	findings       []Finding
}

// New returns a tracker without targets.
func New(config Config) *Tracker {
	t := &Tracker{config: config, byName: make(map[string]*target), attempts: make(map[*Attempt]struct{})}
	t.failures = newFailureRate()
	t.wrongResponses = newFailureRate()
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
		target.peerOverdueAttempts = append(target.peerOverdueAttempts, 0)
		target.tally.withoutZone = append(target.tally.withoutZone, target.tally.all)
	}
	return len(t.zones) - 1
}

// Configure sets the service's targets and keeps the state of those that stay. A
// new target starts with a ramp, except at the first call.
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
			entry.assessment.startRamp(now)
		}
		entry.Target, entry.index = description, i
		t.byName[description.Name] = entry
		t.targets = append(t.targets, entry)
	}
	t.weights = [2][]float64{make([]float64, len(targets)), make([]float64, len(targets))}
	t.updateThreshold()
	t.reconcile(now)
}

func (t *Tracker) newTarget(now time.Duration, ramp bool) *target {
	entry := &target{tally: newTally(len(t.zones)), resultCounts: make(map[Kind]uint64), peers: make(map[string]peerView), peerOverdueAttempts: make([]int, len(t.zones))}
	if ramp {
		entry.assessment.startRamp(now)
	}
	return entry
}

// SetVMCount sets the number of VMs that serve the service.
func (t *Tracker) SetVMCount(vms int) { t.config.VMs = vms }

// SetFloor changes the floor and the accepted rate of false ejections.
func (t *Tracker) SetFloor(now time.Duration, floorSlots int, falsePerTargetMonth float64) {
	t.config.FloorSlots = floorSlots
	t.config.FalsePerTargetMonth = falsePerTargetMonth
	t.updateThreshold()
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

// StartAttempt records the start of an attempt on a target.
func (t *Tracker) StartAttempt(now time.Duration, index int) *Attempt {
	attempt := &Attempt{target: t.targets[index], start: now}
	attempt.target.attemptsInProgress++
	t.attempts[attempt] = struct{}{}
	return attempt
}

// EndAttempt records the result and the duration of an attempt.
func (t *Tracker) EndAttempt(now time.Duration, attempt *Attempt, kind Kind, elapsed time.Duration) {
	t.detectPause(now)
	if _, ok := t.attempts[attempt]; !ok {
		return
	}
	delete(t.attempts, attempt)
	entry := attempt.target
	entry.attemptsInProgress--
	entry.resultCounts[kind]++
	t.removeOverdueAttempt(attempt)
	entry.updateUnanswered(now, attempt, kind)
	t.queueNews(entry)
	if kind == Draining {
		t.recordDraining(now, entry)
	}
	if kind == Draining || kind == Shed || kind == Canceled || attempt.voided {
		t.withdraw(now, attempt)
		return
	}
	t.applyResult(now, attempt, kind, elapsed)
}

// applyResult turns the result of an attempt into evidence.
func (t *Tracker) applyResult(now time.Duration, attempt *Attempt, kind Kind, elapsed time.Duration) {
	entry := attempt.target
	suspect := entry.assessment.isSuspect(entry, &attempt.contributed, &t.limits)
	final := attempt.contributed
	failed := kind.Failed()
	final[RuleFailing] = t.failures.evidence(failed && kind != Wrong)
	final[RuleWrong] = t.wrongResponses.evidence(kind == Wrong)
	if !failed && t.reference.hasEnoughSamples() {
		t.applyElapsed(attempt, &final, elapsed)
	}
	entry.dropSlownessWhileRamping(&final)
	t.contribute(now, attempt, &final)
	t.recordTrial(now, entry, !failed)
	if suspect {
		return
	}
	t.failures.observe(failed && kind != Wrong)
	t.wrongResponses.observe(kind == Wrong)
	if !failed {
		t.reference.observe(elapsed)
		t.updateThreshold()
	}
}

// applyElapsed sets the evidence for the service-time rules. An attempt that became
// overdue while other overdue ones held all the target's slots is no evidence
// against it.
func (t *Tracker) applyElapsed(attempt *Attempt, final *Scores, elapsed time.Duration) {
	evidence := &t.reference.finishedEvidence[t.reference.bucket(elapsed)]
	for _, h := range hypotheses {
		final[h.rule] = evidence[h.rule]
		if attempt.overdue && !attempt.occupiesSlot {
			final[h.rule] = min(0, final[h.rule])
		}
	}
}

// dropSlownessWhileRamping drops the evidence for slowness while a target warms up.
func (e *target) dropSlownessWhileRamping(scores *Scores) {
	if !e.assessment.ramping {
		return
	}
	for _, rule := range [...]Rule{RuleSlow, RuleVerySlow, RuleSometimesSlow} {
		scores[rule] = min(0, scores[rule])
	}
}

// contribute replaces the evidence that an attempt has contributed so far.
func (t *Tracker) contribute(now time.Duration, attempt *Attempt, total *Scores) {
	var increments Scores
	for i := range total {
		increments[i] = total[i] - attempt.contributed[i]
	}
	if increments.isZero() {
		return
	}
	attempt.contributed = *total
	entry := attempt.target
	t.applyIncrements(now, entry, t.zone, true, &increments)
	entry.addPending(&increments)
	t.queueNews(entry)
}

// withdraw removes the evidence that an attempt has contributed.
func (t *Tracker) withdraw(now time.Duration, attempt *Attempt) {
	t.contribute(now, attempt, &Scores{})
}

// applyIncrements adds increments to a target's scores and evaluates the target
// when they are high.
func (t *Tracker) applyIncrements(now time.Duration, entry *target, zone int, own bool, increments *Scores) {
	entry.tally.add(zone, own, increments)
	entry.assessment.trialScores.add(increments)
	if !entry.assessment.outOfService() {
		t.trackExcursions(entry)
	}
	if _, share := t.nearestToLimit(&entry.tally.all); share >= reducedShare || entry.assessment.outOfService() || entry.assessment.reduced {
		t.evaluate(now, entry)
	}
}

// updateThreshold sets the threshold and the limits for the rate of observations
// that the median service time allows.
func (t *Tracker) updateThreshold() {
	const defaultObservationsPerSecond = 60.0
	rate := defaultObservationsPerSecond
	if t.reference.hasEnoughSamples() && len(t.targets) > 0 {
		medianNanos := float64(minServiceTime) * exp2(float64(t.reference.medianBucket)/bucketsPerOctave)
		rate = float64(t.targets[0].Slots) * float64(time.Second) / medianNanos
	}
	t.threshold = Threshold(t.config.FalsePerTargetMonth, rate)
	t.limits = t.calibration.limits(t.threshold)
}

// RecordProbe records a probe's result. Probes alone never mark a target faulty or
// clear it; they only add to other evidence.
func (t *Tracker) RecordProbe(now time.Duration, index int, healthy bool) {
	entry := t.targets[index]
	if entry.probeFails != !healthy {
		entry.probeFails = !healthy
		t.markChanged(entry)
	}
	if entry.probeFails {
		t.evaluate(now, entry)
	}
}

// recordDraining records that a target responded that it is draining.
func (t *Tracker) recordDraining(now time.Duration, entry *target) {
	entry.leavingUntil = now + drainingMemory
	t.reconcile(now)
}

// drainingMemory is the time for which a target counts as leaving after it
// responded that it is draining.
const drainingMemory = 2 * time.Second
