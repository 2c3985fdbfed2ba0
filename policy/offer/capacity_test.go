package offer

import (
	"math"
	"testing"
)

// TestRateIsThatOfTheBottleneck guards against VMs that are offered callers by their number
// of requests while their links or memories are full.
func TestRateIsThatOfTheBottleneck(t *testing.T) {
	const (
		capacity = 200
		// linkMbps is the link that allows capacity requests of average size.
		linkMbps = capacity * bitsPerRequest / maxLinkShare / 1e6
	)
	for _, c := range []struct {
		name string
		use  Use
		want float64
	}{
		{"idle", Use{}, 0},
		{"small responses", Use{Requests: 50, BitsPerSecond: 50 * 8 * 2_000, HeldShare: 0.01}, 50},
		{"average responses", Use{Requests: 50, BitsPerSecond: 50 * bitsPerRequest}, 50},
		{"downloads of 90 KB", Use{Requests: 20, BitsPerSecond: 20 * 8 * 90_000}, 144},
		{"callers that read slowly", Use{Requests: 20, BitsPerSecond: 1000, HeldShare: 0.5}, capacity},
	} {
		if got := Rate(c.use, capacity, linkMbps); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	// On a link of four times that bandwidth the processor bounds the capacity.
	if got := Rate(Use{Requests: 20, BitsPerSecond: 20 * 8 * 90_000}, capacity, 4*linkMbps); math.Abs(got-36) > 1e-9 {
		t.Errorf("downloads on a fast link: %v, want 36", got)
	}
}

// TestLargerResponsesNeedMoreVMs guards against a burst of downloads that stays on as many
// VMs as small requests need.
func TestLargerResponsesNeedMoreVMs(t *testing.T) {
	vms, capacity := fleet(1, 8), Capacity(0.8, 10)
	primaries := func(use Use) int {
		for i := range vms {
			vms[i].Capacity, vms[i].Rate = capacity, 0
		}
		for i := range 2 {
			vms[i].Rate = Rate(use, capacity, 10)
		}
		return len(Primaries(vms, vms[0].Zone, Settings{MinPerZone: 2}))
	}
	small, large := Use{Requests: 30, BitsPerSecond: 30 * 8 * 2_000}, Use{Requests: 30, BitsPerSecond: 8e6}
	if few, more := primaries(small), primaries(large); few != 2 || more <= few {
		t.Errorf("%d VMs for small responses, %d for large ones; the capacity is %d", few, more, capacity)
	}
}
