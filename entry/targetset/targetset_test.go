package targetset

import (
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// heardTeller notes what is told.
type heardTeller struct {
	mu       sync.Mutex
	outcomes []evidence.Outcome
}

func (h *heardTeller) Publish(outcome evidence.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, outcome)
}

func (h *heardTeller) UsesChanged() {}

// fixture is a manager with targets t0, t1 and so on, on a clock of its own.
type fixture struct {
	*Manager
	teller *heardTeller
	now    time.Duration
}

func newFixture(targets int) *fixture {
	f := &fixture{teller: &heardTeller{}, now: time.Hour}
	f.Manager = New(Options{
		Zone: "z", Network: memnet.New().Host("10.0.0.1"), Budget: Budget{Ratio: 0.2, Allowance: 40},
		Sharers: func() int { return 1 }, Uptime: func() time.Duration { return f.now },
		Logger: log.New(io.Discard), Scope: tally.NoopScope, Seed: 1,
	})
	f.UseTeller(f.teller)
	f.TargetsChanged(published(targets))
	return f
}

func published(count int) []roster.Target {
	var targets []roster.Target
	for i := range count {
		targets = append(targets, roster.Target{
			ID: "t" + strconv.Itoa(i), Service: "s", Address: "10.1.0." + strconv.Itoa(i+1) + ":80", Zone: "z", Slots: 2, State: roster.StateReady,
		})
	}
	return targets
}

func ask(kind routing.Kind) Ask {
	return Ask{
		Service: "s", Remaining: time.Second, Useful: 500 * time.Millisecond,
		Route: &routing.Route{Name: "r", Kind: kind, MaxAttempts: 2, Priority: 1},
	}
}

func (f *fixture) begin(t *testing.T, a Ask) *Attempt {
	t.Helper()
	attempt, err := f.Begin(a)
	if err != nil {
		t.Fatal(err)
	}
	return attempt
}

func served() Result { return Result{End: suspicion.EndServed, Sent: true} }

func TestAnotherVMsFailureTurnsOnceRequestsAway(t *testing.T) {
	f := newFixture(4)
	f.Observed(evidence.Outcome{Target: "t2", FailureNats: suspicion.FailureNats(suspicion.EndFailed)})
	for range 40 {
		attempt := f.begin(t, ask(routing.KindOnce))
		if attempt.ID() == "t2" {
			t.Fatal("a request that runs once went to a suspect")
		}
		attempt.Done(served())
	}
	attempt := f.begin(t, ask(routing.KindIdempotent))
	if attempt.ID() == "t2" {
		t.Error("an idempotent request tried the suspect right after the other VM had")
	}
	attempt.Done(served())
	f.now += 500 * time.Millisecond
	attempt = f.begin(t, ask(routing.KindIdempotent))
	if attempt.ID() != "t2" || !attempt.Trial() {
		t.Errorf("an idempotent request went to %s, trial %v", attempt.ID(), attempt.Trial())
	}
	attempt.Done(served())
}

func TestSlotsInUseOnOtherVMsCount(t *testing.T) {
	f := newFixture(2)
	f.InProgress("vm-2", map[string]int{"t0": 2})
	for range 2 {
		if attempt := f.begin(t, ask(routing.KindOnce)); attempt.ID() != "t1" {
			t.Errorf("went to %s, which is full", attempt.ID())
		}
	}
	f.InProgress("vm-2", nil)
	if attempt := f.begin(t, ask(routing.KindOnce)); attempt.ID() != "t0" {
		t.Errorf("went to %s although the other is free again", attempt.ID())
	}
}

func TestPathFaultStaysHere(t *testing.T) {
	f := newFixture(2)
	attempt := f.begin(t, ask(routing.KindOnce))
	failure := &contract.RoundTripError{Kind: contract.AttemptRefused, Target: attempt.ID(), Cause: errors.New("i/o timeout")}
	attempt.Done(Result{End: suspicion.EndFailed, Err: failure})
	for range 10 {
		next := f.begin(t, ask(routing.KindOnce))
		if next.ID() == attempt.ID() {
			t.Fatal("the target that could not be reached was chosen")
		}
		next.Done(served())
	}
	if told := f.teller.outcomes[0].FailureNats; told >= suspicion.FailureNats(suspicion.EndFailed)/2 {
		t.Errorf("other VMs are told %.1f nats of a fault that may be the path's", told)
	}
}

func TestDrainingAndRemovedTargetsGetNothing(t *testing.T) {
	f := newFixture(3)
	targets := published(3)
	targets[0].State = roster.StateDraining
	f.TargetsChanged(targets[:2])
	for range 20 {
		attempt := f.begin(t, ask(routing.KindOnce))
		if attempt.ID() != "t1" {
			t.Fatalf("a request went to %s", attempt.ID())
		}
		attempt.Done(served())
	}
}

func TestMisplacedTargetGetsNothingUntilItIsPublishedAnew(t *testing.T) {
	f := newFixture(1)
	f.begin(t, ask(routing.KindOnce)).Done(Result{End: suspicion.EndNeutral, Sent: true, Misplaced: true})
	var refusal *Refusal
	if _, err := f.Begin(ask(routing.KindOnce)); !errors.As(err, &refusal) || refusal.Reason != placement.ReasonNoTarget {
		t.Errorf("after another instance answered: %v", err)
	}
	again := published(1)
	again[0].StartedAt = time.Unix(1, 0)
	f.TargetsChanged(again)
	f.begin(t, ask(routing.KindOnce)).Done(served())
}

func TestNewStartUnderAKnownIdentifierHasACleanRecord(t *testing.T) {
	f := newFixture(2)
	f.Observed(evidence.Outcome{Target: "t0", FailureNats: 4})
	again := published(2)
	again[0].StartedAt = time.Unix(1, 0)
	f.TargetsChanged(again)
	if f.targets["t0"].suspect(f.now) {
		t.Error("the new start inherited the suspicion")
	}
}

// TestSpentBudgetEndsRepeats is the load of a service that sheds everywhere:
// repeats stop when the budget is spent, and so do trials.
func TestSpentBudgetEndsRepeats(t *testing.T) {
	f := newFixture(3)
	repeat := ask(routing.KindOnce)
	repeat.Sent, repeat.Tried = 1, []string{"t0"}
	for range 100 {
		attempt, err := f.Begin(repeat)
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Reason == ReasonBudget {
			f.Observed(evidence.Outcome{Target: "t1", FailureNats: 4})
			if attempt := f.begin(t, ask(routing.KindIdempotent)); attempt.Trial() {
				t.Error("a trial was made that could not be repeated")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		attempt.Done(served())
	}
	t.Error("the budget never ended")
}

func TestReportedLoadCountsForAMoment(t *testing.T) {
	f := newFixture(2)
	f.Observed(evidence.Outcome{Target: "t0", Load: &dialect.Load{Running: 2, Waiting: 1, Slots: 2}})
	if attempt := f.begin(t, ask(routing.KindOnce)); attempt.ID() != "t1" {
		t.Errorf("went to %s, which says that it is full", attempt.ID())
	}
	f.now += loadAge
	if attempt := f.begin(t, ask(routing.KindOnce)); attempt.ID() != "t0" {
		t.Errorf("went to %s, although the report is old", attempt.ID())
	}
}

// TestWaitingBehindOthersIsNoSlowness is the load of a burst: all slots are
// busy, so attempts wait behind others and take several times as long as usual.
// No target is to be suspected of slowness for it, and what an attempt usually
// takes stays what it takes without waiting.
func TestWaitingBehindOthersIsNoSlowness(t *testing.T) {
	f := newFixture(2)
	const usually, waiting = 100 * time.Millisecond, 500 * time.Millisecond
	for range 40 {
		attempt := f.begin(t, ask(routing.KindOnce))
		f.now += usually
		attempt.Done(served())
	}
	f.InProgress("vm-2", map[string]int{"t0": 3, "t1": 3})
	for range 20 {
		attempt := f.begin(t, ask(routing.KindOnce))
		f.now += waiting
		attempt.Done(served())
	}
	for id, target := range f.targets {
		if target.suspect(f.now) {
			t.Errorf("%s is under suspicion: slow %.2f", id, target.slow.Probability(f.now))
		}
	}
	if mean := f.services["s"].reference("r").Mean(0); mean > 2*usually {
		t.Errorf("attempts usually take %v", mean)
	}
}

// TestFewBookingsGoToAFailingTarget is a service with little load, only of
// requests that run once, with one target of four that fails for good. Now and
// then it has to be tried, since nothing else tells that it is well again, but
// the callers must hardly notice.
func TestFewBookingsGoToAFailingTarget(t *testing.T) {
	const (
		requests = 600
		interval = 500 * time.Millisecond
		// mostFailed is the share of requests that the failing target may cost.
		mostFailed = 0.04
	)
	f := newFixture(4)
	failed := 0
	for range requests {
		f.now += interval
		f.Arrived("s")
		attempt := f.begin(t, ask(routing.KindOnce))
		if attempt.ID() != "t0" {
			attempt.Done(served())
			continue
		}
		failed++
		attempt.Done(Result{End: suspicion.EndFailed, Sent: true})
	}
	if share := float64(failed) / requests; share > mostFailed {
		t.Errorf("%.3f of the requests failed", share)
	}
	if failed < 3 {
		t.Errorf("the target was tried %d times", failed)
	}
}
