package capacity

import (
	"math"
	"testing"
	"time"
)

func TestExtrapolateFollowsTheLastSlope(t *testing.T) {
	measured := []Cost{
		{Instances: 10, CorePercent: 5},
		{Instances: 100, CorePercent: 1, MemoryMB: 10, PeerBytesPerS: 3000, TargetBytesPerS: 9},
		{Instances: 200, CorePercent: 1.2, MemoryMB: 12, PeerBytesPerS: 3000, TargetBytesPerS: 5},
	}
	got := extrapolate(measured, 840)
	if math.Abs(got.CorePercent-2.48) > 1e-9 || math.Abs(got.MemoryMB-24.8) > 1e-9 || got.PeerBytesPerS != 3000 || got.TargetBytesPerS != 5 {
		t.Errorf("extrapolated to %+v", got)
	}
}

func TestValidate(t *testing.T) {
	tests := []struct {
		name      string
		instances []int
		duration  time.Duration
		ok        bool
	}{
		{"valid", []int{2, 3}, time.Second, true},
		{"one size", []int{2}, time.Second, false},
		{"descending", []int{3, 2}, time.Second, false},
		{"zero", []int{0, 2}, time.Second, false},
		{"too short", []int{2, 3}, time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := Options{Instances: test.instances, Duration: test.duration}.Validate()
			if (err == nil) != test.ok {
				t.Errorf("error %v", err)
			}
		})
	}
}
