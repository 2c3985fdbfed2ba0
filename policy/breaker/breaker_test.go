package breaker

import (
	"testing"
	"time"
)

const start = time.Hour

// opened returns a breaker that a check has opened.
func opened(t *testing.T) *Breaker {
	t.Helper()
	b := &Breaker{}
	for range 2 {
		if b.ConnectFailed("t1", start) {
			t.Fatal("one target that can't be connected to asks for a check of the path")
		}
	}
	if !b.ConnectFailed("t2", start) {
		t.Fatal("two targets that can't be connected to ask for no check")
	}
	if !b.Checked(false, start) || b.State() != Open {
		t.Fatal("a failed check did not open the breaker")
	}
	return b
}

// lose records a loss of an attempt that has just begun.
func lose(b *Breaker, target string, ended bool, now time.Duration) {
	b.Lost(Loss{Target: target, At: now, BegunAt: now, Ended: ended})
}

func TestCheckDecidesWhenConnectsFail(t *testing.T) {
	opened(t)
	b := &Breaker{}
	b.ConnectFailed("t1", start)
	b.ConnectFailed("t2", start)
	if b.Checked(true, start) || b.State() != Closed || b.InDoubt(start) {
		t.Error("two targets are down, others can be reached: the breaker opened or is in doubt")
	}
	if b.ConnectFailed("t3", start) {
		t.Error("one more asks for a check at once")
	}
}

// TestLossesOpenWithoutResponseInBetween guards against requests that go on to be lost on
// connections that open but carry nothing.
func TestLossesOpenWithoutResponseInBetween(t *testing.T) {
	b := &Breaker{}
	lose(b, "t1", true, start)
	lose(b, "t2", true, start)
	b.Answered(false, start)
	lose(b, "t3", true, start)
	if finding, _ := b.Examine(start); finding != NoFinding {
		t.Error("losses suffice although a target answered in between")
	}
	lose(b, "t1", true, start+time.Millisecond)
	lose(b, "t2", true, start+time.Millisecond)
	if finding, since := b.Examine(start + time.Millisecond); finding != PathLost || since != start {
		t.Errorf("three targets lost requests without a response in between: since %v, finding %v", since, finding)
	}
	b.OpenByLosses(start + time.Millisecond)
	if finding, _ := b.Examine(start + time.Millisecond); finding != NoFinding || b.State() != Open {
		t.Error("not open, or losses open it again")
	}
}

func TestOldFailuresDontCount(t *testing.T) {
	b := &Breaker{}
	b.ConnectFailed("t1", start)
	if b.ConnectFailed("t2", start+failureLifetime) {
		t.Error("a failure counts for too long")
	}
}

// TestOpenConnectionsAreUsedWhileTheyLive guards against requests that are refused although
// open connections carry responses.
func TestOpenConnectionsAreUsedWhileTheyLive(t *testing.T) {
	b := opened(t)
	if got := b.Admit(true, false, start); got != Block {
		t.Fatalf("before any response: %v", got)
	}
	if b.Answered(false, start) {
		t.Error("a response over an open connection closed the breaker")
	}
	if got := b.Admit(false, false, start+liveTime-1); got != PassOnOpenConnection {
		t.Errorf("after a response over an open connection: %v", got)
	}
	if got := b.Admit(false, false, start+liveTime); got != Block {
		t.Errorf("long after it: %v", got)
	}
}

// TestOneTrialAtATime checks that a half-open breaker lets one idempotent request pass and
// that its result decides.
func TestOneTrialAtATime(t *testing.T) {
	b := opened(t)
	b.Connected(start)
	if got := b.Admit(false, false, start); got != Block {
		t.Errorf("a request that must not run twice: %v", got)
	}
	if first, second := b.Admit(true, false, start), b.Admit(true, false, start); first != PassAsTrial || second != Block {
		t.Errorf("first %v, second %v", first, second)
	}
	lose(b, "t1", true, start+100*time.Millisecond)
	if b.State() != Open {
		t.Errorf("after a failed trial: %v", b.State())
	}
	b.Connected(start + time.Second)
	b.Admit(true, false, start+time.Second)
	if !b.Answered(false, start+time.Second) || b.Admit(false, false, start+time.Second) != Pass {
		t.Error("a successful trial did not close the breaker")
	}
}

// TestTrialWithoutIdempotentRequests checks that the breaker closes for a service that gets
// no idempotent requests.
func TestTrialWithoutIdempotentRequests(t *testing.T) {
	b := opened(t)
	b.Connected(start)
	if got := b.Admit(false, false, start+onceTrialDelay); got != PassAsTrial {
		t.Errorf("%v", got)
	}
}

// TestBreakerClosesWithoutRequests guards against a VM that stays cut off for good after the
// cut, since no caller is sent to it that could try the path.
func TestBreakerClosesWithoutRequests(t *testing.T) {
	b := opened(t)
	if b.Settle(start + time.Hour) {
		t.Error("an open breaker closed although no connection opened")
	}
	b.Connected(start)
	if b.Settle(start + settleTime - 1) {
		t.Error("closed before a request could try the path")
	}
	b.Admit(true, false, start+settleTime-1)
	if b.Settle(start + settleTime) {
		t.Error("closed while a trial is under way")
	}
	if !b.Settle(start+settleTime+trialTimeout) || b.State() != Closed {
		t.Error("not closed without a request")
	}
}

// TestOpeningConnectionsShowLittleAfterLosses guards against requests that are lost again and
// again, since connections open that carry nothing: after losses, requests that must not run
// twice wait longer before one of them is the trial, and one more loss opens a breaker that
// closed without a response.
func TestOpeningConnectionsShowLittleAfterLosses(t *testing.T) {
	b := &Breaker{}
	for _, target := range []string{"t1", "t2", "t3"} {
		lose(b, target, true, start)
	}
	b.OpenByLosses(start)
	b.Connected(start)
	if got := b.Admit(false, false, start+onceTrialDelayOfLosses-1); got != Block {
		t.Errorf("a request that must not run twice: %v", got)
	}
	if b.Settle(start+settleTimeOfLosses-1) || !b.Settle(start+settleTimeOfLosses) {
		t.Error("did not close after settleTimeOfLosses")
	}
	lose(b, "t1", true, start+settleTimeOfLosses)
	if finding, _ := b.Examine(start + settleTimeOfLosses); finding != PathLost {
		t.Error("one loss does not open the breaker that closed without a response")
	}
	b.OpenByLosses(start)
	for range reconnectsToFail {
		b.ReconnectFailed()
	}
	b.Connected(start)
	if got := b.Admit(false, false, start+onceTrialDelay); got != PassAsTrial {
		t.Errorf("after connects had failed, too: %v", got)
	}
}

// TestLossesAtTwoTargetsOpenWhenTheyGoOn guards against a VM with few requests that goes on
// losing them, since they go to the same two targets.
func TestLossesAtTwoTargetsOpenWhenTheyGoOn(t *testing.T) {
	var b Breaker
	now := time.Hour
	for i := range lossesInRowToOpen {
		if finding, _ := b.Examine(now); finding != NoFinding {
			t.Fatalf("%d losses at two targets suffice", i)
		}
		lose(&b, []string{"t1", "t2"}[i%2], true, now)
		now += 100 * time.Millisecond
	}
	if finding, _ := b.Examine(now); finding != PathLost {
		t.Errorf("%d losses in a row at two targets do not suffice", lossesInRowToOpen)
	}
	b.Answered(false, now)
	lose(&b, "t1", true, now)
	lose(&b, "t2", true, now)
	if finding, _ := b.Examine(now); finding != NoFinding {
		t.Error("losses before a response count")
	}
}

// TestLateRequestsAreNoLossesInRow guards against a service with long requests that is taken
// for cut off, since a few of them are late at two targets.
func TestLateRequestsAreNoLossesInRow(t *testing.T) {
	var b Breaker
	for i := range 4 * lossesInRowToOpen {
		lose(&b, []string{"t1", "t2"}[i%2], false, time.Hour)
	}
	if finding, _ := b.Examine(time.Hour); finding != NoFinding {
		t.Error("late requests at two targets suffice")
	}
}
