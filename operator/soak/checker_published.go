package soak

import (
	"slices"
	"time"
)

// checkVersion checks that a request was handled by a version that may be in force.
// Each version has routes of its own and drops those of the previous version, so
// the status shows which version the daemon uses.
func (c *checker) checkVersion(request callerRequest) {
	published, next := c.publishedAt[request.version], c.publishedAt[request.version+1]
	slack := configBound + scheduleSlack
	if request.status == statusNoRoute && request.startedAt.After(published.Add(slack)) && (next.IsZero() || request.endedAt.Before(next)) {
		c.addViolation(PromiseConfigInForce, request.endedAt, "VM %d has no route of version %d %v after it was published", request.vm, request.version, request.startedAt.Sub(published))
	}
	if request.status == statusServed && !next.IsZero() && request.startedAt.After(next.Add(slack)) {
		c.addViolation(PromiseConfigInForce, request.endedAt, "VM %d still serves by version %d %v after the next version was published", request.vm, request.version, request.startedAt.Sub(next))
	}
}

// checkConfigRollback checks that no daemon process serves by an older version once it
// has served by a newer one.
func (c *checker) checkConfigRollback() {
	type newest struct {
		version uint64
		at      time.Time
	}
	newestServed := make(map[int]newest)
	for _, request := range c.requests {
		if request.status != statusServed {
			continue
		}
		before := newestServed[request.vm]
		if request.version < before.version && request.startedAt.After(before.at.Add(rollbackSlack+scheduleSlack)) && c.daemonUndisturbed(request.vm, before.at, request.endedAt) && !c.inPlannedStop(request.vm, before.at, request.endedAt) {
			c.addViolation(PromiseNoConfigRollback, request.endedAt, "VM %d served by version %d after version %d", request.vm, request.version, before.version)
		}
		if request.version > before.version {
			newestServed[request.vm] = newest{request.version, request.endedAt}
		}
	}
}

// checkDrain checks that a request reached no target that had been draining for longer
// than the bound.
func (c *checker) checkDrain(request callerRequest) {
	if !c.daemonUndisturbed(request.vm, request.startedAt, request.endedAt) || c.inPlannedStop(request.vm, request.startedAt, request.endedAt) {
		return
	}
	for _, r := range c.runs[request.id] {
		at, ok := c.drainedAt[r.target]
		if ok && r.at.After(at.Add(drainBound+scheduleSlack)) && c.knewOfDrain(request, r.target) && c.daemonUndisturbed(r.vm, request.startedAt, r.at) && !c.heldUp(r.vm, r.at) && !r.linkHarmed {
			c.addViolation(PromiseDrain, r.at, "request %s reached draining target %s through VM %d, from VM %d, %v after the drain bound, %v after it was sent", request.id, r.target, request.vm, r.vm, r.at.Sub(at)-drainBound, r.at.Sub(request.startedAt))
		}
	}
}

// knewOfDrain reports whether the daemon of a request had to know that a target began to
// drain: from the store, which has not lost that since it was published and is undisturbed,
// or because the daemon was undisturbed when the target began to drain and its process has
// run ever since. The caller holds c.mu.
func (c *checker) knewOfDrain(request callerRequest, target string) bool {
	drainedAt, publishedAt := c.drainedAt[target], c.drainPublishedAt[target]
	lost := slices.ContainsFunc(c.storeDisturbances, func(i interval) bool {
		return i.from.After(publishedAt) && i.from.Before(request.endedAt)
	})
	if !lost && c.storeUndisturbed(request.startedAt, request.endedAt) {
		return true
	}
	known := drainedAt.Add(drainBound)
	return c.undisturbed(request.vm, drainedAt, known) && c.daemonUndisturbed(request.vm, known, request.endedAt) &&
		!c.inPlannedStop(request.vm, drainedAt, request.endedAt)
}
