package config

import "time"

// replicaPenalty is the mean time for which a replica that failed is passed over.
const replicaPenalty = time.Minute

// replicaChoice tells which replica to call next. It moves on after each
// watch, since a replica may be frozen without a sign of it, and passes over
// replicas that failed or were stale lately.
type replicaChoice struct {
	at int
	// proven is true when the present replica has answered since the turn to it.
	proven bool
	// until is the end of each replica's penalty.
	until []time.Time
}

// newReplicaChoice begins at an offset, so that readers spread over replicas.
func newReplicaChoice(count, offset int) *replicaChoice {
	return &replicaChoice{at: offset % count, until: make([]time.Time, count)}
}

// next returns the replica to call, and whether it has answered already.
func (c *replicaChoice) next(now time.Time) (replica int, proven bool) {
	if !now.Before(c.until[c.at]) {
		return c.at, c.proven
	}
	best := c.at
	for i := 1; i < len(c.until); i++ {
		other := (c.at + i) % len(c.until)
		if !now.Before(c.until[other]) {
			best = other
			break
		}
		if c.until[other].Before(c.until[best]) {
			best = other
		}
	}
	if best != c.at {
		c.at, c.proven = best, false
	}
	return c.at, c.proven
}

// settle notes the result of a call; a failed replica is passed over until the
// given time, and after a watch the next replica has its turn.
func (c *replicaChoice) settle(replica int, watched, failed bool, penalty time.Time) {
	if failed {
		c.until[replica] = penalty
		c.proven = false
		return
	}
	c.until[replica] = time.Time{}
	c.proven = true
	if watched && len(c.until) > 1 {
		c.at = (replica + 1) % len(c.until)
		c.proven = false
	}
}
