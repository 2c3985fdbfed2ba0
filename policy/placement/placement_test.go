package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

func well(id string) Candidate {
	return Candidate{ID: id, SameZone: true, Slots: 2, SinceAttempt: 500 * time.Millisecond}
}

func booking() AttemptRequest {
	return AttemptRequest{ServiceTime: 150 * time.Millisecond, QueueServiceTime: 150 * time.Millisecond, Remaining: time.Second, UsefulTime: 500 * time.Millisecond, Priority: 1, MayRunTrial: true}
}

func lookup() AttemptRequest {
	ask := booking()
	ask.Idempotent, ask.MayRetry = true, true
	return ask
}

func chooser() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestRequestsThatRunOnceAvoidSuspects(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing = 0.5
	busy := well("busy")
	busy.InUse = 3
	if got := Choose([]Candidate{suspect, busy}, booking(), chooser()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

// TestFreeSuspectIsBetterThanARefusal is the load of a burst beside gray
// failures: the targets with a good record are full.
func TestFreeSuspectIsBetterThanARefusal(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing = 0.8
	full := well("full")
	full.InUse = 6
	if got := Choose([]Candidate{suspect, full}, booking(), chooser()); got.Index != 0 || got.Reason != ReasonNone {
		t.Errorf("chose %+v", got)
	}
}

func TestIdempotentRequestTriesASuspect(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing = 0.5
	candidates := []Candidate{well("well"), suspect}
	if got := Choose(candidates, lookup(), chooser()); got.Index != 1 || !got.Trial {
		t.Errorf("chose %+v", got)
	}
	candidates[1].SinceAttempt = 0
	if got := Choose(candidates, lookup(), chooser()); got.Index != 0 {
		t.Errorf("right after a trial: chose %+v", got)
	}
	candidates[1].SinceAttempt = 500 * time.Millisecond
	short := lookup()
	short.Remaining = 200 * time.Millisecond
	if got := Choose(candidates, short, chooser()); got.Index != 0 {
		t.Errorf("with little time: chose %+v", got)
	}
}

func TestRetryIsNoTrial(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing = 0.9
	retry := lookup()
	retry.Retry = true
	if got := Choose([]Candidate{suspect, well("well")}, retry, chooser()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

func TestLastAttemptOfAnIdempotentRequestAvoidsSuspects(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing = 0.7
	busy := well("busy")
	busy.InUse = 3
	last := lookup()
	last.Retry, last.MayRetry, last.MayRunTrial = true, false, false
	if got := Choose([]Candidate{suspect, busy}, last, chooser()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

func TestBlockedTargetIsNeverChosen(t *testing.T) {
	blocked := well("blocked")
	blocked.Blocked = true
	if got := Choose([]Candidate{blocked}, booking(), chooser()); got.Reason != ReasonNoTarget {
		t.Errorf("chose %+v", got)
	}
}

// TestBurstIsRefusedByRank is the load of a burst: all slots are busy and
// requests wait. Low ranks are refused first, and all are once an answer would
// come too late.
func TestBurstIsRefusedByRank(t *testing.T) {
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
		busy := well("busy")
		busy.InUse = c.inUse
		high := booking()
		lower := booking()
		lower.Priority = 2
		if got := Choose([]Candidate{busy}, high, chooser()); got.Reason != c.high {
			t.Errorf("%d in use: high rank: %q, want %q", c.inUse, got.Reason, c.high)
		}
		if got := Choose([]Candidate{busy}, lower, chooser()); got.Reason != c.low {
			t.Errorf("%d in use: low rank: %q, want %q", c.inUse, got.Reason, c.low)
		}
	}
}

func TestNewcomerGetsItsFirstRequest(t *testing.T) {
	newcomer := well("newcomer")
	newcomer.Unused, newcomer.Cold, newcomer.SameZone = true, true, false
	if got := Choose([]Candidate{well("known"), newcomer}, booking(), chooser()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

func TestLargeBodyStaysInItsZone(t *testing.T) {
	near, far := well("near"), well("far")
	near.InUse = 1
	far.SameZone = false
	upload := booking()
	upload.Bytes = 60_000
	if got := Choose([]Candidate{far, near}, upload, chooser()); got.Index != 1 {
		t.Errorf("chose %+v", got)
	}
}

// TestTargetThatRecoversIsTriedAgainAtOnce: a few answers clear a suspect, so
// they follow one another without the pause after a failure.
func TestTargetThatRecoversIsTriedAgainAtOnce(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing, suspect.SinceAttempt = 0.9, 10*time.Millisecond
	candidates := []Candidate{well("well"), suspect}
	if got := Choose(candidates, lookup(), chooser()); got.Trial {
		t.Errorf("right after a failure: chose %+v", got)
	}
	candidates[1].Recovering = true
	if got := Choose(candidates, lookup(), chooser()); got.Index != 1 || !got.Trial {
		t.Errorf("right after a success: chose %+v", got)
	}
}

// TestNeglectedTargetGetsARequestWithoutBudget is a service half of whose
// targets are under suspicion while repeats have used up the budget. No trial
// can be paid for, yet targets that are well again must not stay left out.
func TestNeglectedTargetGetsARequestWithoutBudget(t *testing.T) {
	suspect := well("suspect")
	suspect.Failing = 0.9
	for _, c := range []struct {
		name  string
		ask   AttemptRequest
		since time.Duration
		want  int
	}{
		{"idempotent, tried lately", lookup(), time.Second, 0},
		{"idempotent, not tried for long", lookup(), idempotentNeglect, 1},
		{"once, left to idempotent ones", booking(), idempotentNeglect, 0},
		{"once, not tried for very long", booking(), onceNeglect, 1},
	} {
		c.ask.MayRunTrial, c.ask.MayRetry, c.ask.MayExplore = false, false, true
		suspect.SinceAttempt = c.since
		if got := Choose([]Candidate{well("well"), suspect}, c.ask, chooser()); got.Index != c.want || got.Trial {
			t.Errorf("%s: chose %+v", c.name, got)
		}
	}
	suspect.SinceAttempt, suspect.SameZone = onceNeglect, false
	upload := booking()
	upload.Bytes, upload.MayExplore = 60_000, true
	if got := Choose([]Candidate{well("well"), suspect}, upload, chooser()); got.Index != 0 {
		t.Errorf("a large body to another availability zone: chose %+v", got)
	}
}

// TestShortWorkWaitsBehindLongWork is a service of short look-ups and long
// uploads: how long a look-up waits follows from the uploads.
func TestShortWorkWaitsBehindLongWork(t *testing.T) {
	busy := well("busy")
	busy.InUse = 4
	short := lookup()
	short.ServiceTime, short.QueueServiceTime, short.UsefulTime, short.Remaining = 40*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond
	if got := Choose([]Candidate{busy}, short, chooser()); got.Reason != ReasonTooLate || got.Wait < 300*time.Millisecond {
		t.Errorf("chose %+v", got)
	}
}
