package placement

import "time"

// Parameters of the expected utility.
const (
	// faultyFailureShare is the share of attempts that fail at a faulty target.
	faultyFailureShare = 0.85
	// sheddingRefusalShare is the share of attempts that a shedding target refuses.
	sheddingRefusalShare = 0.5
	// retryableLoss is the fraction of the utility that a failed attempt costs a
	// request that can be retried.
	retryableLoss = 0.35
	// lateValue is the value of a response that arrives after the useful time.
	lateValue = 0.3
	// slowFactor is the ratio of a slow target's service time to the normal one.
	slowFactor = 4.0
	// A response expected before earlyShare of a time limit is certain to arrive
	// within it; one expected after lateShare of the limit is certain not to.
	earlyShare, lateShare = 0.5, 1.4
)

// Costs that order candidates of similar expected utility, in the unit of the
// expected utility, which is between 0 and 1.
const (
	// costPerSecond is the cost of a second of waiting and service time.
	costPerSecond = 0.15
	// zoneCost is the cost of an attempt in another availability zone. It exceeds loadCost and
	// jitterCost together: as long as a sound target of the own zone has a free slot, none of
	// another zone is used for being less busy.
	zoneCost = 0.045
	// waitCost is the cost of any wait for a slot, above zoneCost: a free slot in another zone
	// is used first.
	waitCost = 0.06
	// zoneCostPerMB is the cost of a megabyte sent to another availability zone.
	zoneCostPerMB = 3.5
	// loadCost is the cost at a target with all slots in use, and proportionally
	// less at other targets; busy targets are slower.
	loadCost = 0.03
	// unusedBonus prefers an idle target that no request has reached yet, so that
	// new targets get their share of the requests.
	unusedBonus = 0.15
	// jitterCost is the largest random addition to a score; it spreads requests over
	// equal candidates.
	jitterCost = 0.01
)

// expectedUtility returns the expected utility of an attempt at a candidate,
// between 0 and 1.
func expectedUtility(c Candidate, request AttemptRequest) float64 {
	finish := expectedWait(c, request.QueueServiceTime) + expectedServiceTime(c, request.ServiceTime)
	value := lateValue + (1-lateValue)*probabilityWithin(finish, request.UsefulTime)
	loss := c.Failing * faultyFailureShare
	if request.Idempotent && request.MayRetry {
		loss *= retryableLoss
	}
	shed := c.Shedding * sheddingRefusalShare
	if request.MayRetry {
		shed *= retryableLoss
	}
	return (1 - loss) * (1 - shed) * value * probabilityWithin(finish, request.Remaining)
}

// tieBreakCost returns the cost that orders candidates of similar expected
// utility.
func tieBreakCost(c Candidate, request AttemptRequest) float64 {
	finish := expectedWait(c, request.QueueServiceTime) + expectedServiceTime(c, request.ServiceTime)
	total := costPerSecond*finish.Seconds() + loadCost*float64(c.InUse)/float64(c.Slots)
	if c.InUse >= c.Slots {
		total += waitCost
	}
	if !c.SameZone {
		total += zoneCost + zoneCostPerMB*float64(request.Bytes)/1e6
	}
	if c.Unused && c.InUse == 0 {
		total -= unusedBonus
	}
	return total
}

// probabilityWithin returns the probability that a response with this expected
// time arrives within a bound.
func probabilityWithin(expected, bound time.Duration) float64 {
	if bound <= 0 {
		return 0
	}
	share := expected.Seconds() / bound.Seconds()
	return min(max((lateShare-share)/(lateShare-earlyShare), 0), 1)
}

// expectedServiceTime returns how long an attempt runs at a candidate. A cold
// target adds one service time.
func expectedServiceTime(c Candidate, serviceTime time.Duration) time.Duration {
	factor := 1 + c.Slow*(slowFactor-1)
	if c.Cold {
		factor++
	}
	return time.Duration(factor * float64(serviceTime))
}

// expectedWait returns how long an attempt waits for a slot behind others.
func expectedWait(c Candidate, queueServiceTime time.Duration) time.Duration {
	return time.Duration(c.WaitInAttempts() * float64(expectedServiceTime(c, queueServiceTime)))
}

// WaitInAttempts returns the expected wait for a slot, as a number of average
// attempts.
func (c Candidate) WaitInAttempts() float64 {
	if c.InUse < c.Slots {
		return 0
	}
	return float64(c.InUse-c.Slots+1) / float64(c.Slots)
}
