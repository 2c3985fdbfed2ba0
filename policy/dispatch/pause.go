package dispatch

import "time"

// Bounds of the pause detector.
const (
	// PauseInterval is how often a running process observes its clock.
	PauseInterval = 50 * time.Millisecond
	// PauseThreshold is the least gap between observations that is a pause.
	PauseThreshold = 500 * time.Millisecond
	// PauseBacklogTime is how long after a pause requests that arrived during it may
	// still be read.
	PauseBacklogTime = time.Second
)

// PauseDetector notices that the process did not run for a while. A request
// that is read right after a pause may have waited in the socket all that time,
// so the pause counts against its deadline.
type PauseDetector struct {
	started bool
	last    time.Duration
	woke    time.Duration
	length  time.Duration
}

// Observe takes the uptime at which the process runs and returns the time that
// a request read now may have waited unseen.
func (d *PauseDetector) Observe(uptime time.Duration) time.Duration {
	gap := uptime - d.last
	if d.started && gap >= PauseThreshold {
		d.woke, d.length = uptime, gap
	}
	d.started, d.last = true, uptime
	if d.length > 0 && uptime < d.woke+PauseBacklogTime {
		return d.length
	}
	return 0
}
