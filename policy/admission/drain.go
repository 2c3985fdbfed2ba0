package admission

import "time"

// drainSmoothing is the weight of a new gap in the moving average.
const drainSmoothing = 0.05

// DrainEstimator estimates how fast a queue drains from the gaps between the items that
// leave it while others wait. The zero value knows nothing and expects no wait.
type DrainEstimator struct {
	last time.Time
	// gap is the average time between two items, in seconds.
	gap float64
}

// ItemLeft records that an item left the queue; backlogged tells whether others
// still wait, which makes the gap that begins now a measure of the service.
func (d *DrainEstimator) ItemLeft(now time.Time, backlogged bool) {
	if !d.last.IsZero() {
		d.observe(now.Sub(d.last).Seconds())
	}
	d.last = time.Time{}
	if backlogged {
		d.last = now
	}
}

// QueueStarted records that the queue was empty and an item waits now.
func (d *DrainEstimator) QueueStarted(now time.Time) { d.last = now }

// EstimateWait is the time in which a number of items leave the queue.
func (d *DrainEstimator) EstimateWait(items float64) time.Duration {
	return time.Duration(items * d.gap * float64(time.Second))
}

func (d *DrainEstimator) observe(gap float64) {
	if d.gap == 0 {
		d.gap = gap
		return
	}
	d.gap += drainSmoothing * (gap - d.gap)
}
