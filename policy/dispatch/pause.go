package dispatch

import (
	"cmp"
	"time"
)

// Bounds of the pause detector.
const (
	// PauseInterval is how often a running process observes its clock.
	PauseInterval = 50 * time.Millisecond
	// PauseThreshold is the minimum gap between observations that counts as a pause.
	PauseThreshold = 500 * time.Millisecond
	// PauseBacklogTime is how long after a pause the process may still read
	// requests that arrived during it.
	PauseBacklogTime = time.Second
)

// PauseDetector detects that the process did not run for a while. A request
// that is read right after a pause may have waited in the socket buffer
// throughout, so the pause counts against its deadline.
type PauseDetector struct {
	// Threshold is the minimum gap between observations that counts as a pause; zero means
	// PauseThreshold.
	Threshold time.Duration

	started      bool
	lastObserved time.Duration
	resumedAt    time.Duration
	pauseLength  time.Duration
}

// Observe records that the process runs at the given uptime and returns how
// long a request that is read now may have waited in the socket buffer.
func (d *PauseDetector) Observe(uptime time.Duration) time.Duration {
	gap := uptime - d.lastObserved
	if d.started && gap >= cmp.Or(d.Threshold, PauseThreshold) {
		d.resumedAt, d.pauseLength = uptime, gap
	}
	d.started, d.lastObserved = true, uptime
	if d.pauseLength > 0 && uptime < d.resumedAt+PauseBacklogTime {
		return d.pauseLength
	}
	return 0
}
