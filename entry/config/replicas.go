package config

import "time"

// replicaPenalty is the mean time for which a failed replica is skipped.
const replicaPenalty = time.Minute

// replicaSelector selects the replica to call next. It moves on after each
// watch, since a replica may be frozen and still respond, and skips replicas
// that recently failed or were stale.
type replicaSelector struct {
	current int
	// responded is true when the current replica has responded since it was selected.
	responded bool
	// penaltyEnds holds the end of each replica's penalty.
	penaltyEnds []time.Time
}

// newReplicaSelector returns a selector that begins at an offset, so that readers
// are spread over the replicas.
func newReplicaSelector(count, offset int) *replicaSelector {
	return &replicaSelector{current: offset % count, penaltyEnds: make([]time.Time, count)}
}

// next returns the replica to call and whether it has responded since it was
// selected. When all replicas have a penalty, it is the one whose penalty ends first.
func (c *replicaSelector) next(now time.Time) (replica int, responded bool) {
	if !now.Before(c.penaltyEnds[c.current]) {
		return c.current, c.responded
	}
	best := c.current
	for i := 1; i < len(c.penaltyEnds); i++ {
		other := (c.current + i) % len(c.penaltyEnds)
		if !now.Before(c.penaltyEnds[other]) {
			best = other
			break
		}
		if c.penaltyEnds[other].Before(c.penaltyEnds[best]) {
			best = other
		}
	}
	if best != c.current {
		c.current, c.responded = best, false
	}
	return c.current, c.responded
}

// recordResult records the result of a call. A failed replica is skipped until
// the given time; after a successful watch the next replica is selected.
func (c *replicaSelector) recordResult(replica int, watched, failed bool, penaltyEnd time.Time) {
	if failed {
		c.penaltyEnds[replica] = penaltyEnd
		c.responded = false
		return
	}
	c.penaltyEnds[replica] = time.Time{}
	c.responded = true
	if watched && len(c.penaltyEnds) > 1 {
		c.current = (replica + 1) % len(c.penaltyEnds)
		c.responded = false
	}
}
