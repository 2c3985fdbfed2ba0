package targets

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/balance"
)

// judge decides from evidence how much work each target of a service gets.
// The service's lock is held during each call.
type judge interface {
	// Configure replaces the targets; those that stay keep their evidence.
	Configure(now time.Time, targets []string)
	Started(now time.Time, target string, attempt uint64, idempotent bool)
	Ended(now time.Time, target string, attempt uint64, result contract.AttemptResult)
	// Probed hands over the answer of a target's health endpoint.
	Probed(now time.Time, target string, healthy bool)
	// Tick does periodic work.
	Tick(now time.Time)
	// Condition returns the share of work that a target gets.
	Condition(target string) balance.Condition
	// Explain tells why a target is in its state.
	Explain(now time.Time, target string) contract.Finding
}

const (
	naiveFailures = 5
	naiveRest     = 30 * time.Second
)

// naiveJudge takes a target out for naiveRest after naiveFailures in a row,
// as long as at least half of the targets stay.
type naiveJudge struct {
	targets map[string]*naiveState
}

type naiveState struct {
	failures int
	out      bool
	since    time.Time
}

func newNaiveJudge() *naiveJudge { return &naiveJudge{targets: make(map[string]*naiveState)} }

func (j *naiveJudge) Configure(_ time.Time, targets []string) {
	old := j.targets
	j.targets = make(map[string]*naiveState, len(targets))
	for _, name := range targets {
		j.targets[name] = &naiveState{}
		if state, ok := old[name]; ok {
			j.targets[name] = state
		}
	}
}

func (j *naiveJudge) Started(time.Time, string, uint64, bool) {}

func (j *naiveJudge) Ended(now time.Time, target string, _ uint64, result contract.AttemptResult) {
	state, ok := j.targets[target]
	if !ok || !isEvidence(result.Kind) {
		return
	}
	if result.Kind == contract.AttemptSucceeded {
		state.failures = 0
		return
	}
	state.failures++
	if state.failures >= naiveFailures && !state.out && j.spare() {
		state.out, state.since = true, now
	}
}

func (j *naiveJudge) Probed(time.Time, string, bool) {}

func (j *naiveJudge) Tick(now time.Time) {
	for _, state := range j.targets {
		if state.out && now.Sub(state.since) >= naiveRest {
			*state = naiveState{}
		}
	}
}

func (j *naiveJudge) Condition(target string) balance.Condition {
	if state, ok := j.targets[target]; ok && state.out {
		return balance.Condition{}
	}
	return balance.Condition{Weight: 1}
}

func (j *naiveJudge) Explain(_ time.Time, target string) contract.Finding {
	finding := contract.Finding{Decision: "in service", Rule: "five failures in a row"}
	if state, ok := j.targets[target]; ok && state.out {
		finding.Decision, finding.Since = "ejected", state.since
		finding.Next = "in service again " + state.since.Add(naiveRest).Format(time.RFC3339)
	}
	return finding
}

func (j *naiveJudge) spare() bool {
	in := 0
	for _, state := range j.targets {
		if !state.out {
			in++
		}
	}
	return 2*(in-1) >= len(j.targets)
}

// isEvidence reports whether an attempt's end tells about the target's health.
func isEvidence(kind contract.AttemptKind) bool {
	switch kind {
	case contract.AttemptShed, contract.AttemptDraining, contract.AttemptCanceled:
		return false
	}
	return true
}
