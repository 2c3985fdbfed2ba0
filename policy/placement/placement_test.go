package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

func healthyTarget(id string) Candidate {
	return Candidate{ID: id, SameZone: true, Slots: 2, SinceAttempt: 500 * time.Millisecond}
}

func nonIdempotentRequest() AttemptRequest {
	return AttemptRequest{ServiceTime: 150 * time.Millisecond, QueueServiceTime: 150 * time.Millisecond, Remaining: time.Second, UsefulTime: 500 * time.Millisecond, Priority: 1, MayRunTrial: true}
}

func idempotentRequest() AttemptRequest {
	request := nonIdempotentRequest()
	request.Idempotent, request.MayRetry = true, true
	return request
}

func newRNG() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestNonIdempotentRequestsAvoidSuspects(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing = 0.5
	busy := healthyTarget("busy")
	busy.InUse = 3
	if got := Choose([]Candidate{suspect, busy}, nonIdempotentRequest(), newRNG()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

// TestFreeSuspectIsPreferredToRefusal covers a burst during gray failures: the
// targets with a good record are full, so a suspect with a free slot is used.
func TestFreeSuspectIsPreferredToRefusal(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing = 0.8
	full := healthyTarget("full")
	full.InUse = 6
	if got := Choose([]Candidate{suspect, full}, nonIdempotentRequest(), newRNG()); got.Index != 0 || got.Reason != ReasonNone {
		t.Errorf("chose %+v", got)
	}
}

func TestIdempotentRequestRunsTrialOfSuspect(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing = 0.5
	candidates := []Candidate{healthyTarget("healthy"), suspect}
	if got := Choose(candidates, idempotentRequest(), newRNG()); got.Index != 1 || !got.Trial {
		t.Errorf("chose %+v", got)
	}
	candidates[1].SinceAttempt = 0
	if got := Choose(candidates, idempotentRequest(), newRNG()); got.Index != 0 {
		t.Errorf("right after a trial: chose %+v", got)
	}
	candidates[1].SinceAttempt = 500 * time.Millisecond
	short := idempotentRequest()
	short.Remaining = 200 * time.Millisecond
	if got := Choose(candidates, short, newRNG()); got.Index != 0 {
		t.Errorf("with little time: chose %+v", got)
	}
}

func TestRetryAvoidsSuspects(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing = 0.9
	retry := idempotentRequest()
	retry.Retry = true
	if got := Choose([]Candidate{suspect, healthyTarget("healthy")}, retry, newRNG()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

func TestLastAttemptOfAnIdempotentRequestAvoidsSuspects(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing = 0.7
	busy := healthyTarget("busy")
	busy.InUse = 3
	last := idempotentRequest()
	last.Retry, last.MayRetry, last.MayRunTrial = true, false, false
	if got := Choose([]Candidate{suspect, busy}, last, newRNG()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

func TestBlockedTargetIsNeverChosen(t *testing.T) {
	blocked := healthyTarget("blocked")
	blocked.Blocked = true
	if got := Choose([]Candidate{blocked}, nonIdempotentRequest(), newRNG()); got.Reason != ReasonNoTarget {
		t.Errorf("chose %+v", got)
	}
}

// TestBurstIsRefusedByPriority covers a burst: all slots are busy and requests
// wait. Low priorities are refused first, and all requests are refused once the
// queue is full.
func TestBurstIsRefusedByPriority(t *testing.T) {
	for _, c := range []struct {
		inUse int
		high  Reason
		low   Reason
	}{
		{inUse: 1, high: ReasonNone, low: ReasonNone},
		{inUse: 4, high: ReasonNone, low: ReasonNone},
		{inUse: 5, high: ReasonNone, low: ReasonTooLate},
		{inUse: 6, high: ReasonFull, low: ReasonFull},
	} {
		busy := healthyTarget("busy")
		busy.InUse = c.inUse
		high := nonIdempotentRequest()
		low := nonIdempotentRequest()
		low.Priority = 2
		if got := Choose([]Candidate{busy}, high, newRNG()); got.Reason != c.high {
			t.Errorf("%d in use: high priority: %q, want %q", c.inUse, got.Reason, c.high)
		}
		if got := Choose([]Candidate{busy}, low, newRNG()); got.Reason != c.low {
			t.Errorf("%d in use: low priority: %q, want %q", c.inUse, got.Reason, c.low)
		}
	}
}

func TestUnusedTargetIsPreferred(t *testing.T) {
	unused := healthyTarget("newcomer")
	unused.Unused, unused.Cold, unused.SameZone = true, true, false
	if got := Choose([]Candidate{healthyTarget("known"), unused}, nonIdempotentRequest(), newRNG()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

func TestLargeBodyStaysInItsZone(t *testing.T) {
	near, far := healthyTarget("near"), healthyTarget("far")
	near.InUse = 1
	far.SameZone = false
	upload := nonIdempotentRequest()
	upload.Bytes = 60_000
	if got := Choose([]Candidate{far, near}, upload, newRNG()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

// TestRecoveringTargetGetsNextTrialAtOnce checks that trials after a success do
// not wait for the interval after a failure, because a few successes clear a
// suspect.
func TestRecoveringTargetGetsNextTrialAtOnce(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing, suspect.SinceAttempt = 0.9, 10*time.Millisecond
	candidates := []Candidate{healthyTarget("healthy"), suspect}
	if got := Choose(candidates, idempotentRequest(), newRNG()); got.Trial {
		t.Errorf("right after a failure: chose %+v", got)
	}
	candidates[1].LastSucceeded = true
	if got := Choose(candidates, idempotentRequest(), newRNG()); got.Index != 1 || !got.Trial {
		t.Errorf("right after a success: chose %+v", got)
	}
}

// TestIdleTargetGetsARequestWithoutRetryBudget covers a service with half of its
// targets under suspicion after retries have used up the retry budget. No trial
// is allowed, but recovered targets must still get requests.
func TestIdleTargetGetsARequestWithoutRetryBudget(t *testing.T) {
	suspect := healthyTarget("suspect")
	suspect.Failing = 0.9
	for _, c := range []struct {
		name    string
		request AttemptRequest
		since   time.Duration
		want    int
	}{
		{"idempotent, used recently", idempotentRequest(), time.Second, 0},
		{"idempotent, idle for long", idempotentRequest(), maxIdleIdempotent, 1},
		{"non-idempotent, idle but reserved for idempotent requests", nonIdempotentRequest(), maxIdleIdempotent, 0},
		{"non-idempotent, idle for very long", nonIdempotentRequest(), maxIdleNonIdempotent, 1},
	} {
		c.request.MayRunTrial, c.request.MayRetry = false, false
		c.request.MayExplore, c.request.MayExploreSuspect = true, true
		suspect.SinceAttempt = c.since
		if got := Choose([]Candidate{healthyTarget("healthy"), suspect}, c.request, newRNG()); got.Index != c.want || got.Trial {
			t.Errorf("%s: chose %+v", c.name, got)
		}
	}
	suspect.SinceAttempt, suspect.SameZone = maxIdleNonIdempotent, false
	upload := nonIdempotentRequest()
	upload.Bytes, upload.MayExplore = 60_000, true
	if got := Choose([]Candidate{healthyTarget("healthy"), suspect}, upload, newRNG()); got.Index != 0 {
		t.Errorf("a large body to another availability zone: chose %+v", got)
	}
}

// TestWaitIncludesLongRequestsOfOtherRoutes covers a service with short lookups
// and long uploads: the wait of a lookup depends on the duration of the uploads.
func TestWaitIncludesLongRequestsOfOtherRoutes(t *testing.T) {
	busy := healthyTarget("busy")
	busy.InUse = 4
	short := idempotentRequest()
	short.ServiceTime, short.QueueServiceTime, short.UsefulTime, short.Remaining = 40*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond
	if got := Choose([]Candidate{busy}, short, newRNG()); got.Reason != ReasonTooLate || got.Wait < 300*time.Millisecond {
		t.Errorf("chose %+v", got)
	}
}

// TestBordersAreCrossedForFreeSlots guards against requests that go to another zone only since
// a target there is less busy, and against waits while another zone has a free slot.
func TestBordersAreCrossedForFreeSlots(t *testing.T) {
	own, other := healthyTarget("own"), healthyTarget("other")
	other.SameZone = false
	for _, c := range []struct{ ownInUse, otherInUse, want int }{{0, 0, 0}, {1, 0, 0}, {2, 0, 1}, {2, 1, 1}, {2, 2, 0}, {3, 3, 0}} {
		own.InUse, other.InUse = c.ownInUse, c.otherInUse
		random := newRNG()
		for range 50 {
			if got := Choose([]Candidate{own, other}, nonIdempotentRequest(), random); got.Index != c.want {
				t.Fatalf("%d of 2 slots in use in the zone, %d in the other: chose %d, want %d", c.ownInUse, c.otherInUse, got.Index, c.want)
			}
		}
	}
}

// TestSoundTargetsOfTheZoneStayInUseUnderLightLoad guards against sound targets that get nothing
// for seconds in a service with many more slots than requests, since each VM prefers the same
// few: targets that then fail, or recover, are noticed late, and the rest carry all requests.
func TestSoundTargetsOfTheZoneStayInUseUnderLightLoad(t *testing.T) {
	idle, far, suspect := healthyTarget("idle"), healthyTarget("far"), healthyTarget("suspect")
	idle.SinceAttempt, far.SinceAttempt, suspect.SinceAttempt = maxIdleIdempotent, maxIdleIdempotent, maxIdleIdempotent
	idle.Slots = 1 // less attractive than the one in use
	far.SameZone, suspect.Failing = false, 0.9
	request := idempotentRequest()
	request.MayRunTrial, request.MayExplore = false, false
	if got := Choose([]Candidate{healthyTarget("used"), far, suspect, idle}, request, newRNG()); got.Index != 3 || got.Exploratory {
		t.Errorf("chose %+v, want the idle sound target of the zone", got)
	}
	doubtful := idle
	doubtful.Failing = 0.2 // it has failed some seconds ago
	if got := Choose([]Candidate{healthyTarget("used"), far, suspect, doubtful}, request, newRNG()); got.Index != 0 {
		t.Errorf("chose %+v, want neither the far target nor one with a record without credit", got)
	}
}
