package placement

import "time"

// Parameters of the expected worth.
const (
	// illFailShare is the share of attempts that fail at an ill target.
	illFailShare = 0.85
	// illShedShare is the share of attempts that a shedding target refuses.
	illShedShare = 0.5
	// repeatLoss is what a failed attempt costs a request that can be repeated.
	repeatLoss = 0.35
	// lateWorth is what an answer after its useful time is worth.
	lateWorth = 0.3
	// slowWork is how much longer a slow target works.
	slowWork = 4.0
	// Answers expected before earlyShare of a time surely come within it; those
	// expected after lateShare of it surely do not.
	earlyShare, lateShare = 0.5, 1.4
)

// Costs that tell candidates of the same worth apart.
const (
	// waitCost is the cost of a second of waiting and working.
	waitCost = 0.15
	// zoneCost is the cost of the way to another availability zone.
	zoneCost = 0.015
	// zoneCostPerMB is the cost of a megabyte between availability zones.
	zoneCostPerMB = 3.5
	// loadCost is the cost of a target's last free slot; busy targets are slower.
	loadCost = 0.03
	// untriedGain prefers a free target that no request has reached yet, so that
	// newcomers get their part of the work.
	untriedGain = 0.15
	// jitterCost spreads equal candidates.
	jitterCost = 0.01
)

// worth returns the expected worth of an attempt at a candidate.
func worth(c Candidate, ask AttemptRequest) float64 {
	finish := expectedWait(c, ask.QueueServiceTime) + expectedWork(c, ask.ServiceTime)
	value := lateWorth + (1-lateWorth)*within(finish, ask.UsefulTime)
	loss := c.Failing * illFailShare
	if ask.Idempotent && ask.MayRetry {
		loss *= repeatLoss
	}
	shed := c.Shedding * illShedShare
	if ask.MayRetry {
		shed *= repeatLoss
	}
	return (1 - loss) * (1 - shed) * value * within(finish, ask.Remaining)
}

// cost returns what tells a candidate from others of the same worth.
func cost(c Candidate, ask AttemptRequest) float64 {
	finish := expectedWait(c, ask.QueueServiceTime) + expectedWork(c, ask.ServiceTime)
	total := waitCost*finish.Seconds() + loadCost*float64(c.InUse)/float64(c.Slots)
	if !c.SameZone {
		total += zoneCost + zoneCostPerMB*float64(ask.Bytes)/1e6
	}
	if c.Unused && c.InUse == 0 {
		total -= untriedGain
	}
	return total
}

// within returns how likely an answer expected at a time comes within a bound.
func within(expected, bound time.Duration) float64 {
	if bound <= 0 {
		return 0
	}
	share := expected.Seconds() / bound.Seconds()
	return min(max((lateShare-share)/(lateShare-earlyShare), 0), 1)
}

// expectedWork returns how long an attempt runs at a candidate.
func expectedWork(c Candidate, work time.Duration) time.Duration {
	factor := 1 + c.Slow*(slowWork-1)
	if c.Cold {
		factor++
	}
	return time.Duration(factor * float64(work))
}

// expectedWait returns how long an attempt waits for a slot behind others.
func expectedWait(c Candidate, queueWork time.Duration) time.Duration {
	return time.Duration(c.WaitInAttempts() * float64(expectedWork(c, queueWork)))
}

// WaitInAttempts returns the expected wait for a slot, in average attempts.
func (c Candidate) WaitInAttempts() float64 {
	if c.InUse < c.Slots {
		return 0
	}
	return float64(c.InUse-c.Slots+1) / float64(c.Slots)
}
