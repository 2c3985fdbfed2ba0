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
	// trialGap is the time between two trials of a suspect.
	trialGap = 150 * time.Millisecond
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
	// Untried is true until a request has reached the target, from any VM.
	Untried bool
	// Blocked is true while this VM cannot reach the target.
	Blocked bool
	// SinceTrial is the time since an attempt to it began here or elsewhere.
	SinceTrial time.Duration
}

// suspect reports whether the target is under suspicion.
func (c Candidate) suspect() bool { return c.Failing >= suspectFrom || c.Slow >= suspectFrom }

// Ask describes the attempt.
type Ask struct {
	// Repeatable requests may run twice.
	Repeatable bool
	// Retry marks an attempt after the first.
	Retry bool
	// MayRepeat is true when another attempt would be allowed and paid for.
	MayRepeat bool
	// MayTry allows a trial of a suspect; the budget for repeats has room.
	MayTry bool
	// Work is what an attempt takes on average.
	Work time.Duration
	// Bytes is the size of the request's body.
	Bytes int64
	// Remaining is the time until the request's final answer is due.
	Remaining time.Duration
	// Useful is the time in which an answer still has its full value.
	Useful time.Duration
	// Rank is the route's priority; 0 is the highest.
	Rank int
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
	// Wait is the expected time before the attempt begins to run.
	Wait   time.Duration
	Reason Reason
}

// Choose returns the target for an attempt, or why there is none.
func Choose(candidates []Candidate, ask Ask, random *rand.Rand) Choice {
	if ask.MayTry && ask.Repeatable && !ask.Retry && ask.Remaining > trialTime*ask.Work {
		if index := dueTrial(candidates, random); index >= 0 && hasSound(candidates) {
			return Choice{Index: index, Trial: true}
		}
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

// dueTrial returns a random suspect that has room and was not tried just now.
func dueTrial(candidates []Candidate, random *rand.Rand) int {
	found, seen := -1, 0
	for i, c := range candidates {
		if c.Blocked || !c.suspect() || c.InUse > 0 || c.SinceTrial < trialGap {
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
func admit(c Candidate, index int, ask Ask) Choice {
	wait := expectedWait(c, ask.Work)
	if wait == 0 {
		return Choice{Index: index}
	}
	if float64(c.InUse-c.Slots) >= queueSlots*float64(c.Slots) {
		return Choice{Reason: ReasonFull, Wait: wait}
	}
	if worth(c, ask) < threshold(ask.Rank) {
		return Choice{Reason: ReasonTooLate, Wait: wait}
	}
	return Choice{Index: index, Wait: wait}
}

// threshold returns the worth below which a request of a rank does not wait.
func threshold(rank int) float64 {
	return min(leastWorth+rankStep*float64(max(rank-1, 0)), mostWorth)
}
