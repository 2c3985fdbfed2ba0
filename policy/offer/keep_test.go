package offer

import (
	"testing"
	"time"
)

// TestResponsesExpireBeforeAStoppingVMRefuses guards against callers that hold a directory response
// for so long that a stopping VM has to refuse them, and against responses that callers must renew
// all the time.
func TestResponsesExpireBeforeAStoppingVMRefuses(t *testing.T) {
	const configured, finish = time.Second, 5600 * time.Millisecond
	for longest, want := range map[time.Duration]time.Duration{
		0:                       configured,
		2 * time.Second:         configured,
		2600 * time.Millisecond: 2750 * time.Millisecond / keepFactor,
		3 * time.Second:         2350 * time.Millisecond / keepFactor,
		5 * time.Second:         MinKeepFor,
		time.Minute:             MinKeepFor,
	} {
		if got := KeepFor(configured, finish, longest); got != want {
			t.Errorf("longest time limit %v: %v, want %v", longest, got, want)
		}
	}
}
