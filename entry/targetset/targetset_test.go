package targetset

import (
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// recordingNotifier records the published outcomes.
type recordingNotifier struct {
	mu       sync.Mutex
	outcomes []evidence.AttemptEvidence
}

func (n *recordingNotifier) Publish(outcome evidence.AttemptEvidence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.outcomes = append(n.outcomes, outcome)
}

func (n *recordingNotifier) InProgressChanged() {}
func (n *recordingNotifier) NoticesChanged()    {}
func (n *recordingNotifier) PathChanged()       {}

// fixture is a manager with targets t0, t1 and so on, and a manual clock.
type fixture struct {
	*Manager
	notifier *recordingNotifier
	now      time.Duration
	// holds is this VM's part of the limits of targets.
	holds float64
	// checks counts the requests that targets got at their health path.
	checks atomic.Int64
}

func newFixture(targets int) *fixture {
	f := &fixture{notifier: &recordingNotifier{}, now: time.Hour, holds: 1}
	f.Manager = New(Options{
		Zone: "z", Network: memnet.New().Host("10.0.0.1"), Budget: Budget{Ratio: 0.2, Allowance: 40},
		Sharers: func() int { return 1 }, RateShare: func(_ string, perSecond float64) float64 { return f.holds * perSecond }, Uptime: func() time.Duration { return f.now },
		Logger: log.New(io.Discard), Scope: tally.NoopScope, Seed: 1,
	})
	f.UseNotifier(f.notifier)
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

func wanted(kind routing.Kind) AttemptRequest {
	return AttemptRequest{
		Service: "s", Remaining: time.Second, Useful: 500 * time.Millisecond,
		Route: &routing.Route{Name: "r", Kind: kind, MaxAttempts: 2, Priority: 1},
	}
}

func (f *fixture) begin(t *testing.T, a AttemptRequest) *Attempt {
	t.Helper()
	attempt, err := f.Begin(a)
	if err != nil {
		t.Fatal(err)
	}
	return attempt
}

func served() Result { return Result{End: suspicion.ResultServed, Sent: true} }

func TestFailureSeenByAnotherVMDivertsNonRepeatableRequests(t *testing.T) {
	f := newFixture(4)
	f.Observed("vm-2", evidence.AttemptEvidence{Target: "t2", FailureNats: suspicion.FailureNats(suspicion.ResultFailed)})
	for range 40 {
		attempt := f.begin(t, wanted(routing.KindOnce))
		if attempt.ID() == "t2" {
			t.Fatal("a request that runs once went to a suspect")
		}
		attempt.Done(served())
	}
	attempt := f.begin(t, wanted(routing.KindIdempotent))
	if attempt.ID() == "t2" {
		t.Error("an idempotent request was a trial of the suspect right after the other VM's attempt")
	}
	attempt.Done(served())
	f.now += 500 * time.Millisecond
	attempt = f.begin(t, wanted(routing.KindIdempotent))
	if attempt.ID() != "t2" || !attempt.Trial() {
		t.Errorf("an idempotent request went to %s, trial %v", attempt.ID(), attempt.Trial())
	}
	attempt.Done(served())
}

func TestSlotsInUseOnOtherVMsCount(t *testing.T) {
	f := newFixture(2)
	f.SetInProgress("vm-2", map[string]int{"t0": 2})
	for range 2 {
		if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t1" {
			t.Errorf("the attempt went to %s, which is full", attempt.ID())
		}
	}
	f.SetInProgress("vm-2", nil)
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t0" {
		t.Errorf("the attempt went to %s although t0 is free again", attempt.ID())
	}
}

func TestPathFaultExcludesTheTargetOnThisVMOnly(t *testing.T) {
	f := newFixture(2)
	attempt := f.begin(t, wanted(routing.KindOnce))
	failure := &contract.RoundTripError{Kind: contract.AttemptRefused, Target: attempt.ID(), Cause: errors.New("i/o timeout")}
	attempt.Done(Result{End: suspicion.ResultFailed, Err: failure})
	for range 10 {
		next := f.begin(t, wanted(routing.KindOnce))
		if next.ID() == attempt.ID() {
			t.Fatal("the target that could not be reached was chosen")
		}
		next.Done(served())
	}
	if sent := f.notifier.outcomes[0].FailureNats; sent >= suspicion.FailureNats(suspicion.ResultFailed)/2 {
		t.Errorf("other VMs got %.1f nats for a failure that the network path may have caused", sent)
	}
}

func TestDrainingAndRemovedTargetsGetNoAttempts(t *testing.T) {
	f := newFixture(3)
	targets := published(3)
	targets[0].State = roster.StateDraining
	f.TargetsChanged(targets[:2])
	for range 20 {
		attempt := f.begin(t, wanted(routing.KindOnce))
		if attempt.ID() != "t1" {
			t.Fatalf("a request went to %s", attempt.ID())
		}
		attempt.Done(served())
	}
}

func TestMisplacedTargetGetsNoAttemptsUntilPublishedAnew(t *testing.T) {
	f := newFixture(1)
	f.begin(t, wanted(routing.KindOnce)).Done(Result{End: suspicion.ResultNeutral, Sent: true, Misplaced: true})
	var refusal *Refusal
	if _, err := f.Begin(wanted(routing.KindOnce)); !errors.As(err, &refusal) || refusal.Reason != placement.ReasonNoTarget {
		t.Errorf("after another instance answered at the address: %v", err)
	}
	restarted := published(1)
	restarted[0].StartedAt = time.Unix(1, 0)
	f.TargetsChanged(restarted)
	f.begin(t, wanted(routing.KindOnce)).Done(served())
}

func TestRestartUnderAKnownIdentifierClearsTheRecord(t *testing.T) {
	f := newFixture(2)
	f.Observed("vm-2", evidence.AttemptEvidence{Target: "t0", FailureNats: 4})
	restarted := published(2)
	restarted[0].StartedAt = time.Unix(1, 0)
	f.TargetsChanged(restarted)
	if f.targets["t0"].suspect(f.now) {
		t.Error("the restarted target is still suspect")
	}
}

// TestSpentBudgetEndsRetries guards against a retry storm at a service whose
// targets all shed: retries stop when the budget is spent, and so do trials.
func TestSpentBudgetEndsRetries(t *testing.T) {
	f := newFixture(3)
	retry := wanted(routing.KindOnce)
	retry.SentAttempts, retry.Attempted = 1, []string{"t0"}
	for range 100 {
		attempt, err := f.Begin(retry)
		var refusal *Refusal
		if errors.As(err, &refusal) && refusal.Reason == ReasonBudget {
			f.Observed("vm-2", evidence.AttemptEvidence{Target: "t1", FailureNats: 4})
			if attempt := f.begin(t, wanted(routing.KindIdempotent)); attempt.Trial() {
				t.Error("a trial was made although no budget is left for its retry")
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		attempt.Done(served())
	}
	t.Error("100 retries did not spend the budget")
}

func TestReportedLoadIsUsedUntilItIsOld(t *testing.T) {
	f := newFixture(2)
	f.Observed("vm-2", evidence.AttemptEvidence{Target: "t0", Load: &dialect.Load{Running: 2, Waiting: 1, Slots: 2}})
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t1" {
		t.Errorf("the attempt went to %s, which reported that it is full", attempt.ID())
	}
	f.now += maxLoadAge
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t0" {
		t.Errorf("the attempt went to %s although the load report of t0 is old", attempt.ID())
	}
}

// TestQueueingIsNoSlowness guards against suspecting targets in a burst: all
// slots are busy, so attempts queue and take several times as long as without
// queueing. No target may become suspect, and the mean duration of attempts must
// stay that without queueing.
func TestQueueingIsNoSlowness(t *testing.T) {
	f := newFixture(2)
	const normal, queued = 100 * time.Millisecond, 500 * time.Millisecond
	for range 40 {
		attempt := f.begin(t, wanted(routing.KindOnce))
		f.now += normal
		attempt.Done(served())
	}
	f.SetInProgress("vm-2", map[string]int{"t0": 3, "t1": 3})
	for range 20 {
		attempt := f.begin(t, wanted(routing.KindOnce))
		f.now += queued
		attempt.Done(served())
	}
	for id, target := range f.targets {
		if target.suspect(f.now) {
			t.Errorf("%s is suspect: probability of slowness %.2f", id, target.slow.Probability(f.now))
		}
	}
	if mean := f.services["s"].reference("r").MeanServiceTime(0); mean > 2*normal {
		t.Errorf("the mean duration of attempts rose to %v", mean)
	}
}

// TestFewNonRepeatableRequestsGoToAFailingTarget has a service with little load,
// only of requests that must not run twice, and one of four targets that always
// fails. It has to be explored now and then, since nothing else would show a
// recovery, but at most a small share of the requests may fail for it.
func TestFewNonRepeatableRequestsGoToAFailingTarget(t *testing.T) {
	const (
		requests = 600
		interval = 500 * time.Millisecond
		// maxFailedShare is the share of requests that the failing target may cost.
		maxFailedShare = 0.04
	)
	f := newFixture(4)
	failed := 0
	for range requests {
		f.now += interval
		f.RequestArrived("s")
		attempt := f.begin(t, wanted(routing.KindOnce))
		if attempt.ID() != "t0" {
			attempt.Done(served())
			continue
		}
		failed++
		attempt.Done(Result{End: suspicion.ResultFailed, Sent: true})
	}
	if share := float64(failed) / requests; share > maxFailedShare {
		t.Errorf("%.3f of the requests failed", share)
	}
	if failed < 3 {
		t.Errorf("the failing target was attempted only %d times", failed)
	}
}

// TestVMWithoutAShareOfALimitSendsNothing guards against a limited target that gets the
// requests of VMs that know of its limit from others but have no share in it.
func TestVMWithoutAShareOfALimitSendsNothing(t *testing.T) {
	f := newFixture(2)
	f.holds = 0
	f.MergeNotice("vm-2", notice.Report{Process: notice.Process{Target: "t0"}, HasLimitWord: true, IsLimited: true, RateLimit: 3, LimitAt: f.now})
	for range 50 {
		f.now += 100 * time.Millisecond
		f.RequestArrived("s")
		attempt := f.begin(t, wanted(routing.KindIdempotent))
		if attempt.ID() == "t0" {
			t.Fatal("a request went to the limited target")
		}
		attempt.Done(served())
	}
	f.TargetsChanged(published(2)[:1])
	var refusal *Refusal
	if _, err := f.Begin(wanted(routing.KindOnce)); !errors.As(err, &refusal) || refusal.Reason != ReasonLimited || refusal.RetryAfter != time.Second/3 {
		t.Errorf("refusal %+v, want %s and the time between two requests of the limit", refusal, ReasonLimited)
	}
}

// TestNoticesAreToldUntilAllVMsKnow checks that changed notices go into each datagram for a
// while and that heartbeats repeat all of them in turn.
func TestNoticesAreToldUntilAllVMsKnow(t *testing.T) {
	const targets = 30
	f := newFixture(targets)
	for _, info := range published(targets) {
		process := notice.Process{Target: info.ID}
		f.MergeNotice("vm-2", notice.Report{Process: process, IsLeaving: true, LeavingAt: f.now})
	}
	if got := len(f.NextNotices(false)); got != targets {
		t.Errorf("%d new notices, want %d", got, targets)
	}
	f.now += 2 * noticeNewTime
	if got := len(f.NextNotices(false)); got != 0 {
		t.Errorf("%d new notices after a while", got)
	}
	told := make(map[string]bool)
	for range targets/maxNoticesPerHeartbeat + 1 {
		for _, report := range f.NextNotices(true) {
			told[report.Process.Target] = true
		}
	}
	if len(told) != targets {
		t.Errorf("heartbeats told of %d targets, want %d", len(told), targets)
	}
}

// TestManyNewNoticesAreToldInTurn guards against a datagram that grows with the targets that leave at once, and that
// is not sent when it is too large.
func TestManyNewNoticesAreToldInTurn(t *testing.T) {
	const targets = 2*maxNewNotices + 1
	f := newFixture(targets)
	for _, info := range published(targets) {
		f.MergeNotice("vm-2", notice.Report{Process: notice.Process{Target: info.ID}, IsLeaving: true, LeavingAt: f.now})
	}
	told := make(map[string]bool)
	for range 3 {
		reports := f.NextNotices(false)
		if len(reports) > maxNewNotices {
			t.Errorf("%d new notices in one datagram, want at most %d", len(reports), maxNewNotices)
		}
		for _, report := range reports {
			told[report.Process.Target] = true
		}
	}
	if len(told) != targets {
		t.Errorf("three datagrams told of %d targets, want %d", len(told), targets)
	}
}
