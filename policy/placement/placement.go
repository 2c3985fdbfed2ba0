package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bounds on trials and waiting.
const (
	// minSuspicion is the probability of a fault at which a target becomes a
	// suspect.
	minSuspicion = 0.3
	// trialInterval is the time between two trials of a suspect whose last attempt
	// failed, counting the trials of all VMs. It is short compared with the seconds
	// that a fault lasts.
	trialInterval = 400 * time.Millisecond
	// maxIdleIdempotent and maxIdleNonIdempotent are the times without any attempt
	// after which a target gets the next idempotent or non-idempotent request,
	// whatever its record, so that a recovered target is used again. Idempotent
	// requests come first because their limit is shorter.
	maxIdleIdempotent    = 1200 * time.Millisecond
	maxIdleNonIdempotent = 1600 * time.Millisecond
	// maxCleanFailing and maxCleanSlow are the probabilities of faults up to which none is known
	// to be recent: just above the long-term shares of faulty targets, which estimates approach
	// for many seconds after a fault.
	maxCleanFailing, maxCleanSlow = 0.1, 0.03
	// maxExploreBytes is the largest body of a request that is sent to an idle
	// target in another availability zone.
	maxExploreBytes = 10_000
	// minTrialServiceTimes is the number of service times that the remaining time of
	// a request must exceed for a trial or an exploratory attempt.
	minTrialServiceTimes = 3
	// maxQueuePerSlot is the number of requests that may wait at a target for each
	// of its slots, unless the request names another one.
	maxQueuePerSlot = 2.0
	// lowestMinUtility is the expected utility below which a request of priority 0
	// or 1 does not wait. The limit rises by minUtilityStep for each further
	// priority number, up to highestMinUtility.
	lowestMinUtility, minUtilityStep, highestMinUtility = 0.4, 0.3, 0.8
	// refusalPenalty ranks candidates that would be refused behind all others.
	refusalPenalty = 100
)

// Candidate describes one target to Choose.
type Candidate struct {
	ID string
	// SameZone is true when the target is in the availability zone of this VM.
	SameZone bool
	Slots    int
	// InUse is the number of attempts in progress from all VMs.
	InUse int
	// Failing, Slow and Shedding are the probabilities that the target has the
	// fault.
	Failing, Slow, Shedding float64
	// Cold is true while the target warms up after its start.
	Cold bool
	// Unused is true until a request from any VM has reached the target.
	Unused bool
	// Blocked is true while this VM cannot reach the target.
	Blocked bool
	// Full is true from a refusal of the target for lack of room until a place is free again.
	Full bool
	// SinceAttempt is the time since any VM was last known to attempt it.
	SinceAttempt time.Duration
	// LastSucceeded is true when the latest attempt that succeeded or failed at the
	// target, from any VM, succeeded. Refused attempts do not count.
	LastSucceeded bool
}

// isIdle reports whether this VM can reach the target and nothing is known to run there.
func (c Candidate) isIdle() bool { return !c.Blocked && !c.Full && c.InUse == 0 }

// IsSuspect reports whether the target is a suspect.
func (c Candidate) IsSuspect() bool { return IsSuspect(c.Failing, c.Slow) }

// IsSuspect reports whether a target with these probabilities of failing and of
// slowness is a suspect.
func IsSuspect(failing, slow float64) bool { return failing >= minSuspicion || slow >= minSuspicion }

// AttemptRequest describes an attempt that needs a target.
type AttemptRequest struct {
	// Idempotent is true when the request may run more than once.
	Idempotent bool
	// Retry marks an attempt after the first.
	Retry bool
	// MayRetry is true when the attempt limit and the retry budget allow another
	// attempt.
	MayRetry bool
	// MayRunTrial allows a trial of a suspect; the retry budget has room for it.
	MayRunTrial bool
	// MayExplore allows an attempt at a target that has been idle for long, if it is no suspect,
	// and MayExploreSuspect whatever its record. Such attempts are limited to a small share of
	// the requests.
	MayExplore, MayExploreSuspect bool
	// ServiceTime is the mean duration of an attempt of the route, without waiting.
	ServiceTime time.Duration
	// QueueServiceTime is the mean duration of the attempts that it would wait
	// behind: those of all routes to the service.
	QueueServiceTime time.Duration
	// Bytes is the size of the request's body.
	Bytes int64
	// Remaining is the time until the final response of the request is due.
	Remaining time.Duration
	// UsefulTime is the time within which a response has its full value.
	UsefulTime time.Duration
	// Priority is the route's priority; 0 is the highest.
	Priority int
	// QueuePerSlot is the number of requests that may wait at a target for each of its slots;
	// zero for the usual number.
	QueuePerSlot float64
}

// queuePerSlot returns the number of requests that may wait at a target for each slot.
func (r AttemptRequest) queuePerSlot() float64 {
	if r.QueuePerSlot > 0 {
		return r.QueuePerSlot
	}
	return maxQueuePerSlot
}

// Reason is why no target was chosen.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""
	ReasonNoTarget Reason = "no_target"
	ReasonFull     Reason = "queue_full"
	ReasonTooLate  Reason = "deadline_too_short"
)

// Choice is the result of Choose.
type Choice struct {
	// Index is the index of the chosen candidate; valid when Reason is ReasonNone.
	Index int
	// Trial is true when the target is a suspect chosen to test whether it has
	// recovered.
	Trial bool
	// Exploratory is true when the target was chosen because it had no attempt for
	// long.
	Exploratory bool
	// Wait is the expected time before the attempt begins to run.
	Wait   time.Duration
	Reason Reason
}

// Choose returns the target for an attempt, or why there is none.
func Choose(candidates []Candidate, request AttemptRequest, random *rand.Rand) Choice {
	if choice, ok := explore(candidates, request, random); ok {
		return choice
	}
	best, bestScore := Choice{Reason: ReasonNoTarget}, math.Inf(-1)
	for i, c := range candidates {
		if c.Blocked {
			continue
		}
		choice := admit(c, i, request)
		score := expectedUtility(c, request) - tieBreakCost(c, request) + random.Float64()*jitterCost
		if choice.Reason != ReasonNone {
			score -= refusalPenalty
		}
		if score > bestScore {
			best, bestScore = choice, score
		}
	}
	return best
}

// explore chooses the target of a first attempt for the evidence that the attempt
// yields: a suspect that may have recovered, or a target that no VM has used
// lately.
func explore(candidates []Candidate, request AttemptRequest, random *rand.Rand) (Choice, bool) {
	if request.Retry || request.Remaining <= minTrialServiceTimes*request.ServiceTime {
		return Choice{}, false
	}
	if request.MayRunTrial && request.Idempotent && hasFreeHealthyTarget(candidates) {
		if index := pickRandom(candidates, random, Candidate.isDueForTrial); index >= 0 {
			return Choice{Index: index, Trial: true}, true
		}
	}
	if request.Idempotent {
		if index := pickRandom(candidates, random, Candidate.mayHaveRecovered); index >= 0 {
			return Choice{Index: index}, true
		}
	}
	// A target of the own zone without a record of faults is as good as another for a request
	// that may be retried, so it needs no credit.
	isSound := func(c Candidate) bool {
		return request.Idempotent && c.SameZone && c.hasNoRecord() && c.isDueForRequest(request)
	}
	if index := pickRandom(candidates, random, isSound); index >= 0 {
		return Choice{Index: index}, true
	}
	if !request.MayExplore {
		return Choice{}, false
	}
	isDue := func(c Candidate) bool { return c.isDueForRequest(request) }
	// A target of which nothing has been known for a while is more likely to be sound than a suspect.
	index := pickRandom(candidates, random, func(c Candidate) bool { return !c.IsSuspect() && isDue(c) })
	if index < 0 && request.MayExploreSuspect {
		index = pickRandom(candidates, random, isDue)
	}
	return Choice{Index: index, Exploratory: true}, index >= 0
}

// hasFreeHealthyTarget reports whether a target that is not a suspect has a free
// slot for the retry after a failed trial.
func hasFreeHealthyTarget(candidates []Candidate) bool {
	for _, c := range candidates {
		if !c.Blocked && !c.Full && !c.IsSuspect() && c.InUse < c.Slots {
			return true
		}
	}
	return false
}

// hasNoRecord reports whether no recent fault of the target is known.
func (c Candidate) hasNoRecord() bool { return c.Failing <= maxCleanFailing && c.Slow <= maxCleanSlow }

// isDueForTrial reports whether a suspect gets a trial: trialInterval after a
// failure, but at once after a success, because a few successes clear it.
func (c Candidate) isDueForTrial() bool {
	return c.isIdle() && c.IsSuspect() && (c.LastSucceeded || c.SinceAttempt >= trialInterval)
}

// mayHaveRecovered reports whether a suspect has served its latest attempt. It gets the next
// idempotent request even if no retry could follow: a target that still fails ends that by its
// next failure, and one that has recovered is cleared by a few successes, which explorations
// alone would bring only after many seconds.
func (c Candidate) mayHaveRecovered() bool {
	return c.isIdle() && c.LastSucceeded && c.Failing >= minSuspicion && c.Slow < minSuspicion
}

// isDueForRequest reports whether an idle target gets the request because it had
// no attempt for long.
func (c Candidate) isDueForRequest(request AttemptRequest) bool {
	limit := maxIdleNonIdempotent
	if request.Idempotent {
		limit = maxIdleIdempotent
	}
	near := c.SameZone || request.Bytes <= maxExploreBytes
	return c.isIdle() && near && c.SinceAttempt >= limit
}

// pickRandom returns the index of a random matching candidate, or -1.
func pickRandom(candidates []Candidate, random *rand.Rand, matches func(Candidate) bool) int {
	found, seen := -1, 0
	for i, c := range candidates {
		if !matches(c) {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			found = i
		}
	}
	return found
}

// admit refuses an attempt that would have to wait at a target whose queue is
// full or whose response would have too little expected utility.
func admit(c Candidate, index int, request AttemptRequest) Choice {
	wait := expectedWait(c, request.QueueServiceTime)
	if c.Full {
		return Choice{Reason: ReasonFull, Wait: max(wait, request.QueueServiceTime/time.Duration(max(c.Slots, 1)))}
	}
	if wait == 0 {
		return Choice{Index: index}
	}
	if float64(c.InUse-c.Slots) >= request.queuePerSlot()*float64(c.Slots) {
		return Choice{Reason: ReasonFull, Wait: wait}
	}
	if expectedUtility(c, request) < minUtilityToWait(request.Priority) {
		return Choice{Reason: ReasonTooLate, Wait: wait}
	}
	return Choice{Index: index, Wait: wait}
}

// minUtilityToWait returns the expected utility below which a request of a
// priority does not wait.
func minUtilityToWait(priority int) float64 {
	return min(lowestMinUtility+minUtilityStep*float64(max(priority-1, 0)), highestMinUtility)
}
