package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// Prices and bounds.
const (
	// onceRisk is the price of a failed attempt of a request that must not run twice.
	onceRisk = 4 * time.Second
	// repeatRisk is the price of a failed attempt that can be repeated.
	repeatRisk = 400 * time.Millisecond
	// zonePrice is the price of the way to another availability zone.
	zonePrice = 5 * time.Millisecond
	// zonePricePerMB is the price of a megabyte between availability zones.
	zonePricePerMB = 800 * time.Millisecond
	// loadPrice is the price of a target's last free slot; busy targets are slower.
	loadPrice = 30 * time.Millisecond
	// jitter spreads equal candidates.
	jitter = 5 * time.Millisecond
	// suspectFrom is the probability of a fault from which a target is a suspect.
	suspectFrom = 0.3
	// slowWork is how much longer a slow target works.
	slowWork = 4.0
	// trialGap is the time between two trials of a suspect.
	trialGap = 150 * time.Millisecond
	// trialTime is how many average attempts must fit into the time left of a trial.
	trialTime = 3
	// queueSlots is the number of requests, in slots of the target, that may wait at it.
	queueSlots = 2.0
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
	Failing, Slow float64
	// Cold is true while the target is slow after its start.
	Cold bool
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
		if index := dueTrial(candidates, random); index >= 0 {
			return Choice{Index: index, Trial: true}
		}
	}
	best, bestPrice := -1, math.Inf(1)
	for i, c := range candidates {
		if c.Blocked {
			continue
		}
		price := price(c, ask) + random.Float64()*jitter.Seconds()
		if price < bestPrice {
			best, bestPrice = i, price
		}
	}
	if best < 0 {
		return Choice{Reason: ReasonNoTarget}
	}
	return admit(candidates[best], best, ask)
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

// price returns a candidate's price in seconds.
func price(c Candidate, ask Ask) float64 {
	work := expectedWork(c, ask.Work).Seconds()
	total := work + expectedWait(c, ask.Work).Seconds()
	total += loadPrice.Seconds() * float64(c.InUse) / float64(c.Slots)
	if !c.SameZone {
		total += zonePrice.Seconds() + zonePricePerMB.Seconds()*float64(ask.Bytes)/1e6
	}
	risk := onceRisk
	if ask.Repeatable {
		risk = repeatRisk
	}
	return total + c.Failing*risk.Seconds()
}

// expectedWork returns how long an attempt runs at a candidate.
func expectedWork(c Candidate, work time.Duration) time.Duration {
	factor := 1 + c.Slow*(slowWork-1)
	if c.Cold {
		factor++
	}
	return time.Duration(factor * float64(work))
}

// expectedWait returns how long an attempt waits for a slot.
func expectedWait(c Candidate, work time.Duration) time.Duration {
	if c.InUse < c.Slots {
		return 0
	}
	turns := float64(c.InUse-c.Slots+1) / float64(c.Slots)
	return time.Duration(turns * float64(expectedWork(c, work)))
}

// admit refuses an attempt whose answer would come too late.
func admit(c Candidate, index int, ask Ask) Choice {
	wait := expectedWait(c, ask.Work)
	if wait == 0 {
		return Choice{Index: index}
	}
	if float64(c.InUse-c.Slots) >= queueSlots*float64(c.Slots) {
		return Choice{Reason: ReasonFull, Wait: wait}
	}
	if wait+ask.Work > time.Duration(patience(ask.Rank)*float64(min(ask.Useful, ask.Remaining))) {
		return Choice{Reason: ReasonTooLate, Wait: wait}
	}
	return Choice{Index: index, Wait: wait}
}

// patience is the part of the useful time that a request may take up by
// waiting and running when all slots are busy.
func patience(rank int) float64 {
	const highest, step, least = 0.95, 0.15, 0.5
	return max(highest-step*float64(max(rank-1, 0)), least)
}
