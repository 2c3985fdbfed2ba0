package soak

import (
	"slices"
	"time"
)

// keyedRun is one execution of a request on the keyed route at a target.
type keyedRun struct {
	requestID, target string
	// customer is whom the daemon named; hasKey is true when it passed the key on.
	customer string
	hasKey   bool
	at       time.Time
}

func (c *checker) recordKeyed(request keyedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyedRequests = append(c.keyedRequests, request)
}

func (c *checker) recordKeyedRun(r keyedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyedRuns = append(c.keyedRuns, r)
}

// checkKeys checks the promises about customers. They hold for all daemons at all times, also
// for those that are cut off, paused or have just started.
func (c *checker) checkKeys() {
	runs := make(map[string][]keyedRun)
	for _, r := range c.keyedRuns {
		runs[r.requestID] = append(runs[r.requestID], r)
		if r.hasKey || r.customer != keyedCustomer {
			c.addViolation(PromiseCustomer, r.at, "request %s ran at %s for customer %q, key passed on: %v", r.requestID, r.target, r.customer, r.hasKey)
		}
	}
	for _, request := range c.keyedRequests {
		c.checkKeyed(request, runs[request.id])
	}
	c.checkQuota()
}

// checkKeyed checks one request with a key against its executions.
func (c *checker) checkKeyed(request keyedRequest, runs []keyedRun) {
	if len(runs) == 0 {
		return
	}
	if len(runs) > 1 {
		c.addViolation(PromiseAtMostOnce, runs[1].at, "request %s through VM %d ran %d times", request.id, request.vm, len(runs))
	}
	if promisesNotRun(request.status) || request.status == statusNoKey {
		c.addViolation(PromiseNotRun, request.endedAt, "request %s through VM %d got status %d but ran at %s", request.id, request.vm, request.status, runs[0].target)
	}
	withdrawnAt, isWithdrawn := c.publishedAt[request.keyVersion+keyVersions]
	if late := request.startedAt.Sub(withdrawnAt); isWithdrawn && late > keysRevokedWithin {
		c.addViolation(PromiseKeyWithdrawn, runs[0].at, "request %s through VM %d ran at %s, sent %v after its key was withdrawn", request.id, request.vm, runs[0].target, late)
	}
}

// checkQuota checks the customer's limit in each window that begins with an execution.
func (c *checker) checkQuota() {
	at := make([]time.Time, 0, len(c.keyedRuns))
	for _, r := range c.keyedRuns {
		at = append(at, r.at)
	}
	slices.SortFunc(at, time.Time.Compare)
	most := int((keyedRate*quotaWindow.Seconds()+keyedBurst)*(1+quotaOverrun) + quotaSlack)
	end := 0
	for begin := range at {
		for end < len(at) && at[end].Sub(at[begin]) <= quotaWindow {
			end++
		}
		if end-begin > most {
			c.addViolation(PromiseQuota, at[begin], "%d requests of the customer ran within %v, at most %d may", end-begin, quotaWindow, most)
			return
		}
	}
}
