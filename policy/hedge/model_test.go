package hedge_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/retry"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// The queue model: one VM that sees the load of all targets and chooses them by
// policy/placement, finds slow ones by policy/suspicion and hedges by policy/hedge and
// policy/retry, as entry/targetset does. Targets have slots and a queue. Links take no time.
const (
	modelTargets, modelSlots = 30, 4
	modelMean                = 200 * time.Millisecond
	// Durations are log-normal with a share from a Pareto tail, as in operator/measure.
	modelSigma, modelTailShare, modelTailAlpha, modelTailStart, modelTailLimit = 0.8, 0.01, 2.2, 4.0, 100.0
	// modelNarrowSigma is that of a route whose requests take similar times, without a tail.
	modelNarrowSigma = 0.35
	// modelCancelSeen is how long a cancelled attempt still holds its slot.
	modelCancelSeen = 50 * time.Millisecond
)

// modelKind is a kind of request.
type modelKind struct {
	name            string
	share           float64
	idempotent      bool
	timeout, useful time.Duration
	priority        int
	latencies       []time.Duration
	arrived, served int
	inTime          int
	hedges          int
}

func modelKinds() []*modelKind {
	return []*modelKind{
		{name: "idempotent", share: 0.4, idempotent: true, timeout: 3 * time.Second, useful: time.Second, priority: 1},
		{name: "once", share: 0.6, timeout: 4 * time.Second, useful: time.Second, priority: 1},
	}
}

type modelTarget struct {
	slow, failing    suspicion.FaultEstimate
	inUse, running   int
	waiting          []*modelAttempt
	lastAttempt      time.Duration
	lastServed, used bool
	slowFactor       float64
	slowShare        float64
}

type modelAttempt struct {
	request                           *modelRequest
	target                            int
	began                             time.Duration
	trial, isHedge, waited            bool
	started, ended, overdue, released bool
}

type modelRequest struct {
	kind    *modelKind
	arrived time.Duration
	first   *modelAttempt
	second  *modelAttempt
	done    bool
	random  *rand.Rand
}

type modelEvent struct {
	at    time.Duration
	order int
	run   func()
}

type modelEvents []modelEvent

func (q modelEvents) Len() int { return len(q) }
func (q modelEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q modelEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelEvents) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model is one run.
type model struct {
	random *rand.Rand
	// arrivalsOf draws the arrivals of each kind and the durations of its requests, which are the same in the runs of all ratios.
	arrivalsOf map[*modelKind]*rand.Rand
	events     modelEvents
	order      int
	now        time.Duration
	settings   hedge.Settings
	load       float64
	measured   time.Duration
	kinds      []*modelKind
	targets    []*modelTarget
	reference  suspicion.Reference
	durations  hedge.Durations
	budget     hedge.Budget
	share      *retry.Share
	explore    float64
	median     float64
	notMade    map[hedge.Reason]int
	// isNarrow makes the durations similar, isHidden keeps slow targets from becoming suspects.
	isNarrow, isHidden bool
}

func newModel(ratio, load float64, seed uint64) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 7)), settings: hedge.Settings{Ratio: ratio, MinDelay: 50 * time.Millisecond}, load: load,
		kinds: modelKinds(), share: retry.NewShare(0.2, 40, 1, 0), arrivalsOf: make(map[*modelKind]*rand.Rand), notMade: make(map[hedge.Reason]int), now: time.Hour,
	}
	m.setMedian()
	for i, kind := range m.kinds {
		m.arrivalsOf[kind] = rand.New(rand.NewPCG(seed, 100+uint64(i)))
	}
	for range modelTargets {
		m.targets = append(m.targets, &modelTarget{
			slow: suspicion.NewFaultEstimate(suspicion.SlowDurations, m.now), failing: suspicion.NewFaultEstimate(suspicion.FailingDurations, m.now),
			slowFactor: 1, lastAttempt: m.now,
		})
	}
	return m
}

// setMedian sets the median of the durations, so that their mean is modelMean.
func (m *model) setMedian() {
	if m.isNarrow {
		m.median = float64(modelMean) / math.Exp(modelNarrowSigma*modelNarrowSigma/2)
		return
	}
	m.median = float64(modelMean) / ((1-modelTailShare)*math.Exp(modelSigma*modelSigma/2) + modelTailShare*modelTailStart*modelTailAlpha/(modelTailAlpha-1))
}

func (m *model) at(at time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, modelEvent{at: at, order: m.order, run: run})
}

// run runs the model until an uptime.
func (m *model) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		next := heap.Pop(&m.events).(modelEvent)
		m.now = next.at
		next.run()
	}
}

// drawFactor returns a duration as a multiple of the median.
func (m *model) drawFactor(random *rand.Rand) float64 {
	if m.isNarrow {
		return math.Exp(modelNarrowSigma * random.NormFloat64())
	}
	if random.Float64() < modelTailShare {
		return modelTailStart * math.Pow(1-random.Float64(), -1/modelTailAlpha)
	}
	return math.Exp(modelSigma * random.NormFloat64())
}

func (m *model) serviceTime(t *modelTarget, random *rand.Rand) time.Duration {
	factor := m.drawFactor(random)
	if t.slowFactor > 1 && random.Float64() < t.slowShare {
		factor *= t.slowFactor
	}
	return time.Duration(m.median * min(factor, modelTailLimit*t.slowFactor))
}

func (m *model) arrive(kind *modelKind) {
	rate := m.load * modelTargets * modelSlots / modelMean.Seconds() * kind.share
	random := m.arrivalsOf[kind]
	m.at(m.now+time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(kind) })
	seeds := [2]uint64{random.Uint64(), random.Uint64()}
	m.budget.Earn(m.settings.Ratio, m.now)
	m.share.Earn(m.now)
	m.explore = min(m.explore+0.05, 6)
	request := &modelRequest{kind: kind, arrived: m.now, random: rand.New(rand.NewPCG(seeds[0], seeds[1]))}
	if m.isMeasured(request) {
		kind.arrived++
	}
	choice := placement.Choose(m.candidates(nil), placement.AttemptRequest{
		Idempotent: kind.idempotent, MayRunTrial: m.share.Available(m.now) >= 2, MayExplore: m.explore >= 1, MayExploreSuspect: m.explore >= 1, MayRetry: true,
		ServiceTime: m.reference.MeanServiceTime(modelMean), QueueServiceTime: m.reference.MeanServiceTime(modelMean),
		Remaining: kind.timeout, UsefulTime: kind.useful, Priority: kind.priority,
	}, m.random)
	if choice.Reason != placement.ReasonNone || choice.Trial && !m.share.Spend(m.now) {
		return
	}
	if choice.Exploratory {
		m.explore--
	}
	request.first = m.begin(request, choice.Index)
	request.first.trial = choice.Trial
	m.at(m.now+kind.timeout, func() { m.timeOut(request) })
	if kind.idempotent && m.durations.Known() && m.settings.Ratio > 0 {
		m.at(m.now+m.durations.Delay(m.settings.MinDelay, true), func() { m.consider(request) })
	}
}

func (m *model) isMeasured(r *modelRequest) bool { return m.measured > 0 && r.arrived >= m.measured }

func (m *model) candidates(without *modelAttempt) []placement.Candidate {
	var candidates []placement.Candidate
	for i, t := range m.targets {
		c := placement.Candidate{
			SameZone: true, Slots: modelSlots, InUse: t.inUse, Failing: t.failing.Probability(m.now), Slow: t.slow.Probability(m.now),
			Unused: !t.used, SinceAttempt: m.now - t.lastAttempt, LastSucceeded: t.lastServed,
		}
		c.Blocked = without != nil && (i == without.target || c.IsSuspect() || c.InUse >= c.Slots)
		candidates = append(candidates, c)
	}
	return candidates
}

func (m *model) begin(request *modelRequest, target int) *modelAttempt {
	t := m.targets[target]
	a := &modelAttempt{request: request, target: target, began: m.now, waited: t.inUse >= modelSlots}
	t.inUse++
	t.used, t.lastAttempt = true, m.now
	if limit := m.reference.Overdue(0); limit > 0 {
		m.at(m.now+limit, func() { m.reportOverdue(a) })
	}
	if t.running < modelSlots {
		m.serve(a)
	} else {
		t.waiting = append(t.waiting, a)
	}
	return a
}

func (m *model) serve(a *modelAttempt) {
	t := m.targets[a.target]
	t.running++
	a.started = true
	m.at(m.now+m.serviceTime(t, a.request.random), func() { m.respond(a) })
}

// release frees the slot of an attempt, or its place in the queue.
func (m *model) release(a *modelAttempt) {
	if a.released {
		return
	}
	a.released = true
	t := m.targets[a.target]
	t.inUse--
	if !a.started {
		t.waiting = slices.DeleteFunc(t.waiting, func(other *modelAttempt) bool { return other == a })
		return
	}
	t.running--
	if len(t.waiting) > 0 {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		m.serve(next)
	}
}

func (m *model) reportOverdue(a *modelAttempt) {
	if !a.ended && !a.waited && !m.isHidden {
		a.overdue = true
		m.targets[a.target].slow.Observe(suspicion.OverdueNats, m.now)
	}
}
