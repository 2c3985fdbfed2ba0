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

// urgentNats is the change of a score from which news goes at once.
const urgentNats = 1.0

// judge decides from evidence how much work each target of a service gets. The
// service's lock is held during each call.
type judge struct {
	tracker  *health.Tracker
	start    time.Time
	zone     string
	attempts map[uint64]*health.Attempt
}

// newJudge returns a judge without targets for a VM in a zone.
func newJudge(vm, zone string, rng *rand.Rand) *judge {
	config := health.Config{VM: vm, Zone: zone, Zones: []string{zone}, VMs: 1, Random: rng}
	return &judge{
		tracker: health.New(config), start: time.Now(), zone: zone,
		attempts: make(map[uint64]*health.Attempt),
	}
}

// since converts to the tracker's clock.
func (j *judge) since(now time.Time) time.Duration { return now.Sub(j.start) }

// configure takes over a service's definition; targets that stay keep their
// evidence.
func (j *judge) configure(now time.Time, definition *document.Service, vms int) {
	targets := make([]health.Target, 0, len(definition.Targets))
	for _, t := range definition.Targets {
		targets = append(targets, health.Target{Name: t.Name, Slots: definition.Slots, Leaving: t.Leaving})
	}
	j.tracker.SetVMCount(vms)
	j.tracker.Configure(j.since(now), targets)
	j.tracker.SetFloor(j.since(now), definition.FloorSlots, definition.Detection.FalseEjectionsPerTargetMonth)
}

func (j *judge) started(now time.Time, target string, attempt uint64) {
	if index, ok := j.tracker.Index(target); ok {
		j.attempts[attempt] = j.tracker.StartAttempt(j.since(now), index)
	}
}

func (j *judge) ended(now time.Time, attempt uint64, result contract.AttemptResult) {
	if started, ok := j.attempts[attempt]; ok {
		j.tracker.EndAttempt(j.since(now), started, health.Kind(result.Kind), result.Total)
		delete(j.attempts, attempt)
	}
}

// probed hands over the answer of a target's health endpoint.
func (j *judge) probed(now time.Time, target string, healthy bool) {
	if index, ok := j.tracker.Index(target); ok {
		j.tracker.RecordProbe(j.since(now), index, healthy)
	}
}

func (j *judge) tick(now time.Time) { j.tracker.Tick(j.since(now)) }

// conditions passes each target's share of work to a function.
func (j *judge) conditions(names []string, apply func(name string, condition balance.Condition)) {
	trials := j.tracker.Weights(true)
	ordinary := j.tracker.Weights(false)
	for i, name := range names {
		apply(name, balance.Condition{Weight: trials[i], TrialsOnly: ordinary[i] <= 0})
	}
}

// trial returns a target that wants an idempotent request as a trial now.
func (j *judge) trial(now time.Time, names []string) (string, bool) {
	index, ok := j.tracker.NextTrial(j.since(now))
	if !ok {
		return "", false
	}
	return names[index], true
}

// news returns what the other VMs are to hear, and whether at once.
func (j *judge) news(now time.Time) (item *primroseloomv1.HealthNews, urgent bool) {
	told, ok := j.tracker.TakeNews(j.since(now))
	if !ok {
		return nil, false
	}
	item = &primroseloomv1.HealthNews{}
	for _, e := range told.Evidence {
		item.Evidence = append(item.Evidence, &primroseloomv1.HealthEvidence{
			Target: e.Target, Zone: e.Zone, Increments: e.Increments[:], Old: uint32(e.OldAttempts),
			Trials: uint32(e.GoodTrials), Ejected: e.Ejected, Returned: e.Returned, ProbeBad: e.ProbesFail,
		})
		urgent = urgent || e.Ejected || e.Returned || e.OldAttempts > 0 || slices.Max(e.Increments[:]) >= urgentNats
	}
	for _, c := range told.Times {
		item.Times = append(item.Times, &primroseloomv1.TimeCount{Bucket: uint32(c.Bucket), Count: c.Count})
	}
	return item, urgent
}

// receive takes over another VM's news.
func (j *judge) receive(now time.Time, vm string, item *primroseloomv1.HealthNews) {
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
	j.tracker.ReceiveNews(j.since(now), &news)
}

// state returns what the VM makes of a target.
func (j *judge) state(target string) health.State {
	if index, ok := j.tracker.Index(target); ok {
		return j.tracker.State(index)
	}
	return health.Leaving
}

// explain tells why a target is in its state.
func (j *judge) explain(subject, target string) []contract.Finding {
	var findings []contract.Finding
	for _, f := range j.tracker.Explain(target) {
		findings = append(findings, contract.Finding{
			Subject: subject, Decision: f.Decision, Rule: f.Rule, Evidence: f.Evidence, SeenBy: f.SeenBy,
			Since: j.start.Add(f.Since), Next: f.Next,
		})
	}
	if len(findings) == 0 {
		state := strings.ReplaceAll(string(j.state(target)), "_", " ")
		findings = append(findings, contract.Finding{Subject: subject, Decision: fmt.Sprintf("%s since start", state), Since: j.start})
	}
	return findings
}
