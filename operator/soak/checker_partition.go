package soak

import "time"

const (
	// minPartitionedRatio is the share of requests that must be served at daemons which are
	// cut off from all targets, as a part of the share at the others.
	minPartitionedRatio = 2.0 / 3
	// allowedPartitionFailures and allowedPartitionFailureShare are the requests that may
	// fail at such daemons in any case: a number and a share of all requests.
	allowedPartitionFailures     = 10
	allowedPartitionFailureShare = 1.0 / 50
)

// partitionRecord is one partition of daemons from all targets.
type partitionRecord struct {
	vms      map[int]bool
	from, to time.Time
}

// recordPartition records that daemons were cut off from all targets.
func (c *checker) recordPartition(vms []*vm, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := partitionRecord{vms: make(map[int]bool), from: from, to: to}
	for _, v := range vms {
		record.vms[v.index] = true
	}
	c.partitions = append(c.partitions, record)
}

// tally counts requests.
type tally struct{ requests, served int }

func (t *tally) add(request callerRequest) {
	t.requests++
	if request.status == statusServed {
		t.served++
	}
}

// share returns the share of served requests.
func (t *tally) share() float64 {
	if t.requests == 0 {
		return 0
	}
	return float64(t.served) / float64(t.requests)
}

// checkPartitions checks that daemons which are cut off from all targets serve callers about
// as well as the others, from StabilityTime after the beginning.
func (c *checker) checkPartitions() {
	for _, p := range c.partitions {
		cut, others := c.tallyPartition(p)
		failed := cut.requests - cut.served
		allowed := allowedPartitionFailures + allowedPartitionFailureShare*float64(cut.requests+others.requests)
		if cut.share() < minPartitionedRatio*others.share() && float64(failed) > allowed {
			c.addViolation(PromisePartitioned, p.from, "%d daemons cut off from all targets served %d of %d requests, the others %d of %d", len(p.vms), cut.served, cut.requests, others.served, others.requests)
		}
	}
}

// tallyPartition counts the requests through undisturbed daemons during a partition.
func (c *checker) tallyPartition(p partitionRecord) (cut, others tally) {
	from := p.from.Add(StabilityTime)
	for _, request := range c.requests {
		outside := request.startedAt.Before(from) || request.startedAt.After(p.to) || request.status == statusNoRoute
		if outside || !c.undisturbed(request.vm, request.startedAt, request.endedAt) || c.inPlannedStop(request.vm, request.startedAt, request.endedAt) {
			continue
		}
		if p.vms[request.vm] {
			cut.add(request)
			continue
		}
		others.add(request)
	}
	return cut, others
}

// heldUp reports whether a request may have reached its target late because the link from
// its daemon was cut shortly before. The caller holds c.mu.
func (c *checker) heldUp(vm int, at time.Time) bool {
	for _, p := range c.partitions {
		if p.vms[vm] && p.from.Before(at) && p.to.After(at.Add(-StabilityTime)) {
			return true
		}
	}
	return false
}
