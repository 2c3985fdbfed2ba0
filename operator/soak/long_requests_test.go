package soak

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/notice"
)

// sendTo sends an attempt that asks for some work to a target and returns once the target has
// answered or the context has ended.
func sendTo(ctx context.Context, t *testing.T, to *target, id, work string) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.link.address()+"/look1/x?"+workQuery+"="+work, nil)
	if err != nil {
		t.Fatal(err)
	}
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: id, Remaining: callerTimeout})
	platform.Headers{}.WriteAttempt(request.Header, dialect.Attempt{Remaining: callerTimeout, TargetID: to.id()})
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// waitForExecution returns the first recorded execution of a request.
func waitForExecution(t *testing.T, k *checker, id string) execution {
	t.Helper()
	for deadline := time.Now().Add(responseTimeout); time.Now().Before(deadline); time.Sleep(faultPoll) {
		k.mu.Lock()
		executions := k.executions[id]
		k.mu.Unlock()
		if len(executions) > 0 {
			return executions[0]
		}
	}
	t.Fatalf("no execution of request %s was recorded", id)
	return execution{}
}

// TestTargetRecordsHowItsWorkEnds guards against an attempt that is broken off at its target
// unseen since another one serves the caller.
func TestTargetRecordsHowItsWorkEnds(t *testing.T) {
	k := newChecker(time.Now())
	to, err := newTarget(t.Context(), "t0", "127.0.0.1:0", "zone-a", k)
	if err != nil {
		t.Fatal(err)
	}
	sendTo(t.Context(), t, to, "whole", "150")
	if e := waitForExecution(t, k, "whole"); e.senderLeft || !e.undisturbed || e.endedAt.Sub(e.at) < 150*time.Millisecond {
		t.Errorf("a request that is answered: %+v", e)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	sendTo(ctx, t, to, "left", "60000")
	if e := waitForExecution(t, k, "left"); !e.senderLeft || !e.undisturbed {
		t.Errorf("a request whose sender leaves: %+v", e)
	}
}

// TestTargetIsDisturbedByEachFault guards against findings for attempts that ended by a fault
// of their target or of its link.
func TestTargetIsDisturbedByEachFault(t *testing.T) {
	const span = 100 * time.Millisecond
	pause := func(d time.Duration) func(*notice.Notice) { return func(said *notice.Notice) { said.Pause = d } }
	for name, fault := range map[string]struct{ begin, end func(*target) }{
		"fault":     {func(t *target) { t.setFault(targetHangs) }, func(t *target) { t.setFault(targetHealthy) }},
		"pause":     {func(t *target) { t.say(pause(time.Second)) }, func(t *target) { t.say(pause(0)) }},
		"link":      {func(t *target) { t.link.setFault(linkDropsBoth) }, func(t *target) { t.link.setFault(linkHealthy) }},
		"momentary": {func(t *target) { t.disturb() }, func(*target) {}},
	} {
		to, err := newTarget(t.Context(), "t0", "127.0.0.1:0", "zone-a", newChecker(time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		before := to.undisturbedFor(span)
		fault.begin(to)
		during := to.undisturbedFor(span)
		fault.end(to)
		soonAfter := to.undisturbedFor(time.Minute)
		time.Sleep(2 * span)
		if after := to.undisturbedFor(span); !before || during || soonAfter || !after {
			t.Errorf("%s: undisturbed before %v, during %v, soon after %v, later %v", name, before, during, soonAfter, after)
		}
	}
}
