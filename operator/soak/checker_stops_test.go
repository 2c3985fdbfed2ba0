package soak

import (
	"testing"
	"time"
)

// TestCheckerDetectsRequestsBrokenOffByAPlannedStop gives the checker an execution that ends
// while its daemon stops. It guards against a stop that breaks off what targets work on, and
// against findings for what other faults, the time limit or the caller ended.
func TestCheckerDetectsRequestsBrokenOffByAPlannedStop(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// The daemon gets SIGTERM at 20 s; the sender leaves at 20.6 s, and a retry is answered.
	type records struct {
		request callerRequest
		first   execution
		stop    interval
	}
	for _, c := range []struct {
		name   string
		change func(r *records, k *checker)
		broken bool
	}{
		{"broken off, a retry is answered", func(*records, *checker) {}, true},
		{"broken off, 502", func(r *records, _ *checker) { r.request.status = 502 }, true},
		{"must not run twice, broken off, 502", func(r *records, _ *checker) { r.request.status, r.request.atMostOnce = 502, true }, true},
		{"must not run twice, 504 while the target works", func(r *records, _ *checker) {
			r.request.status, r.request.atMostOnce, r.request.endedAt, r.first.senderLeft = 504, true, at(20.5), false
		}, true},
		{"connection closed while the target works", func(r *records, _ *checker) { r.request.status, r.request.endedAt = 0, at(20.6) }, true},
		{"forwarded to another daemon, broken off", func(r *records, _ *checker) { r.first.vm = 1 }, true},
		{"forwarded by another daemon to the stopping one, broken off", func(r *records, _ *checker) { r.request.vm = 1 }, true},
		{"an earlier attempt failed, the next is broken off", func(r *records, k *checker) {
			k.recordExecution(execution{run: run{requestID: "a", target: "u", at: at(19.8)}, endedAt: at(19.81), undisturbed: true})
		}, true},
		{"another attempt, at a disturbed target, is broken off first", func(_ *records, k *checker) {
			k.recordExecution(execution{run: run{requestID: "a", target: "u", at: at(20.1)}, endedAt: at(20.59), senderLeft: true})
		}, true},
		{"disturbed long before", func(_ *records, k *checker) { k.recordDisturbance(0, at(15), at(16)) }, true},
		{"target answers", func(r *records, _ *checker) { r.first.senderLeft = false }, false},
		{"502 after the target's response", func(r *records, _ *checker) { r.first.senderLeft, r.request.status = false, 502 }, false},
		{"no stop", func(r *records, _ *checker) { r.stop = interval{at(30), at(33)} }, false},
		{"stop begins afterwards", func(r *records, _ *checker) { r.stop.from = at(20.61) }, false},
		{"stopped long before", func(r *records, _ *checker) { r.stop = interval{at(15), at(18)} }, false},
		{"the grace has ended long ago", func(r *records, _ *checker) { r.stop = interval{at(13.5), at(21)} }, false},
		{"the time limit is reached", func(r *records, _ *checker) { r.request.startedAt = at(20.6).Add(-routeTimeout) }, false},
		{"caller leaves", func(r *records, _ *checker) {
			r.request.status, r.first.endedAt = 0, r.request.startedAt.Add(callerTimeout)
			r.request.endedAt = r.first.endedAt
		}, false},
		{"target or its link was disturbed", func(r *records, _ *checker) { r.first.undisturbed = false }, false},
		{"daemon is killed or its link disturbed", func(_ *records, k *checker) { k.recordDisturbance(0, at(20.5), at(23)) }, false},
		{"daemon was paused before", func(_ *records, k *checker) { k.recordInterruption(0, at(17), at(18)) }, false},
		{"forwarded to a daemon that is killed", func(r *records, k *checker) {
			r.first.vm = 1
			k.recordInterruption(1, at(20.5), at(23))
		}, false},
		{"daemon is cut off from targets", func(_ *records, k *checker) { k.recordPartition([]*vm{{index: 0}}, at(20.3), at(26)) }, false},
		{"daemon was cut off from targets", func(_ *records, k *checker) { k.recordPartition([]*vm{{index: 0}}, at(12), at(17)) }, false},
		{"sender is unknown", func(r *records, _ *checker) { r.first.vm = -1 }, false},
		{"another attempt was answered first", func(_ *records, k *checker) {
			k.recordExecution(execution{run: run{requestID: "a", target: "u", at: at(20.1)}, endedAt: at(20.59), undisturbed: true})
		}, false},
		{"must not run twice, served", func(r *records, _ *checker) { r.request.atMostOnce = true }, false},
	} {
		k := newChecker(start)
		k.recordPublication(1, at(1))
		k.recordEndOfFaults(at(30))
		k.recordRequest(servedAfterFaults(at(40)))
		r := records{
			request: callerRequest{id: "a", version: 1, startedAt: at(19.8), endedAt: at(20.8), status: statusServed, timeout: routeTimeout, limit: routeTimeout},
			first:   execution{run: run{requestID: "a", target: "t", at: at(19.82)}, endedAt: at(20.6), senderLeft: true, undisturbed: true},
			stop:    interval{at(20), at(24)},
		}
		c.change(&r, k)
		k.recordRequest(r.request)
		k.recordExecution(r.first)
		if r.request.status == statusServed && !r.request.atMostOnce {
			k.recordExecution(execution{run: run{requestID: "a", target: "u", at: at(20.61)}, endedAt: at(20.7), undisturbed: true})
		}
		k.recordStop(0, r.stop.from, r.stop.to)
		got := k.check(true)
		if c.broken && (len(got) != 1 || got[0].Promise != PromisePlannedStop) || !c.broken && len(got) > 0 {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestCheckerDetectsRequestsWithoutAResponse guards against a daemon that closes the connection of a
// request at which a target works while nothing is disturbed, and against findings for what the time
// limit, a fault or a planned stop ended.
func TestCheckerDetectsRequestsWithoutAResponse(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		name   string
		change func(request *callerRequest, e *execution, k *checker)
		broken bool
	}{
		{"cut while the target works", func(*callerRequest, *execution, *checker) {}, true},
		{"response of the target is lost", func(_ *callerRequest, e *execution, _ *checker) { e.senderLeft = false }, true},
		{"forwarded, cut", func(_ *callerRequest, e *execution, _ *checker) { e.vm = 1 }, true},
		{"502", func(request *callerRequest, _ *execution, _ *checker) { request.status = 502 }, false},
		{"time limit is reached", func(request *callerRequest, _ *execution, _ *checker) { request.limit = time.Second }, false},
		{"target was disturbed", func(_ *callerRequest, e *execution, _ *checker) { e.undisturbed = false }, false},
		{"daemon was disturbed", func(_ *callerRequest, _ *execution, k *checker) { k.recordDisturbance(0, at(18), at(19)) }, false},
		{"daemon is killed before the caller has the response", func(_ *callerRequest, e *execution, k *checker) {
			e.senderLeft, e.endedAt = false, at(20.9)
			k.recordInterruption(0, at(20.95), at(23))
		}, false},
		{"caller leaves after the time limit, the target had answered", func(request *callerRequest, e *execution, _ *checker) {
			e.senderLeft, request.endedAt = false, request.startedAt.Add(reserveTimeout)
		}, false},
		{"daemon is killed afterwards", func(_ *callerRequest, e *execution, k *checker) {
			e.senderLeft, e.endedAt = false, at(20.9)
			k.recordInterruption(0, at(21), at(23))
		}, true},
		{"planned stop that has begun long ago", func(_ *callerRequest, _ *execution, k *checker) { k.recordStop(0, at(10), at(22)) }, false},
	} {
		k := newChecker(start)
		k.recordEndOfFaults(at(30))
		k.recordRequest(servedAfterFaults(at(40)))
		request := callerRequest{id: "a", startedAt: at(20), endedAt: at(21), timeout: reserveTimeout, limit: reserveTimeout}
		e := execution{run: run{requestID: "a", target: "t", at: at(20)}, endedAt: at(21), senderLeft: true, undisturbed: true}
		c.change(&request, &e, k)
		k.recordRequest(request)
		k.recordExecution(e)
		got := k.check(true)
		if c.broken && (len(got) != 1 || got[0].Promise != PromiseAnswered) || !c.broken && len(got) > 0 {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestCheckerDetectsRequestsCutAtTheEndOfAStop gives the checker requests whose connection ends
// without a response around the end of a stopping daemon's process. It guards against a daemon that
// begins what it can't finish, and against findings for what a stop may cut.
func TestCheckerDetectsRequestsCutAtTheEndOfAStop(t *testing.T) {
	start := time.Now()
	term := start.Add(20 * time.Second)
	for _, c := range []struct {
		name string
		// sentAfter and endedAfter are the times from SIGTERM to the request and to its end.
		sentAfter, endedAfter time.Duration
		// answered is true when the target ended its work before the connection ended.
		answered, broken bool
	}{
		{"sent 3.1 s after SIGTERM, cut with the process", 3100 * time.Millisecond, 5600 * time.Millisecond, false, true},
		{"sent 3.1 s after SIGTERM, cut after the grace period", 3300 * time.Millisecond, 6100 * time.Millisecond, false, true},
		{"sent 2.9 s after SIGTERM, cut in the last sixth of the grace period", 2900 * time.Millisecond, 5600 * time.Millisecond, false, false},
		{"sent 2.9 s after SIGTERM, cut before the last sixth of the grace period", 2900 * time.Millisecond, 4900 * time.Millisecond, false, true},
		{"sent 2 s before SIGTERM, cut by a second signal", -2 * time.Second, 500 * time.Millisecond, false, true},
		{"response of the target is lost", time.Second, 2 * time.Second, true, true},
		{"time limit is reached", 2500*time.Millisecond - reserveTimeout, 2500 * time.Millisecond, false, false},
	} {
		k := newChecker(start)
		k.recordEndOfFaults(start.Add(30 * time.Second))
		k.recordRequest(servedAfterFaults(start.Add(40 * time.Second)))
		sentAt, endedAt := term.Add(c.sentAfter), term.Add(c.endedAfter)
		k.recordRequest(callerRequest{id: "a", startedAt: sentAt, endedAt: endedAt, timeout: reserveTimeout, limit: reserveTimeout, atMostOnce: true})
		k.recordExecution(execution{run: run{requestID: "a", target: "t", at: sentAt}, endedAt: endedAt.Add(-time.Millisecond), senderLeft: !c.answered, undisturbed: true})
		k.recordStop(0, term, endedAt)
		got := k.check(true)
		if c.broken && (len(got) != 1 || got[0].Promise != PromisePlannedStop) || !c.broken && len(got) > 0 {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
