package room_test

import (
	"testing"
	"time"
)

// TestNothingIsRefusedInSmallServicesBelowTheCapacity guards against chance that is taken for an
// overload or for the surge of a customer where a service has few slots.
func TestNothingIsRefusedInSmallServicesBelowTheCapacity(t *testing.T) {
	for _, build := range []func(model, float64) model{threePriorities, manyCustomers} {
		for _, targets := range []int{2, 4, 8} {
			for _, load := range []float64{0.5, 0.7, 0.85} {
				arrived, today, now := 0, 0, 0
				for seed := range uint64(3) {
					m := serviceTwo(false, seed)
					m.targets, m.slots, m.length = targets, 2, 6*time.Minute
					before := build(m, load)
					after := before
					after.usesRoom = true
					a, b, c := refusals(before.play(), after.play())
					arrived, today, now = arrived+a, today+b, now+c
				}
				t.Logf("%d sources, %d slots, load %.2f: of %d refused %d, by today's rule %d", len(build(model{}, 1).sources), 2*targets, load, arrived, now, today)
				if now > today {
					t.Errorf("%d slots, load %.2f: of %d refused %d, by today's rule %d", 2*targets, load, arrived, now, today)
				}
			}
		}
	}
}
