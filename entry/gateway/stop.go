package gateway

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// stoppingWait is the time after which the caller of a request that a stopping VM refused may come
// again: other VMs can serve it at once.
const stoppingWait = 50 * time.Millisecond

// ResponseSlack is how long after its time limit a request may still be in progress.
const ResponseSlack = timeoutResponseSlack

// StopBy makes the gateway refuse, from now on, each request that it may be unable to finish before
// a time, at which the VM's process ends: it would be cut without a response, and may have run.
func (g *Gateway) StopBy(end time.Time) { g.stopBy.Store(&end) }

// refuseAtStop returns the refusal of a request whose time limit ends after the VM's process, or nil.
// Callers of other VMs are told by them: the refusal says that another VM may serve the request.
func (q *request) refuseAtStop() *outcome.Refusal {
	end := q.gateway.stopBy.Load()
	if end == nil || !q.deadline.Add(timeoutResponseSlack).After(*end) {
		return nil
	}
	return refuse(outcome.ReasonStopping, outcome.StepRoute, stoppingWait)
}
