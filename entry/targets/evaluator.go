package targets

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/health"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// urgentNats is the increase of an evidence score at which news is sent at once.
const urgentNats = 1.0

// evaluator decides from evidence how much work each target of a service gets.
// The service's lock must be held during each call.
type evaluator struct {
	tracker  *health.Tracker
	start    time.Time
	zone     string
	attempts map[uint64]*health.Attempt
}

// newEvaluator returns an evaluator without targets for a VM in a zone.
func newEvaluator(vm, zone string, rng *rand.Rand) *evaluator {
	config := health.Config{VM: vm, Zone: zone, Zones: []string{zone}, VMs: 1, Random: rng}
	return &evaluator{
		tracker: health.New(config), start: time.Now(), zone: zone,
		attempts: make(map[uint64]*health.Attempt),
	}
}

// trackerTime converts a time to the tracker's clock, which starts with the
// evaluator.
func (ev *evaluator) trackerTime(now time.Time) time.Duration { return now.Sub(ev.start) }

// configure applies a service's definition. Targets that remain keep their
// evidence.
func (ev *evaluator) configure(now time.Time, definition *document.Service, vms int) {
	targets := make([]health.Target, 0, len(definition.Targets))
	for _, t := range definition.Targets {
		targets = append(targets, health.Target{Name: t.Name, Slots: definition.Slots, Leaving: t.Leaving})
	}
	ev.tracker.SetVMCount(vms)
	ev.tracker.Configure(ev.trackerTime(now), targets)
	ev.tracker.SetFloor(ev.trackerTime(now), definition.FloorSlots, definition.Detection.FalseEjectionsPerTargetMonth)
}

func (ev *evaluator) startAttempt(now time.Time, target string, attempt uint64) {
	if index, ok := ev.tracker.Index(target); ok {
		ev.attempts[attempt] = ev.tracker.StartAttempt(ev.trackerTime(now), index)
	}
}

func (ev *evaluator) endAttempt(now time.Time, attempt uint64, result contract.AttemptResult) {
	if started, ok := ev.attempts[attempt]; ok {
		ev.tracker.EndAttempt(ev.trackerTime(now), started, health.Kind(result.Kind), result.Total)
		delete(ev.attempts, attempt)
	}
}

// recordProbe passes the result of a health probe of a target to the tracker.
func (ev *evaluator) recordProbe(now time.Time, target string, healthy bool) {
	if index, ok := ev.tracker.Index(target); ok {
		ev.tracker.RecordProbe(ev.trackerTime(now), index, healthy)
	}
}

func (ev *evaluator) tick(now time.Time) { ev.tracker.Tick(ev.trackerTime(now)) }

// forEachCondition calls a function with the condition of each target.
func (ev *evaluator) forEachCondition(names []string, apply func(name string, condition balance.Condition)) {
	trials := ev.tracker.Weights(true)
	ordinary := ev.tracker.Weights(false)
	for i, name := range names {
		apply(name, balance.Condition{Weight: trials[i], TrialsOnly: ordinary[i] <= 0})
	}
}

// nextTrial returns a target that is due for a trial with an idempotent request.
func (ev *evaluator) nextTrial(now time.Time, names []string) (string, bool) {
	index, ok := ev.tracker.NextTrial(ev.trackerTime(now))
	if !ok {
		return "", false
	}
	return names[index], true
}

// pendingNews returns the evidence that the other VMs do not have yet, and
// whether it must be sent at once.
func (ev *evaluator) pendingNews(now time.Time) (item *primroseloomv1.HealthNews, urgent bool) {
	news, ok := ev.tracker.TakeNews(ev.trackerTime(now))
	if !ok {
		return nil, false
	}
	item = &primroseloomv1.HealthNews{}
	for _, e := range news.Evidence {
		item.Evidence = append(item.Evidence, &primroseloomv1.HealthEvidence{
			Target: e.Target, Zone: e.Zone, Increments: e.Increments[:], Old: uint32(e.OldAttempts),
			Trials: uint32(e.GoodTrials), Ejected: e.Ejected, Returned: e.Returned, ProbeBad: e.ProbesFail,
		})
		urgent = urgent || e.Ejected || e.Returned || e.OldAttempts > 0 || slices.Max(e.Increments[:]) >= urgentNats
	}
	for _, c := range news.Times {
		item.Times = append(item.Times, &primroseloomv1.TimeCount{Bucket: uint32(c.Bucket), Count: c.Count})
	}
	return item, urgent
}

// receive applies another VM's evidence.
func (ev *evaluator) receive(now time.Time, vm string, item *primroseloomv1.HealthNews) {
	var news health.News
	for _, e := range item.Evidence {
		evidence := health.Evidence{
			Target: e.Target, VM: vm, Zone: e.Zone, OldAttempts: int(e.Old), GoodTrials: int(e.Trials),
			Ejected: e.Ejected, Returned: e.Returned, ProbesFail: e.ProbeBad,
		}
		copy(evidence.Increments[:], e.Increments)
		news.Evidence = append(news.Evidence, evidence)
	}
	for _, c := range item.Times {
		news.Times = append(news.Times, health.TimeCount{Bucket: int(c.Bucket), Count: c.Count})
	}
	ev.tracker.ReceiveNews(ev.trackerTime(now), &news)
}

// state returns a target's health state, or health.Leaving for an unknown
// target.
func (ev *evaluator) state(target string) health.State {
	if index, ok := ev.tracker.Index(target); ok {
		return ev.tracker.State(index)
	}
	return health.Leaving
}

// explain returns the findings behind the state of a target.
func (ev *evaluator) explain(subject, target string) []contract.Finding {
	var findings []contract.Finding
	for _, f := range ev.tracker.Explain(target) {
		findings = append(findings, contract.Finding{
			Subject: subject, Decision: f.Decision, Rule: f.Rule, Evidence: f.Evidence, SeenBy: f.SeenBy,
			Since: ev.start.Add(f.Since), Next: f.Next,
		})
	}
	if len(findings) == 0 {
		state := strings.ReplaceAll(string(ev.state(target)), "_", " ")
		findings = append(findings, contract.Finding{Subject: subject, Decision: fmt.Sprintf("%s since start", state), Since: ev.start})
	}
	return findings
}
