package soak

import "time"

// Regression is a run that once broke a promise.
type Regression struct {
	Seed     uint64
	Duration time.Duration
	// VMs, Targets, Callers and CrashingRequests are the number of each in the run.
	VMs, Targets, Callers, CrashingRequests int
	SilentCrashShare, WorkerCrashShare      float64
	VaryCrashing, PartitionsOnly, StopsOnly bool
	// Cause is the bug in the daemon, since fixed.
	Cause string
}

// Regressions returns the runs that have failed because of a bug in the daemon.
// When the schedule changes, the same seeds draw other faults, so each bug has a
// separate test as well.
func Regressions() []Regression {
	return []Regression{
		{
			Seed: 10, Duration: 15 * time.Second, VMs: 6, Targets: 8, Callers: 24,
			Cause: "deadlock between the locks of store news, targets and evidence; see TestCallbacksRunWithoutTheLock",
		},
		{
			Seed: 100, Duration: 12 * time.Second, VMs: 12, Targets: 12, Callers: 36,
			Cause: "an identical request sent by many callers was quarantined as one that crashes targets; see TestPopularRequestIsNotRefusedForClosedConnections",
		},
		{
			Seed: 902, Duration: time.Millisecond, VMs: 12, Targets: 12, Callers: 36, CrashingRequests: 3,
			Cause: "VMs did not learn of crashes that others saw; see TestRequestThatCrashesItsTargetsIsRefusedEverywhere",
		},
		{
			Seed: 903, Duration: time.Millisecond, VMs: 12, Targets: 12, Callers: 36, CrashingRequests: 3, SilentCrashShare: 1,
			Cause: "targets that fell silent did not count as crashed; see TestLostAttemptIsACrashOnlyWhenItsTargetEnded",
		},
		{
			Seed: 904, Duration: 12 * time.Second, VMs: 12, Targets: 12, Callers: 36, CrashingRequests: 12,
			Cause: "requests in progress on crashed targets were refused; see TestRequestInProgressOnCrashedTargetsIsNotRefused",
		},
		{
			Seed: 4000, Duration: 20 * time.Second, VMs: 12, Targets: 12, Callers: 36,
			Cause: "revisions of a store that was restored from a copy were compared with those from before; see TestVersionPublishedAfterTheStoreWentBackComesIntoForce",
		},
		{
			Seed: 7401, Duration: 15 * time.Second, VMs: 12, Targets: 12, Callers: 36, CrashingRequests: 3, WorkerCrashShare: 1,
			Cause: "the end of a worker process behind a listener did not count; see TestRequestLostAtManyServingTargetsIsRefused",
		},
		{
			Seed: 9801, Duration: 20 * time.Second, VMs: 12, Targets: 12, Callers: 36, CrashingRequests: 10, SilentCrashShare: 0.3, WorkerCrashShare: 0.2, VaryCrashing: true,
			Cause: "a request was not known again with another query or from another address; see TestRequestThatChangesFromSendToSendIsQuarantined",
		},
		{
			Seed: 9901, Duration: 20 * time.Second, VMs: 12, Targets: 12, Callers: 36, PartitionsOnly: true,
			Cause: "a VM that reached no target refused all requests; see TestVMThatReachesNoTargetServesItsCallers",
		},
		{
			Seed: 33, Duration: 12 * time.Second, VMs: 12, Targets: 12, Callers: 36, StopsOnly: true,
			Cause: "a VM that stopped took its long requests for a lost path and broke them off; see TestStopBreaksOffNoLongRequest",
		},
		{
			Seed: 52, Duration: 12 * time.Second, VMs: 12, Targets: 12, Callers: 36, StopsOnly: true,
			Cause: "a second SIGTERM ended a VM that stopped, with its requests in progress; see TestSignalsDuringAStopCutNoRequest",
		},
		{
			Seed: 61, Duration: 12 * time.Second, VMs: 12, Targets: 12, Callers: 36, StopsOnly: true,
			Cause: "a VM that stopped passed on requests that it could not finish; see TestStopTakesNoRequestThatItCannotFinish",
		},
	}
}

// Apply copies the parameters of the regression's run into the options.
func (r Regression) Apply(options *Options) {
	options.Seed, options.Duration = r.Seed, r.Duration
	options.VMs, options.Targets, options.Callers = r.VMs, r.Targets, r.Callers
	options.CrashingRequests, options.SilentCrashShare, options.WorkerCrashShare = r.CrashingRequests, r.SilentCrashShare, r.WorkerCrashShare
	options.VaryCrashing, options.PartitionsOnly, options.StopsOnly = r.VaryCrashing, r.PartitionsOnly, r.StopsOnly
}
