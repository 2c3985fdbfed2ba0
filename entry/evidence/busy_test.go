package evidence

import (
	"fmt"
	"testing"
)

// TestBusyVMTellsItsOutcomes guards against a VM that tells no outcomes since the targets that it uses fill the
// datagram, so that others find out about slow and failing targets by themselves.
func TestBusyVMTellsItsOutcomes(t *testing.T) {
	for _, targets := range []int{10, 100, 1000} {
		p := newPair()
		uses := make(map[string]int)
		for i := range targets {
			uses[fmt.Sprintf("i-booking-%08x", i)] = 1
		}
		p.from.options.AttemptsInProgress = func() map[string]int { return uses }
		p.from.Publish(AttemptEvidence{Target: "i-booking-00000003", FailureNats: 3})
		p.from.send(false)
		p.to.HandleDatagram(p.packets.sent[0])
		if len(p.got.outcomes) != 1 {
			t.Errorf("%d targets in use: %d outcomes arrived, want 1", targets, len(p.got.outcomes))
		}
	}
}
