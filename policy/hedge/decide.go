package hedge

import "time"

// Reason is the stable name of why a request is or is not hedged.
type Reason string

// The reasons of a decision; each has a counter.
const (
	// Allowed means that a hedge may be sent.
	Allowed Reason = "allowed"
	// Off means that the settings allow no hedges.
	Off Reason = "off"
	// NotIdempotent means that the request must not run twice.
	NotIdempotent Reason = "not_idempotent"
	// BodyNotHeld means that the complete body is not in memory.
	BodyNotHeld Reason = "body_not_held"
	// AttemptsExhausted means that the route allows no further attempt.
	AttemptsExhausted Reason = "attempts_exhausted"
	// AlreadyHedged means that the request has had its hedge.
	AlreadyHedged Reason = "already_hedged"
	// CrashSuspect means that a target may have crashed on the request.
	CrashSuspect Reason = "crash_suspect"
	// NotMeasured means that too few durations of the route are known.
	NotMeasured Reason = "not_measured"
	// TooEarly means that the first attempt is not slow yet.
	TooEarly Reason = "too_early"
	// DeadlineTooNear means that the hedge could not end in time.
	DeadlineTooNear Reason = "deadline_too_near"
	// RequestsWait means that requests wait for the service.
	RequestsWait Reason = "requests_wait"
	// NoRoom means that too few slots of sound targets are free.
	NoRoom Reason = "no_room"
	// NoTarget means that no other sound target has a free slot.
	NoTarget Reason = "no_target"
	// BudgetSpent means that the hedging budget is spent.
	BudgetSpent Reason = "budget"
	// RetryBudget means that retries need what is left of the retry budget.
	RetryBudget Reason = "retry_budget"
	// PathInDoubt means that this VM may be cut off from the targets.
	PathInDoubt Reason = "path_in_doubt"
)

const (
	// askAgain is the time after which a hedge that was not allowed is considered
	// again, and a first attempt's target is looked at again. It bounds how late a
	// target that has become a suspect is noticed.
	askAgain = 50 * time.Millisecond
	// freeShare is the share of a service's slots that must be free at sound targets:
	// hedging stops before requests would have to wait.
	freeShare = 0.1
	// usualShare is the part of the ratio for requests that are not urgent while some targets
	// are suspects. The others are at slow targets and would wait longest.
	usualShare = 0.8
	// urgentDelays is the number of delays after which a request at a target that is no
	// suspect is urgent.
	urgentDelays = 2
)

// Settings are what an operator allows.
type Settings struct {
	// Ratio is the number of hedges for each request to a service; 0 allows none.
	Ratio float64
	// MinDelay is the least time from the first attempt to its hedge.
	MinDelay time.Duration
}

// Request describes a request with one attempt in progress.
type Request struct {
	Idempotent bool
	// BodyHeld is true when the complete body is in memory.
	BodyHeld bool
	// Hedged is true when the request has had a hedge.
	Hedged bool
	// CrashSuspect is true when a target may have crashed on the request.
	CrashSuspect bool
	// Attempts is the number of attempts, with the one in progress; AttemptsAllowed
	// is the number that the route allows.
	Attempts, AttemptsAllowed int
}

// Eligible returns Allowed when the request may be hedged at all, and otherwise the
// reason against it.
func Eligible(r Request) Reason {
	switch {
	case !r.Idempotent:
		return NotIdempotent
	case !r.BodyHeld:
		return BodyNotHeld
	case r.Hedged:
		return AlreadyHedged
	case r.Attempts >= r.AttemptsAllowed:
		return AttemptsExhausted
	case r.CrashSuspect:
		return CrashSuspect
	}
	return Allowed
}

// Room is what is free in a service, as this VM knows it.
type Room struct {
	// Slots is the number of slots of usable targets, Free the number of free ones at
	// those that are sound.
	Slots, Free int
	// Waiting is true when requests wait at a sound target.
	Waiting bool
	// HasSuspects is true when some targets are suspects.
	HasSuspects bool
}

// Moment describes the first attempt of a request that may be hedged.
type Moment struct {
	// Elapsed is the time since the first attempt began, Remaining the time until the
	// response is due.
	Elapsed, Remaining time.Duration
	// TargetSuspect is true when its target is a suspect.
	TargetSuspect bool
}

// Due returns Allowed when the first attempt is slow enough for a hedge, and otherwise
// the reason against it and the time after which to ask again, zero for never.
func Due(settings Settings, durations *Durations, moment Moment) (reason Reason, again time.Duration) {
	switch {
	case settings.Ratio <= 0:
		return Off, 0
	case !durations.Known():
		return NotMeasured, 0
	}
	wait := durations.Delay(settings.MinDelay, moment.TargetSuspect) - moment.Elapsed
	switch {
	case wait <= 0 && moment.Remaining < durations.Median():
		return DeadlineTooNear, 0
	case wait <= 0:
		return Allowed, 0
	}
	untilSuspicionCounts := durations.Delay(settings.MinDelay, true) - moment.Elapsed
	return TooEarly, min(wait, max(untilSuspicionCounts, askAgain))
}

// UsableRatio returns the ratio of the requests up to which the budget may be used for a hedge
// that is due.
func UsableRatio(settings Settings, durations *Durations, moment Moment, room Room) float64 {
	urgent := moment.TargetSuspect || moment.Elapsed >= urgentDelays*durations.Delay(settings.MinDelay, false)
	if room.HasSuspects && !urgent {
		return usualShare * settings.Ratio
	}
	return settings.Ratio
}

// Fits returns Allowed when the service has room for a hedge, and otherwise the reason
// against it and the time after which to ask again.
func Fits(room Room) (reason Reason, again time.Duration) {
	switch {
	case room.Waiting:
		return RequestsWait, askAgain
	case float64(room.Free) <= freeShare*float64(room.Slots):
		return NoRoom, askAgain
	}
	return Allowed, 0
}

// Later returns when to ask again after a hedge found no target or budget.
func Later() time.Duration { return askAgain }
