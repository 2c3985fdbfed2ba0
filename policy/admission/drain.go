package admission

import "time"

// gapSmoothing is the weight of a new gap in the exponential moving average.
const gapSmoothing = 0.05

// DrainEstimator estimates how fast a queue drains from the gaps between the
// items that leave it while others wait. The zero value has no measurements and
// estimates no wait.
type DrainEstimator struct {
	// gapStart is when the present gap began; zero while no item waits.
	gapStart time.Time
	// meanGapSeconds is the moving average of the gaps, in seconds.
	meanGapSeconds float64
}

// ItemLeft records that an item left the queue. Backlogged is true when others
// still wait; only then does the gap that begins now measure the service rate.
func (d *DrainEstimator) ItemLeft(now time.Time, backlogged bool) {
	if !d.gapStart.IsZero() {
		d.addGap(now.Sub(d.gapStart).Seconds())
	}
	d.gapStart = time.Time{}
	if backlogged {
		d.gapStart = now
	}
}

// QueueStarted records that an item began to wait in the empty queue.
func (d *DrainEstimator) QueueStarted(now time.Time) { d.gapStart = now }

// EstimateWait returns the estimated time until a number of items have left the
// queue.
func (d *DrainEstimator) EstimateWait(items float64) time.Duration {
	return time.Duration(items * d.meanGapSeconds * float64(time.Second))
}

func (d *DrainEstimator) addGap(seconds float64) {
	if d.meanGapSeconds == 0 {
		d.meanGapSeconds = seconds
		return
	}
	d.meanGapSeconds += gapSmoothing * (seconds - d.meanGapSeconds)
}
