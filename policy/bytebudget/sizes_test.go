package bytebudget

import (
	"math/rand/v2"
	"strconv"
	"testing"
)

// TestEstimateFollowsTheSizesOfARoute guards against reservations that are far from what
// the responses of a route need: too small, they end in responses that can't be held; too
// large, in refusals while there is room.
func TestEstimateFollowsTheSizesOfARoute(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name string
		draw func() int64
		// least and most bound the estimate in bytes.
		least, most int64
		// covered is the least share of responses that need no more than the estimate.
		covered float64
	}{
		{"always the same", func() int64 { return 4_000 }, 4_000, 4_500, 1},
		{"downloads of 90 KB in the mean", func() int64 { return min(int64(random.ExpFloat64()*90_000), 540_000) }, 90_000, 270_000, 0.7},
	} {
		var sizes Sizes
		for range 500 {
			sizes.Observe(c.name, c.draw())
		}
		estimate := sizes.Estimate(c.name, FirstEstimate, 1<<20)
		if estimate < c.least || estimate > c.most {
			t.Errorf("%s: estimate %d, want %d to %d", c.name, estimate, c.least, c.most)
		}
		covered := 0
		for range 1000 {
			if c.draw() <= estimate {
				covered++
			}
		}
		if share := float64(covered) / 1000; share < c.covered {
			t.Errorf("%s: the estimate covers %v of the responses, want %v", c.name, share, c.covered)
		}
	}
}

// TestSizesAreBounded guards against memory that grows with the names of routes that were
// published at some time.
func TestSizesAreBounded(t *testing.T) {
	var sizes Sizes
	for i := range 2 * maxRoutes {
		sizes.Observe(strconv.Itoa(i), 100)
	}
	if len(sizes.routes) > maxRoutes {
		t.Errorf("%d routes are kept", len(sizes.routes))
	}
	if got := sizes.Estimate("another", FirstDownloadEstimate, 1<<20); got != FirstDownloadEstimate {
		t.Errorf("estimate %d of a route that isn't kept", got)
	}
	if got := sizes.Estimate("another", FirstEstimate, 100); got != 100 {
		t.Errorf("estimate %d over the limit", got)
	}
}
