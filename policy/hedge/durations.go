package hedge

import (
	"slices"
	"time"
)

const (
	// durationsKept is the number of durations from which the quantiles are taken.
	durationsKept = 200
	// minDurations is the number below which no quantile is known: a twentieth of
	// them is above the 95th percentile.
	minDurations = 20
	// refreshEvery is the number of new durations after which the quantiles are
	// computed anew.
	refreshEvery = 10
	// delayQuantile is the share of the durations that a hedge waits for;
	// suspectQuantile is that share at a target that has become a suspect.
	delayQuantile, suspectQuantile = 0.95, 0.5
)

// Durations holds the recent durations of the first attempts of one route. The zero
// value is empty and ready for use.
type Durations struct {
	recent []time.Duration
	// next is the index of the oldest duration once durationsKept are held.
	next int
	// fresh counts the durations since the quantiles were computed.
	fresh        int
	median, high time.Duration
}

// Add adds the duration of an attempt that was served. An attempt that lost against
// its hedge is added with its time until then, which is at least the delay: the
// quantile that determines the delay stays true although the full time is unknown.
func (d *Durations) Add(elapsed time.Duration) {
	if len(d.recent) < durationsKept {
		d.recent = append(d.recent, elapsed)
	} else {
		d.recent[d.next] = elapsed
		d.next = (d.next + 1) % durationsKept
	}
	d.fresh++
	if d.fresh >= refreshEvery || len(d.recent) == minDurations {
		d.refresh()
	}
}

func (d *Durations) refresh() {
	d.fresh = 0
	sorted := slices.Clone(d.recent)
	slices.Sort(sorted)
	d.median = sorted[int(suspectQuantile*float64(len(sorted)))]
	d.high = sorted[int(delayQuantile*float64(len(sorted)))]
}

// Known reports whether there are enough durations for a delay.
func (d *Durations) Known() bool { return len(d.recent) >= minDurations }

// Median returns the median of the recent durations.
func (d *Durations) Median() time.Duration { return d.median }

// Delay returns the time from the begin of the first attempt to its hedge, at least
// minDelay; it is shorter when the target of the first attempt is a suspect.
func (d *Durations) Delay(minDelay time.Duration, suspect bool) time.Duration {
	if suspect {
		return max(d.median, minDelay)
	}
	return max(d.high, minDelay)
}
