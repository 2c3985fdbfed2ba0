package notice

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

var process = Process{Target: "t", Incarnation: 5}

func limited(perSecond float64) Notice { return Notice{IsLimited: true, RateLimit: perSecond} }

// TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt guards against a limit that is taken
// as lifted because a response arrives late that was sent before the limit was named.
func TestLimitHoldsUntilALaterRequestIsAnsweredWithoutIt(t *testing.T) {
	table := NewTable()
	if change := table.Record(process, limited(2.5), 9*time.Second, 10*time.Second); !change.Limit {
		t.Errorf("a limit was named: %+v", change)
	}
	if change := table.Record(process, Notice{}, 9*time.Second, 11*time.Second); change.Limit || !table.StateOf(process).IsLimited {
		t.Errorf("a response to an earlier request lifted the limit: %+v", change)
	}
	if change := table.Record(process, limited(1.5), 9*time.Second, 12*time.Second); !change.Limit || table.StateOf(process).RateLimit != 1.5 {
		t.Errorf("another limit was named: %+v, state %+v", change, table.StateOf(process))
	}
	if change := table.Record(process, Notice{}, 13*time.Second, 14*time.Second); !change.Limit || table.StateOf(process).IsLimited {
		t.Errorf("a response to a later request did not lift the limit: %+v", change)
	}
}

// TestNoticesBindUntilANewerStart guards against work for a target that has said that it
// leaves, and against holding a newer start for it.
func TestNoticesBindUntilANewerStart(t *testing.T) {
	table := NewTable()
	said := Notice{IsLeaving: true, Pause: time.Minute, IsLimited: true, RateLimit: 1}
	table.Record(process, said, 9*time.Second, 10*time.Second)
	table.Record(process, Notice{}, 11*time.Second, 12*time.Second)
	want := State{IsLeaving: true, PausedUntil: 70 * time.Second}
	for _, same := range []Process{process, {Target: "t"}, {Target: "t", Incarnation: 4}} {
		if got := table.StateOf(same); got != want {
			t.Errorf("state of %+v: %+v, want %+v", same, got, want)
		}
	}
	newer := Process{Target: "t", Incarnation: 6}
	if got := table.StateOf(newer); got != (State{}) {
		t.Errorf("state of the newer start: %+v", got)
	}
	table.Record(newer, limited(3), 13*time.Second, 14*time.Second)
	table.Record(process, said, 13*time.Second, 15*time.Second)
	if got := table.StateOf(newer); got.IsLeaving || got.RateLimit != 3 {
		t.Errorf("state of the newer start after a late response of the older one: %+v", got)
	}
}

func TestLongestPauseHolds(t *testing.T) {
	table := NewTable()
	first := table.Record(process, Notice{Pause: 5 * time.Second}, 0, 10*time.Second)
	second := table.Record(process, Notice{Pause: time.Second}, 0, 11*time.Second)
	if until := table.StateOf(process).PausedUntil; until != 15*time.Second || !first.Paused || second.Paused {
		t.Errorf("paused until %v, changes %+v and %+v", until, first, second)
	}
}

// TestReportsHaveTheSameResultInAnyOrder guards against VMs that keep different limits of
// one target for good.
func TestReportsHaveTheSameResultInAnyOrder(t *testing.T) {
	now := 30 * time.Second
	reports := []Report{
		{Process: process, HasLimitWord: true, IsLimited: true, RateLimit: 2, LimitAt: 20 * time.Second},
		{Process: process, HasLimitWord: true, IsLimited: true, RateLimit: 4, LimitAt: 21 * time.Second},
		{Process: process, HasLimitWord: true, LimitAt: 19 * time.Second},
		{Process: process, IsLeaving: true, LeavingAt: 22 * time.Second},
		{Process: process, IsLeaving: true, LeavingAt: 18 * time.Second},
		{Process: Process{Target: "t", Incarnation: 4}, HasLimitWord: true, IsLimited: true, RateLimit: 9, LimitAt: 25 * time.Second},
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		table := NewTable()
		for _, i := range append(random.Perm(len(reports)), random.Perm(len(reports))...) {
			table.Merge(reports[i], now)
		}
		if got := table.StateOf(process); got != (State{IsLimited: true, RateLimit: 4, IsLeaving: true}) {
			t.Fatalf("state %+v", got)
		}
	}
}

// TestWordDoesNotBecomeLaterOnItsWay guards against two VMs that tell one another an old
// limit again and again, each as a little later, and so outvote that it was lifted.
func TestWordDoesNotBecomeLaterOnItsWay(t *testing.T) {
	one, other := NewTable(), NewTable()
	one.Record(process, Notice{IsLimited: true, RateLimit: 2, IsLeaving: true}, 9*time.Second, 10*time.Second)
	now := 10 * time.Second
	for range 1000 {
		now += 10 * time.Millisecond
		for _, tables := range [][2]*Table{{one, other}, {other, one}} {
			for _, report := range tables[0].Reports(0, now) {
				report.LimitAt += 3 * time.Millisecond
				report.LeavingAt += 3 * time.Millisecond
				tables[1].Merge(report, now)
			}
		}
	}
	reports := one.Reports(0, now)
	if len(reports) != 1 || reports[0].LimitAt > 10*time.Second+lateWord || reports[0].LeavingAt > 10*time.Second+lateWord {
		t.Errorf("reports %+v, want the word of 10 s", reports)
	}
	for _, table := range []*Table{one, other} {
		if table.Expire(10*time.Second + lateWord + memory); len(table.records) > 0 {
			t.Error("a target that says nothing any more is remembered since VMs tell one another of it")
		}
	}
}

func TestReportsTellWhatHasChanged(t *testing.T) {
	table := NewTable()
	table.Record(process, limited(2), 9*time.Second, 10*time.Second)
	table.Record(Process{Target: "a"}, Notice{IsLeaving: true}, 11*time.Second, 12*time.Second)
	table.Record(Process{Target: "b"}, Notice{Pause: time.Second}, 11*time.Second, 12*time.Second)
	targets := func(reports []Report) (names []string) {
		for _, report := range reports {
			names = append(names, report.Process.Target)
		}
		return names
	}
	if got := targets(table.Reports(0, 13*time.Second)); !reflect.DeepEqual(got, []string{"a", "t"}) {
		t.Errorf("all reports: %v", got)
	}
	if got := targets(table.Reports(11*time.Second, 13*time.Second)); !reflect.DeepEqual(got, []string{"a"}) {
		t.Errorf("reports since 11 s: %v", got)
	}
	table.Record(process, Notice{}, 13*time.Second, 14*time.Second)
	if got := targets(table.Reports(13*time.Second, 15*time.Second)); !reflect.DeepEqual(got, []string{"t"}) {
		t.Errorf("reports of a lifted limit: %v", got)
	}
	table.Record(process, Notice{}, 16*time.Second, 17*time.Second)
	if got := targets(table.Reports(0, 14*time.Second+liftedMemory)); !reflect.DeepEqual(got, []string{"a"}) {
		t.Errorf("reports long after: %v", got)
	}
	table.Expire(14*time.Second + memory)
	if len(table.records) != 0 {
		t.Errorf("%d targets are still known", len(table.records))
	}
}

func TestValidRateLimit(t *testing.T) {
	for value, want := range map[float64]bool{0: true, 2.5: true, -1: false, math.Inf(1): false} {
		if got := ValidRateLimit(value); got != want {
			t.Errorf("%v: %v, want %v", value, got, want)
		}
	}
	if ValidRateLimit(math.NaN()) {
		t.Error("NaN is a rate limit")
	}
}
