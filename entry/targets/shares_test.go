package targets

import (
	"math"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

func TestShareFollowsUse(t *testing.T) {
	now := time.Unix(1000, 0)
	vms := []string{"vm-1", "vm-2", "vm-3"}
	demand := admission.Demand{Customer: "small", Rate: 10}
	cases := []struct {
		name  string
		alive map[string]bool
		uses  map[string]float64
		want  float64
	}{
		{"the other VMs are idle", map[string]bool{"vm-2": true, "vm-3": true}, nil, 0.25/3 + 0.75},
		{"another VM has the same use", map[string]bool{"vm-2": true, "vm-3": true}, map[string]float64{"vm-2": 10}, 0.25/3 + 0.375},
		{"the other VMs are not seen alive", nil, nil, 1.0 / 3},
	}
	for _, c := range cases {
		var s shares
		for vm, rate := range c.uses {
			s.receive(now, vm, &primroseloomv1.CustomerUse{Customer: "small", Rate: rate})
		}
		if got := s.divide(now, demand, vms, "vm-1", c.alive); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestOldReportsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	var s shares
	s.receive(now, "vm-2", &primroseloomv1.CustomerUse{Customer: "small", Rate: 10})
	if s.due(now.Add(admission.UsageStaleAfter + time.Second)); len(s.uses) != 0 {
		t.Fatalf("%d reports kept", len(s.uses))
	}
}
