package proxy

import (
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// hopeful says not_run of a request whose connection was lost.
type hopeful struct{ dispatch.Rules }

func (hopeful) EvaluateFailure(facts dispatch.FailedAttempt) dispatch.FailureDecision {
	verdict := dispatch.Rules{}.EvaluateFailure(facts)
	if facts.Failure == dispatch.FailureReset {
		verdict.Outcome = outcome.NotRun
	}
	return verdict
}

// eager retries whatever may be retried in time.
type eager struct{ dispatch.Rules }

func (eager) EvaluateFailure(facts dispatch.FailedAttempt) dispatch.FailureDecision {
	facts.Idempotent = true
	return dispatch.Rules{}.EvaluateFailure(facts)
}

// shortsighted tells only of the last attempt.
type shortsighted struct{ dispatch.Rules }

func (shortsighted) Combine(_ bool, last outcome.Outcome) outcome.Outcome { return last }

// gullible takes any answer for the right one.
type gullible struct{ dispatch.Rules }

func (gullible) Correlates(string, []string) bool { return true }

// unguarded writes at any time.
type unguarded struct{ dispatch.Rules }

func (unguarded) CheckWrite(*dispatch.Key, time.Duration, time.Duration) error { return nil }

// forgetful keeps no record of a run that has ended.
type forgetful struct{ dispatch.Table }

func (f forgetful) End(id dispatch.ID, _ dispatch.RunResult, uptime time.Duration) {
	f.Table.End(id, dispatch.RunResult{Outcome: outcome.NotRun}, uptime)
}

// timeless takes the keys of all windows for ones of the first.
type timeless struct{ dispatch.Table }

func (f timeless) Begin(id dispatch.ID, digest dispatch.Digest, uptime time.Duration) dispatch.Decision {
	id.Key.Window = dispatch.WindowAt(uptime)
	return f.Table.Begin(id, digest, uptime)
}

func (f timeless) End(id dispatch.ID, ending dispatch.RunResult, uptime time.Duration) {
	id.Key.Window = dispatch.WindowAt(uptime)
	f.Table.End(id, ending, uptime)
}

// lax never quarantines.
type lax struct{ *quarantine.Table }

func (lax) Admit(quarantine.Fingerprint, time.Duration, time.Duration) quarantine.Decision {
	return quarantine.Decision{Action: quarantine.ActionRun}
}

// mutations break one promise each.
var mutations = []mutation{
	{name: "a lost connection is told as not run", options: func(o *Options) { o.Deciders.Failures = hopeful{} }},
	{name: "bookings are retried", options: func(o *Options) { o.Deciders.Failures = eager{} }},
	{name: "earlier attempts are forgotten", options: func(o *Options) { o.Deciders.Failures = shortsighted{} }},
	{name: "foreign answers are believed", options: func(o *Options) { o.Deciders.Failures = gullible{} }},
	{name: "late writes are allowed", options: func(o *Options) { o.Deciders.Writes = unguarded{} }},
	{name: "keys are forgotten", options: func(o *Options) {
		o.Deciders.Records = forgetful{dispatch.NewRecords(dispatch.DefaultLimits())}
	}},
	{name: "windows never close", options: func(o *Options) {
		o.Deciders.Records = timeless{dispatch.NewRecords(dispatch.DefaultLimits())}
	}},
	{name: "a replaced VM dispatches old keys", sameInstance: true},
	{name: "poison requests are not held", options: func(o *Options) { o.Deciders.Quarantine = lax{quarantine.NewTable()} }},
	{name: "truncated answers are taken for whole", lenient: true},
	{name: "deadlines are not read", noDeadline: true},
	{name: "pauses are not noticed", noWatch: true},
}

// TestFuzzNoticesEachBrokenPromise breaks one promise at a time in the
// decisions or at the connection, and expects the fuzz to fail.
func TestFuzzNoticesEachBrokenPromise(t *testing.T) {
	const rounds, runs = 10, 30
	for _, broken := range mutations {
		t.Run(broken.name, func(t *testing.T) {
			for seed := range int64(rounds) {
				if _, _, violations := fuzz(t, 100+seed, runs, broken); len(violations) > 0 {
					t.Logf("seed %d: %s", 100+seed, violations[0])
					return
				}
			}
			t.Errorf("not noticed in %d sequences", rounds*runs)
		})
	}
}
