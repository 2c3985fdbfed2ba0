package breaker

import (
	"testing"
	"time"
)

// TestLateAttemptFromBeforeEndsNoTrial guards against a VM that stays cut off for as long as its
// late attempts go on: each examination of one, 200 ms apart, would open the half-open breaker
// again although no trial has failed, and a breaker that lost requests opened waits 5 to 6 s there.
func TestLateAttemptFromBeforeEndsNoTrial(t *testing.T) {
	b := &Breaker{}
	for _, target := range []string{"t1", "t2", "t3"} {
		lose(b, target, false, start)
	}
	b.OpenByLosses(start)
	b.Connected(start + 400*time.Millisecond)
	if b.State() != HalfOpen {
		t.Fatalf("after a connection opened: %v", b.State())
	}
	b.Lost(Loss{Target: "t1", At: start + 600*time.Millisecond, BegunAt: start})
	if b.State() != HalfOpen {
		t.Errorf("an attempt that began before the breaker opened ended its trial: %v", b.State())
	}
}
