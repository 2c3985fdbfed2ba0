package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds on trials and waiting.
const (
	// suspectFrom is the probability of a fault from which a target is a suspect.
	suspectFrom = 0.3
	// trialGap is the time between two trials of a suspect whose last attempt
	// failed, by all VMs together. It is short beside the seconds that a fault lasts.
	trialGap = 400 * time.Millisecond
	// idempotentNeglect and onceNeglect are the times without any attempt after
	// which a target gets the next request of its kind whatever its record, so
	// that one that is well again is not left out. Idempotent requests go first.
	idempotentNeglect = 1200 * time.Millisecond
	onceNeglect       = 1600 * time.Millisecond
	// mostNeglectBytes is the size up to which a request may go to another
	// availability zone for that.
	mostNeglectBytes = 10_000
	// trialTime is how many average attempts must fit into the time left of a trial.
	trialTime = 3
	// queueSlots is the number of requests, in slots of the target, that may wait at it.
	queueSlots = 2.0
	// leastWorth is the worth below which a request does not wait; it is higher
	// by rankStep for each rank after the first, up to mostWorth.
	leastWorth, rankStep, mostWorth = 0.4, 0.3, 0.8
	// refusedCost puts candidates that would refuse behind all others.
	refusedCost = 100
)

// Candidate is one target as the chooser sees it.
type Candidate struct {
	ID string
	// SameZone is true in the availability zone of this VM.
	SameZone bool
	Slots    int
	// InUse is the number of attempts in progress from all VMs.
	InUse int
	// Failing and Slow are the probabilities of the faults.
	Failing, Slow, Shedding float64
	// Cold is true while the target is slow after its start.
	Cold bool
	// Unused is true until a request has reached the target, from any VM.
	Unused bool
	// Blocked is true while this VM cannot reach the target.
	Blocked bool
	// SinceAttempt is the time since any VM was last known to attempt it.
	SinceAttempt time.Duration
	// Recovering is true when its last attempt, from any VM, did not fail.
	Recovering bool
}

// suspect reports whether the target is under suspicion.
func (c Candidate) suspect() bool { return IsSuspect(c.Failing, c.Slow) }

// IsSuspect reports whether a target with these probabilities of failing and of
// slowness is under suspicion.
func IsSuspect(failing, slow float64) bool { return failing >= suspectFrom || slow >= suspectFrom }

// AttemptRequest describes the attempt.
type AttemptRequest struct {
	// Idempotent requests may run twice.
	Idempotent bool
	// Retry marks an attempt after the first.
	Retry bool
	// MayRetry is true when another attempt would be allowed and paid for.
	MayRetry bool
	// MayRunTrial allows a trial of a suspect; the budget for repeats has room.
	MayRunTrial bool
	// MayExplore allows an attempt at a target that had none for long, whatever its
	// record; such attempts are bounded to a small share of the requests.
	MayExplore bool
	// ServiceTime is what an attempt of the route takes on average, without waiting.
	ServiceTime time.Duration
	// QueueServiceTime is what the attempts take behind which it would wait: those of
	// all routes to the service.
	QueueServiceTime time.Duration
	// Bytes is the size of the request's body.
	Bytes int64
	// Remaining is the time until the request's final answer is due.
	Remaining time.Duration
	// UsefulTime is the time in which an answer still has its full value.
	UsefulTime time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
}

// Reason names why no target was chosen.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonNoTarget Reason = "no_target"
	ReasonFull     Reason = "queue_full"
	ReasonTooLate  Reason = "deadline_too_short"
)

// Choice is the outcome.
type Choice struct {
	// Index of the candidate; valid when the reason is ReasonNone.
	Index int
	// Trial is true when the target is a suspect tried on purpose.
	Trial bool
	// Exploratory is true when the target was chosen because it had no attempt for long.
	Exploratory bool
	// Wait is the expected time before the attempt begins to run.
	Wait   time.Duration
	Reason Reason
}

// Choose returns the target for an attempt, or why there is none.
func Choose(candidates []Candidate, ask AttemptRequest, random *rand.Rand) Choice {
	if choice, ok := explore(candidates, ask, random); ok {
		return choice
	}
	best, bestScore := Choice{Reason: ReasonNoTarget}, math.Inf(-1)
	for i, c := range candidates {
		if c.Blocked {
			continue
		}
		choice := admit(c, i, ask)
		score := worth(c, ask) - cost(c, ask) + random.Float64()*jitterCost
		if choice.Reason != ReasonNone {
			score -= refusedCost
		}
		if score > bestScore {
			best, bestScore = choice, score
		}
	}
	return best
}

// explore gives a first attempt to a target that needs one for what it shows:
// a suspect that may have recovered, or a target that nobody has tried lately.
func explore(candidates []Candidate, ask AttemptRequest, random *rand.Rand) (Choice, bool) {
	if ask.Retry || ask.Remaining <= trialTime*ask.ServiceTime {
		return Choice{}, false
	}
	if ask.MayRunTrial && ask.Idempotent && hasSound(candidates) {
		if index := pick(candidates, random, Candidate.dueTrial); index >= 0 {
			return Choice{Index: index, Trial: true}, true
		}
	}
	if !ask.MayExplore {
		return Choice{}, false
	}
	index := pick(candidates, random, func(c Candidate) bool { return c.neglected(ask) })
	return Choice{Index: index, Exploratory: true}, index >= 0
}

// hasSound reports whether a target without suspicion has a free slot, for the
// attempt that follows a trial that fails.
func hasSound(candidates []Candidate) bool {
	for _, c := range candidates {
		if !c.Blocked && !c.suspect() && c.InUse < c.Slots {
			return true
		}
	}
	return false
}

// dueTrial reports whether a suspect is to be tried: some time after a failure,
// and at once after a success, since a few of them clear it.
func (c Candidate) dueTrial() bool {
	return !c.Blocked && c.suspect() && c.InUse == 0 && (c.Recovering || c.SinceAttempt >= trialGap)
}

// neglected reports whether the target is to have the request because it had
// none for long.
func (c Candidate) neglected(ask AttemptRequest) bool {
	limit := onceNeglect
	if ask.Idempotent {
		limit = idempotentNeglect
	}
	near := c.SameZone || ask.Bytes <= mostNeglectBytes
	return !c.Blocked && c.InUse == 0 && near && c.SinceAttempt >= limit
}

// pick returns a random candidate for which a condition holds, or -1.
func pick(candidates []Candidate, random *rand.Rand, holds func(Candidate) bool) int {
	found, seen := -1, 0
	for i, c := range candidates {
		if !holds(c) {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			found = i
		}
	}
	return found
}

// admit refuses an attempt that would wait for an answer of little worth.
func admit(c Candidate, index int, ask AttemptRequest) Choice {
	wait := expectedWait(c, ask.QueueServiceTime)
	if wait == 0 {
		return Choice{Index: index}
	}
	if float64(c.InUse-c.Slots) >= queueSlots*float64(c.Slots) {
		return Choice{Reason: ReasonFull, Wait: wait}
	}
	if worth(c, ask) < threshold(ask.Priority) {
		return Choice{Reason: ReasonTooLate, Wait: wait}
	}
	return Choice{Index: index, Wait: wait}
}

// threshold returns the worth below which a request of a rank does not wait.
func threshold(rank int) float64 {
	return min(leastWorth+rankStep*float64(max(rank-1, 0)), mostWorth)
}
