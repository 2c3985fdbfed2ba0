package soak

import "time"

// Regression is a run that once broke a promise.
type Regression struct {
	Seed     uint64
	Duration time.Duration
	// VMs, Targets and Callers are the numbers of the run.
	VMs, Targets, Callers int
	// Cause is what was at fault, mended since.
	Cause string
}

// Regressions returns the runs that ever failed for a fault of the daemon. A
// change of the schedule draws other faults from the same seeds, so each fault
// has a test of its own besides.
func Regressions() []Regression {
	return []Regression{
		{
			Seed: 10, Duration: 15 * time.Second, VMs: 6, Targets: 8, Callers: 24,
			Cause: "store news, targets and evidence waited for one another's locks; see TestCallbacksRunWithoutTheLock",
		},
		{
			Seed: 100, Duration: 12 * time.Second, VMs: 12, Targets: 12, Callers: 36,
			Cause: "a request that many callers send alike was taken for one that crashes targets; see TestPopularRequestIsNotRefusedForClosedConnections",
		},
	}
}

// Apply sets the options to the regression's.
func (r Regression) Apply(options *Options) {
	options.Seed, options.Duration = r.Seed, r.Duration
	options.VMs, options.Targets, options.Callers = r.VMs, r.Targets, r.Callers
}
