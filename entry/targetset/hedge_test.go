package targetset

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

const (
	hedgeRatio, hedgeFloor = 0.1, 20 * time.Millisecond
	// usualTime is the duration of attempts in the tests of hedging.
	usualTime = 100 * time.Millisecond
)

// newHedgeFixture returns a fixture whose route is measured and whose budgets allow a hedge. The
// durations of attempts are around usualTime.
func newHedgeFixture(t *testing.T, targets int) *fixture {
	t.Helper()
	f := newFixture(targets)
	f.SetHedging(hedge.Settings{Ratio: hedgeRatio, MinDelay: hedgeFloor})
	for i := range 200 {
		f.RequestArrived("s")
		attempt := f.begin(t, wanted(routing.KindIdempotent))
		f.now += usualTime*8/10 + usualTime*4/10*time.Duration(i%10)/10
		attempt.Done(served())
	}
	return f
}

// slowFirst returns an attempt that has run for five times the usual time.
func (f *fixture) slowFirst(t *testing.T) *Attempt {
	t.Helper()
	first := f.begin(t, wanted(routing.KindIdempotent))
	f.now += 5 * usualTime
	return first
}

// TestHedgeTarget guards against hedges that take the slot of a request that waits, go to a target
// that is no help, or go beyond the rules of the service.
func TestHedgeTarget(t *testing.T) {
	others := func(f *fixture, first *Attempt, change func(t *target)) {
		for _, t := range f.targets {
			if t.info.ID != first.ID() {
				change(t)
			}
		}
	}
	for name, c := range map[string]struct {
		change func(f *fixture, first *Attempt)
		want   hedge.Reason
	}{
		"others are free": {func(*fixture, *Attempt) {}, hedge.Allowed},
		"others are full": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.remoteAttempts = 2 })
		}, hedge.NoTarget},
		"requests wait at another": {func(f *fixture, first *Attempt) {
			f.targets[otherThan(first)].remoteAttempts = 3
		}, hedge.RequestsWait},
		"a target says that requests wait": {func(f *fixture, first *Attempt) {
			other := f.targets[otherThan(first)]
			other.load, other.loadAt = dialect.Load{Running: 1, Waiting: 1, Slots: 2}, f.now
		}, hedge.RequestsWait},
		"others are suspects": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.failing.Observe(10, f.now) })
		}, hedge.NoTarget},
		"others are slow": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.slow.Observe(10, f.now) })
		}, hedge.NoTarget},
		"others refuse requests": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.shedding.Observe(10, f.now) })
		}, hedge.NoTarget},
		"others warm up": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.info.WarmUntil = f.now + time.Second })
		}, hedge.NoTarget},
		"others are not reachable": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.unreachable = true })
		}, hedge.NoTarget},
		"others leave": {func(f *fixture, first *Attempt) {
			others(f, first, func(t *target) { t.removed = true })
		}, hedge.NoTarget},
		"hedging budget spent": {func(f *fixture, _ *Attempt) {
			for f.services["s"].hedging.budget.Spend(hedgeRatio, f.now) {
			}
		}, hedge.BudgetSpent},
		"retries need the budget": {func(f *fixture, _ *Attempt) {
			for f.services["s"].budget.SpendSurplus(f.now) {
			}
		}, hedge.RetryBudget},
		"switched off meanwhile": {func(f *fixture, _ *Attempt) { f.SetHedging(hedge.Settings{}) }, hedge.Off},
	} {
		f := newHedgeFixture(t, 4)
		first := f.slowFirst(t)
		c.change(f, first)
		got := f.Hedge(first, wanted(routing.KindIdempotent))
		if c.want == hedge.NoTarget && got.Reason == hedge.NoRoom {
			got.Reason = hedge.NoTarget // both mean that no sound target has a slot to spare
		}
		if got.Reason != c.want || (got.Second != nil) != (c.want == hedge.Allowed) {
			t.Errorf("%s: %s, want %s", name, got.Reason, c.want)
		}
		if got.Second != nil && got.Second.ID() == first.ID() {
			t.Errorf("%s: the hedge went to the same target", name)
		}
		if got.Again > 100*time.Millisecond {
			t.Errorf("%s: asked again after %v", name, got.Again)
		}
	}
}

// otherThan returns the name of a target other than that of the attempt.
func otherThan(a *Attempt) string {
	if a.ID() == "t0" {
		return "t1"
	}
	return "t0"
}

// TestRequestsAtSuspectsAreNoReasonAgainstHedges guards against a target that hangs and thereby
// keeps the requests that wait at it from being hedged.
func TestRequestsAtSuspectsAreNoReasonAgainstHedges(t *testing.T) {
	f := newHedgeFixture(t, 4)
	first := f.slowFirst(t)
	first.target.slow.Observe(10, f.now)
	first.target.remoteAttempts = 5
	if got := f.Hedge(first, wanted(routing.KindIdempotent)); got.Reason != hedge.Allowed {
		t.Errorf("not hedged: %s", got.Reason)
	}
}

// TestHedgeGoesToAnotherZoneWithoutASoundTargetInItsOwn guards against requests without a hedge in
// a zone whose other targets are suspects.
func TestHedgeGoesToAnotherZoneWithoutASoundTargetInItsOwn(t *testing.T) {
	f := newHedgeFixture(t, 4)
	first := f.slowFirst(t)
	other := otherThan(first)
	for id, target := range f.targets {
		switch {
		case id == other:
			target.info.Zone = "z2"
		case id != first.ID():
			target.slow.Observe(10, f.now)
		}
	}
	if got := f.Hedge(first, wanted(routing.KindIdempotent)); got.Second == nil || got.Second.ID() != other {
		t.Errorf("not hedged in the other zone: %s", got.Reason)
	}
}

// TestHedgingStopsUnderLoadAtOnce guards against hedges that take the slots which requests need:
// from the moment that other VMs fill the service, none begins.
func TestHedgingStopsUnderLoadAtOnce(t *testing.T) {
	f := newHedgeFixture(t, 20)
	first := f.slowFirst(t)
	inUse := make(map[string]int)
	for i := range 20 {
		inUse["t"+strconv.Itoa(i)] = 2
	}
	f.SetInProgress("vm-2", inUse)
	got := f.Hedge(first, wanted(routing.KindIdempotent))
	if got.Second != nil || got.Again == 0 || got.Again > 100*time.Millisecond {
		t.Errorf("hedge under load: %+v", got)
	}
	f.SetInProgress("vm-2", nil)
	if got = f.Hedge(first, wanted(routing.KindIdempotent)); got.Second == nil {
		t.Errorf("no hedge after the load: %s", got.Reason)
	}
}

// TestHedgeComesEarlierAtASuspect guards against a wait for the 95th percentile at a target of
// which others have found that it is slow.
func TestHedgeComesEarlierAtASuspect(t *testing.T) {
	f := newHedgeFixture(t, 4)
	first := f.begin(t, wanted(routing.KindIdempotent))
	f.now += f.HedgeAfter(first)
	if got := f.Hedge(first, wanted(routing.KindIdempotent)); got.Reason != hedge.TooEarly || got.Again == 0 {
		t.Errorf("at a sound target after the median: %+v", got)
	}
	for range 4 {
		f.Observed("vm-2", evidence.AttemptEvidence{Target: first.ID(), SlowNats: suspicion.OverdueNats})
	}
	if got := f.Hedge(first, wanted(routing.KindIdempotent)); got.Reason != hedge.Allowed {
		t.Errorf("at a suspect after the median: %+v", got)
	}
}

// TestFewDurationsGiveNoHedge guards against hedges by a guess.
func TestFewDurationsGiveNoHedge(t *testing.T) {
	f := newFixture(4)
	f.SetHedging(hedge.Settings{Ratio: hedgeRatio, MinDelay: hedgeFloor})
	if after := f.HedgeAfter(f.begin(t, wanted(routing.KindIdempotent))); after != 0 {
		t.Errorf("considered after %v", after)
	}
}

// cancelled is the result of an attempt that was outrun before its response.
func cancelled(a *Attempt) Result {
	return Result{
		End: suspicion.ResultNeutral, Sent: true,
		Err: &contract.RoundTripError{Kind: contract.AttemptCanceled, Target: a.ID()},
	}
}

// TestLoserIsEvidence guards against slow targets that hedges hide, and against sound ones that
// become suspects because an attempt was cancelled.
func TestLoserIsEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		ran      time.Duration
		slow     bool
		isSecond bool
	}{
		"slow first attempt":      {6 * usualTime, true, false},
		"usual first attempt":     {usualTime, false, false},
		"slow second attempt":     {6 * usualTime, true, true},
		"cancelled at the begin":  {0, false, true},
		"cancelled before usual":  {usualTime / 2, false, true},
		"somewhat slow, not much": {usualTime * 3 / 2, false, false},
	} {
		f := newHedgeFixture(t, 4)
		loser := f.begin(t, wanted(routing.KindIdempotent))
		if c.isSecond {
			f.now += 2 * usualTime
			first := loser
			loser = f.Hedge(first, wanted(routing.KindIdempotent)).Second
			first.Done(served())
		}
		f.now += c.ran
		loser.Supersede()
		published := len(f.notifier.outcomes)
		loser.Done(cancelled(loser))
		got := f.notifier.outcomes[published]
		if got.FailureNats != 0 || (got.SlowNats > 0) != c.slow || got.SlowNats < 0 {
			t.Errorf("%s: evidence %+v", name, got)
		}
	}
}

// TestSlowTargetIsFoundDespiteHedges guards against a slow target whose attempts are all cancelled
// before they end: it must become a suspect after as few attempts as without hedges.
func TestSlowTargetIsFoundDespiteHedges(t *testing.T) { synctest.Test(t, slowTargetIsFound) }

func slowTargetIsFound(t *testing.T) {
	attemptsToSuspicion := func(finish func(f *fixture, a *Attempt)) int {
		f := newHedgeFixture(t, 1)
		for count := 1; count <= 20; count++ {
			a := f.begin(t, wanted(routing.KindIdempotent))
			finish(f, a)
			if a.target.suspect(f.now) {
				return count
			}
		}
		return 1000
	}
	plain := attemptsToSuspicion(func(f *fixture, a *Attempt) {
		f.now += 10 * usualTime
		a.Done(served())
	})
	hedged := attemptsToSuspicion(func(f *fixture, a *Attempt) {
		f.now += 12 * usualTime / 10 // the delay
		f.now += usualTime
		a.Supersede()
		a.Done(cancelled(a))
		time.Sleep(2 * cancelSeenTime) // its slot is free again
	})
	if hedged > plain+1 || plain == 1000 {
		t.Errorf("suspect after %d hedged attempts, %d without hedges", hedged, plain)
	}
}

// TestHedgesLeaveRetriesTheirBudget guards against failures without a retry because hedges have
// used what the service may repeat.
func TestHedgesLeaveRetriesTheirBudget(t *testing.T) { synctest.Test(t, retriesKeepTheirBudget) }

func retriesKeepTheirBudget(t *testing.T) {
	f := newHedgeFixture(t, 4)
	before := f.services["s"].budget.Available(f.now)
	hedges := 0
	for range 100 {
		first := f.slowFirst(t)
		if second := f.Hedge(first, wanted(routing.KindIdempotent)).Second; second != nil {
			hedges++
			second.Done(served())
		}
		first.Supersede()
		first.Done(cancelled(first))
		time.Sleep(2 * cancelSeenTime) // its slot is free again
	}
	if after := f.services["s"].budget.Available(f.now); hedges == 0 || after < before {
		t.Errorf("%d hedges, retry budget %.1f before and %.1f after", hedges, before, after)
	}
}

// TestTrialsThatAreCutShortKeepTheirInterval guards against many trials of a slow target, one after
// the other, because each ends soon by its hedge; without hedging nothing changes.
func TestTrialsThatAreCutShortKeepTheirInterval(t *testing.T) {
	for ratio, want := range map[float64]bool{0: true, hedgeRatio: false} {
		f := newHedgeFixture(t, 2)
		f.SetHedging(hedge.Settings{Ratio: ratio})
		f.Observed("vm-2", evidence.AttemptEvidence{Target: "t0", SlowNats: suspicion.OverdueNats})
		if got := f.targets["t0"].lastSucceeded; got != want {
			t.Errorf("ratio %v: counts as succeeded: %v", ratio, got)
		}
	}
}
