package soak

import (
	"testing"
	"time"
)

// TestJudgeNoticesEachBrokenPromise breaks one promise a row, in what callers and
// targets saw, and keeps it in the row after.
func TestJudgeNoticesEachBrokenPromise(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	booking := attempt{id: "a", version: 1, once: true, sent: at(20), ended: at(20.1), status: statusServed, timeout: routeTimeout}
	with := func(change func(*attempt)) attempt {
		a := booking
		change(&a)
		return a
	}
	ranOnce := func(j *judge) { j.ran(run{attempt: "a", target: "t", at: at(20.05)}) }
	for _, c := range []struct {
		name string
		a    attempt
		more func(j *judge)
		want Promise
	}{
		{"served", booking, ranOnce, ""},
		{"ran twice", booking, func(j *judge) { ranOnce(j); ranOnce(j) }, PromiseAtMostOnce},
		{"idempotent, ran twice", with(func(a *attempt) { a.once = false }), func(j *judge) { ranOnce(j); ranOnce(j) }, ""},
		{"refused and ran", with(func(a *attempt) { a.status = 503 }), ranOnce, PromiseNotRun},
		{"refused", with(func(a *attempt) { a.status = 503 }), func(*judge) {}, ""},
		{"failed and ran", with(func(a *attempt) { a.status = 502 }), ranOnce, ""},
		{"somebody else's answer", with(func(a *attempt) { a.broken = true }), ranOnce, PromiseCompleteResponse},
		{"answered late", with(func(a *attempt) { a.ended = at(23) }), ranOnce, PromiseResponseInTime},
		{"answered late by a VM that was paused", with(func(a *attempt) { a.ended = at(23) }),
			func(j *judge) { ranOnce(j); j.disturb(0, at(21), at(22)) }, ""},
		{"answered late soon after a pause", with(func(a *attempt) { a.ended = at(23) }),
			func(j *judge) { ranOnce(j); j.disturb(0, at(17), at(18)) }, ""},
		{"answered late long after a pause", with(func(a *attempt) { a.ended = at(23) }),
			func(j *judge) { ranOnce(j); j.disturb(0, at(10), at(11)) }, PromiseResponseInTime},
		{"route missing", with(func(a *attempt) { a.status = statusNoRoute }), func(*judge) {}, PromiseConfigInForce},
		{"route missing at first", with(func(a *attempt) { a.status = statusNoRoute }),
			func(j *judge) { j.publishedVersion(1, at(19)) }, ""},
		{"served by a dropped route", booking, func(j *judge) { ranOnce(j); j.publishedVersion(2, at(10)) }, PromiseConfigInForce},
		{"served by a route just dropped", booking, func(j *judge) { ranOnce(j); j.publishedVersion(2, at(19)) }, ""},
		{"served after a newer version", booking, func(j *judge) {
			ranOnce(j)
			j.publishedVersion(2, at(18.5))
			j.ended(with(func(a *attempt) { a.id, a.version, a.sent, a.ended = "b", 2, at(19), at(19.1) }))
		}, PromiseNoConfigRollback},
		{"leaving target", booking, func(j *judge) { ranOnce(j); j.draining("t", at(17)) }, PromiseDrain},
		{"target that began to leave", booking, func(j *judge) { ranOnce(j); j.draining("t", at(19)) }, ""},
		{"cut by a planned stop", with(func(a *attempt) { a.status = 0 }),
			func(j *judge) { ranOnce(j); j.stopped(0, at(19), at(24)) }, PromisePlannedStop},
		{"cut by a kill", with(func(a *attempt) { a.status = 0 }),
			func(j *judge) { ranOnce(j); j.stopped(0, at(19), at(24)); j.disturb(0, at(20), at(21)) }, ""},
		{"daemon ended", booking, func(j *judge) { ranOnce(j); j.exited(0, at(20), nil) }, PromiseNoUnexpectedExit},
		{"nothing served after the faults", with(func(a *attempt) { a.status = 502 }),
			func(j *judge) { ranOnce(j); j.faultsEnded(at(10)) }, PromiseRecovered},
	} {
		j := newJudge(start)
		j.publishedVersion(1, at(1))
		j.faultsEnded(at(30))
		j.ended(servedAfterwards(at(40)))
		c.more(j)
		j.ended(c.a)
		got := j.judge(true)
		if c.want == "" && len(got) > 0 {
			t.Errorf("%s: %v", c.name, got)
		}
		if c.want != "" && (len(got) != 1 || got[0].Promise != c.want) {
			t.Errorf("%s: want %q, got %v", c.name, c.want, got)
		}
	}
}

// servedAfterwards is a request that is served once the faults are over, by a
// version that stays the newest.
func servedAfterwards(at time.Time) attempt {
	return attempt{id: "after", vm: 1, version: 9, sent: at, ended: at.Add(time.Millisecond), status: statusServed, timeout: routeTimeout}
}

func TestTimesAreLeftOutWithoutBounds(t *testing.T) {
	j := newJudge(time.Now())
	j.ended(attempt{id: "a", status: 503, sent: j.start, ended: j.start.Add(time.Minute)})
	j.ran(run{attempt: "a"})
	got := j.judge(false)
	if len(got) != 1 || got[0].Promise != PromiseNotRun {
		t.Errorf("got %v", got)
	}
}
