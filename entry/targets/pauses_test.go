package targets

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// shedAll lets each target shed one request and ask for a pause.
func (f *fixture) shedAll(t *testing.T, pauses ...time.Duration) {
	t.Helper()
	for range pauses {
		lease := f.acquire(t, "small")
		pause := pauses[0]
		if lease.Target().Name != "t0" {
			pause = pauses[len(pauses)-1]
		}
		lease.Done(contract.AttemptResult{Kind: contract.AttemptShed, Pause: pause})
	}
}

// TestSheddingTargetGetsThePauseThatItAsksFor guards against new work, as a first attempt,
// a retry or a trial, for a target that shed a request and named a time in Retry-After; a
// shorter pause must not end a longer one.
func TestSheddingTargetGetsThePauseThatItAsksFor(t *testing.T) {
	const pause = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 2)
		f.shedAll(t, pause, 0)
		time.Sleep(maxPause)
		for range 28 {
			time.Sleep(100 * time.Millisecond)
			lease := f.acquire(t, "small")
			if lease.Target().Name == "t0" {
				t.Fatal("a request went to the target in its pause")
			}
			lease.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded, Total: time.Millisecond})
		}
		time.Sleep(time.Second)
		used := false
		for range 50 {
			lease := f.acquire(t, "small")
			used = used || lease.Target().Name == "t0"
			lease.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded, Total: time.Millisecond})
		}
		if !used {
			t.Error("the target got no request after its pause")
		}
	})
}

// TestRequestIsRefusedAtOnceWhileAllTargetsPause guards against a request that waits until
// its deadline for targets that take none before.
func TestRequestIsRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 2)
		f.shedAll(t, 9*time.Second, 5*time.Second)
		began := time.Now()
		_, err := f.Acquire(t.Context(), acquireRequest("small", time.Second))
		var refusal *outcome.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != outcome.ReasonTargetPaused || refusal.RetryAfter != 5*time.Second {
			t.Errorf("refusal %v, want %s and 5 s", err, outcome.ReasonTargetPaused)
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("the request waited %v", waited)
		}
		lease, err := f.Acquire(t.Context(), acquireRequest("small", 6*time.Second))
		if err != nil {
			t.Fatalf("a request that can wait for the end of a pause: %v", err)
		}
		lease.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded, Total: time.Millisecond})
	})
}
