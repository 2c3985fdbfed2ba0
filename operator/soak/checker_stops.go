package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/settings"
)

// timeLimitSlack is the time before the time limit of its route from which a request may have been
// ended by that limit. It covers the differences between the daemon's clock reading, when it reads
// the request, and the checker's, when the caller sends it.
const timeLimitSlack = 50 * time.Millisecond

// stopGrace is how long after SIGTERM a daemon waits for requests in progress, before its process
// may be ended.
var stopGrace = settings.DefaultFrontend().Stop.Grace.Std()

const (
	// stopAftermath is how long after the grace period an execution may still end by the stop, as
	// callers and targets notice the end of the process late.
	stopAftermath = time.Second
	// promisedArrival is the time after SIGTERM from which a daemon must not begin what it can't
	// finish. Before it, a request may be cut in the last sixth of the grace period.
	promisedArrival = 3 * time.Second
)

// execution is one run and how its work at the target ended.
type execution struct {
	run
	endedAt time.Time
	// senderLeft is true when the sender closed the connection while the target worked.
	senderLeft bool
	// undisturbed is true when neither the target nor its link had a fault in the
	// StabilityTime before the run, nor in the run.
	undisturbed bool
}

func (c *checker) recordExecution(e execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[e.requestID] = append(c.executions[e.requestID], e)
	if e.vm >= 0 {
		c.lastExecution = e
	}
}

// latestSender returns the index of the daemon that sent the latest recorded execution.
func (c *checker) latestSender() (vm int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastExecution.vm, len(c.executions) > 0
}

// checkStops checks that planned stops break off no request on which a target is working.
func (c *checker) checkStops() {
	for _, request := range c.requests {
		for _, e := range c.executions[request.id] {
			vm, stopping := c.stoppingVM(request, e)
			if !stopping || !c.mustFinish(request, e) {
				continue
			}
			c.finishedAcrossStops++
			if !isBrokenOff(request, e) {
				continue
			}
			c.addViolation(PromisePlannedStop, e.endedAt, "request %s through VM %d, status %d, was broken off at target %s, to which VM %d had sent it, by the planned stop of VM %d: after %v at the target, %v after it was sent",
				request.id, request.vm, request.status, e.target, e.vm, vm, e.endedAt.Sub(e.at).Round(time.Millisecond), e.endedAt.Sub(request.startedAt).Round(time.Millisecond))
		}
	}
}

// checkAnswered checks, apart from planned stops, that no connection ends without a complete response
// to a request that was at an undisturbed target and had not used up its time limit.
func (c *checker) checkAnswered() {
	for _, request := range c.requests {
		if request.status != 0 || c.inPlannedStop(request.vm, request.startedAt, request.endedAt) {
			continue
		}
		for _, e := range c.executions[request.id] {
			if c.mustFinish(request, e) && !c.inPlannedStop(e.vm, request.startedAt, e.endedAt) {
				c.addViolation(PromiseAnswered, request.endedAt, "request %s through VM %d, %v at target %s, to which VM %d had sent it, got no complete response", request.id, request.vm, e.endedAt.Sub(e.at).Round(time.Millisecond), e.target, e.vm)
			}
		}
	}
}

// stoppingVM returns the daemon that sent the request to the target, or the one that the caller
// sent it to, if the execution ended during its planned stop.
func (c *checker) stoppingVM(request callerRequest, e execution) (vm int, stopping bool) {
	for _, vm := range []int{e.vm, request.vm} {
		if len(c.stopsAt(vm, e.endedAt)) > 0 {
			return vm, true
		}
	}
	return 0, false
}

// stopsAt returns the planned stops of a daemon that may have ended something at a time. The caller
// holds c.mu.
func (c *checker) stopsAt(vm int, at time.Time) []interval {
	var stops []interval
	for _, stop := range c.plannedStops[vm] {
		end := stop.to.Add(exitSlack)
		if graceEnd := stop.from.Add(stopGrace + stopAftermath); graceEnd.Before(end) {
			end = graceEnd
		}
		if stop.from.Before(at) && at.Before(end) {
			stops = append(stops, stop)
		}
	}
	return stops
}

// mayBeCut reports whether a planned stop may cut a request that was sent at a time and at which the
// target worked up to another.
func mayBeCut(stop interval, sentAt, workedUntil time.Time) bool {
	return !sentAt.After(stop.from.Add(promisedArrival)) && !workedUntil.Before(stop.from.Add(stopGrace*5/6))
}

// mustFinish reports whether nothing but a daemon's mistake can end an execution before the
// target responds: the target, its link, the daemons and their links were undisturbed, neither the
// time limit nor the end of the grace period was reached, and no other attempt of the request was
// answered meanwhile. A caller
// that leaves by itself does so after the time limit.
func (c *checker) mustFinish(request callerRequest, e execution) bool {
	until := e.endedAt
	if !e.senderLeft && request.endedAt.After(until) {
		until = request.endedAt // the target's response was still on its way to the caller
	}
	if !e.undisturbed || until.Sub(request.startedAt) >= request.limit-timeLimitSlack {
		return false
	}
	for _, vm := range []int{request.vm, e.vm} {
		if slices.ContainsFunc(c.stopsAt(vm, e.endedAt), func(stop interval) bool { return mayBeCut(stop, request.startedAt, e.endedAt) }) {
			return false
		}
		if vm < 0 || !c.daemonUndisturbed(vm, request.startedAt, until) || c.heldUp(vm, request.startedAt) || c.heldUp(vm, e.endedAt) {
			return false
		}
	}
	return !slices.ContainsFunc(c.executions[request.id], func(other execution) bool {
		return !other.senderLeft && other.endedAt.After(e.at) && other.endedAt.Before(e.endedAt)
	})
}

// isBrokenOff reports whether a daemon ended the request before its target could respond: the
// caller got a closed connection, or a failure of the daemon and the sender had left or the target
// was still working. If the caller got another response, an execution that its sender left counts
// only when the request may run twice.
func isBrokenOff(request callerRequest, e execution) bool {
	switch request.status {
	case 0:
		return true
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return e.senderLeft || request.endedAt.Before(e.endedAt)
	}
	return e.senderLeft && !request.atMostOnce
}
