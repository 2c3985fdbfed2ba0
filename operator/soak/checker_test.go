package soak

import (
	"testing"
	"time"
)

// TestCheckerDetectsEachBrokenPromise gives the checker records of callers and
// targets. Some rows break exactly one promise, which must be reported; the others
// are similar but allowed and must report nothing.
func TestCheckerDetectsEachBrokenPromise(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	booking := callerRequest{id: "a", version: 1, atMostOnce: true, startedAt: at(20), endedAt: at(20.1), status: statusServed, timeout: routeTimeout}
	bookingWith := func(change func(*callerRequest)) callerRequest {
		r := booking
		change(&r)
		return r
	}
	ranOnce := func(k *checker) { k.recordRun(run{requestID: "a", target: "t", at: at(20.05)}) }
	for _, c := range []struct {
		name    string
		request callerRequest
		record  func(k *checker)
		want    Promise
	}{
		{"served", booking, ranOnce, ""},
		{"ran twice", booking, func(k *checker) { ranOnce(k); ranOnce(k) }, PromiseAtMostOnce},
		{"idempotent, ran twice", bookingWith(func(r *callerRequest) { r.atMostOnce = false }), func(k *checker) { ranOnce(k); ranOnce(k) }, ""},
		{"refused but ran", bookingWith(func(r *callerRequest) { r.status = 503 }), ranOnce, PromiseNotRun},
		{"refused", bookingWith(func(r *callerRequest) { r.status = 503 }), func(*checker) {}, ""},
		{"failed with 502 and ran", bookingWith(func(r *callerRequest) { r.status = 502 }), ranOnce, ""},
		{"response to another request", bookingWith(func(r *callerRequest) { r.wrongResponse = true }), ranOnce, PromiseCompleteResponse},
		{"late response", bookingWith(func(r *callerRequest) { r.endedAt = at(23) }), ranOnce, PromiseResponseInTime},
		{"late response during a pause of the VM", bookingWith(func(r *callerRequest) { r.endedAt = at(23) }),
			func(k *checker) { ranOnce(k); k.recordDisturbance(0, at(21), at(22)) }, ""},
		{"late response within StabilityTime after a pause", bookingWith(func(r *callerRequest) { r.endedAt = at(23) }),
			func(k *checker) { ranOnce(k); k.recordDisturbance(0, at(17), at(18)) }, ""},
		{"late response long after a pause", bookingWith(func(r *callerRequest) { r.endedAt = at(23) }),
			func(k *checker) { ranOnce(k); k.recordDisturbance(0, at(10), at(11)) }, PromiseResponseInTime},
		{"route still missing after the bound", bookingWith(func(r *callerRequest) { r.status = statusNoRoute }), func(*checker) {}, PromiseConfigInForce},
		{"route missing within the bound", bookingWith(func(r *callerRequest) { r.status = statusNoRoute }),
			func(k *checker) { k.recordPublication(1, at(19)) }, ""},
		{"served by a route dropped long ago", booking, func(k *checker) { ranOnce(k); k.recordPublication(2, at(10)) }, PromiseConfigInForce},
		{"served by a route just dropped", booking, func(k *checker) { ranOnce(k); k.recordPublication(2, at(19)) }, ""},
		{"served by an older version after a newer one", booking, func(k *checker) {
			ranOnce(k)
			k.recordPublication(2, at(18.5))
			k.recordRequest(bookingWith(func(r *callerRequest) { r.id, r.version, r.startedAt, r.endedAt = "b", 2, at(19), at(19.1) }))
		}, PromiseNoConfigRollback},
		{"draining target gets work after the bound", booking, func(k *checker) { ranOnce(k); k.recordDrain("t", at(17)) }, PromiseDrain},
		{"draining target gets work within the bound", booking, func(k *checker) { ranOnce(k); k.recordDrain("t", at(19)) }, ""},
		{"target that drained long before the store went back gets work", booking, func(k *checker) {
			ranOnce(k)
			k.recordDrain("t", at(10))
			k.recordStoreDisturbance(at(18), at(19))
		}, PromiseDrain},
		{"target that drained just before the store went back gets work", booking, func(k *checker) {
			ranOnce(k)
			k.recordDrain("t", at(17))
			k.recordStoreDisturbance(at(17.5), at(19))
		}, ""},
		{"target that drained before the store went back gets work from a new daemon", booking, func(k *checker) {
			ranOnce(k)
			k.recordDrain("t", at(8))
			k.recordStoreDisturbance(at(11), at(12))
			k.recordDisturbance(0, at(13), at(14))
		}, ""},
		{"target that said again that it drains gets work from a new daemon", booking, func(k *checker) {
			ranOnce(k)
			k.recordDrain("t", at(8))
			k.recordStoreDisturbance(at(11), at(12))
			k.recordDrain("t", at(11.8))
			k.recordDisturbance(0, at(13), at(14))
		}, PromiseDrain},
		{"served by an older version after the store went back", booking, func(k *checker) {
			ranOnce(k)
			k.recordPublication(2, at(18.5))
			k.recordStoreDisturbance(at(18.8), at(18.9))
			k.recordRequest(bookingWith(func(r *callerRequest) { r.id, r.version, r.startedAt, r.endedAt = "b", 2, at(19), at(19.1) }))
		}, PromiseNoConfigRollback},
		{"route still missing while the store is back from a copy", bookingWith(func(r *callerRequest) { r.status = statusNoRoute }),
			func(k *checker) { k.recordStoreDisturbance(at(17), at(18)) }, ""},
		{"cut by a planned stop", bookingWith(func(r *callerRequest) { r.status = 0 }),
			func(k *checker) { ranOnce(k); k.recordStop(0, at(19), at(24)) }, PromisePlannedStop},
		{"cut by a kill", bookingWith(func(r *callerRequest) { r.status = 0 }),
			func(k *checker) { ranOnce(k); k.recordStop(0, at(19), at(24)); k.recordDisturbance(0, at(20), at(21)) }, ""},
		{"daemon exited by itself", booking, func(k *checker) { ranOnce(k); k.recordUnexpectedExit(0, at(20), nil) }, PromiseNoUnexpectedExit},
		{"nothing served after the faults", bookingWith(func(r *callerRequest) { r.status = 502 }),
			func(k *checker) { ranOnce(k); k.recordEndOfFaults(at(10)) }, PromiseRecovered},
	} {
		k := newChecker(start)
		k.recordPublication(1, at(1))
		k.recordEndOfFaults(at(30))
		k.recordRequest(servedAfterFaults(at(40)))
		c.record(k)
		k.recordRequest(c.request)
		got := k.check(true)
		if c.want == "" && len(got) > 0 {
			t.Errorf("%s: %v", c.name, got)
		}
		if c.want != "" && (len(got) != 1 || got[0].Promise != c.want) {
			t.Errorf("%s: want %q, got %v", c.name, c.want, got)
		}
	}
}

// servedAfterFaults returns a request that was served after the end of the faults
// by a version that nothing replaces.
func servedAfterFaults(at time.Time) callerRequest {
	return callerRequest{id: "after", vm: 1, version: 9, startedAt: at, endedAt: at.Add(time.Millisecond), status: statusServed, timeout: routeTimeout}
}

func TestCheckerSkipsTimeBoundPromises(t *testing.T) {
	k := newChecker(time.Now())
	k.recordRequest(callerRequest{id: "a", status: 503, startedAt: k.start, endedAt: k.start.Add(time.Minute)})
	k.recordRun(run{requestID: "a"})
	got := k.check(false)
	if len(got) != 1 || got[0].Promise != PromiseNotRun {
		t.Errorf("got %v", got)
	}
}
