package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// TestKilledVMLeavesOnlyRequestsInProgressUncertain kills one of three VMs that
// serve 200 keyed requests a second. A caller whose connection fails resends its
// key through another VM; one that would use the killed VM takes a key of another
// VM. At most the requests in progress at the kill may end as may_have_run.
func TestKilledVMLeavesOnlyRequestsInProgressUncertain(t *testing.T) {
	const (
		rate     = 200
		duration = 10 * time.Second
		// killAt lies between two requests, so that no request begins or ends at
		// the instant of the kill.
		killAt      = 5*time.Second + 2*time.Millisecond
		serviceTime = 50 * time.Millisecond
	)
	withFleet(t, 3, twoTargets(), func(t *testing.T, f *fleet) {
		startScriptedTargets(t, f, func(*http.Request) string {
			time.Sleep(serviceTime)
			return completeResponse
		})
		var mu sync.Mutex
		outcomes := make(map[string]int)
		inProgress, inProgressAtKill := 0, 0
		book := func(n int) {
			ownKey := strconv.Itoa(n)
			for _, vm := range []int{n % 3, (n + 1) % 3} {
				if vm == 1 && !f.vms[vm].alive.Load() {
					continue
				}
				key := f.vms[vm].keyHeader(ownKey)
				mu.Lock()
				if vm == 1 {
					inProgress++
				}
				mu.Unlock()
				got := f.send(vm, "POST", "/book", "x", key)
				if got.err != nil {
					got = f.send((vm+1)%3, "POST", "/book", "x", key)
				}
				mu.Lock()
				if vm == 1 {
					inProgress--
				}
				outcomes[got.header.Get(OutcomeHeader)]++
				mu.Unlock()
				return
			}
		}
		time.AfterFunc(killAt, func() {
			mu.Lock()
			inProgressAtKill = inProgress
			mu.Unlock()
			f.kill(1)
		})
		for n := range int(duration.Seconds() * rate) {
			go book(n)
			time.Sleep(time.Second / rate)
		}
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		t.Logf("outcomes %v; %d requests in progress on the killed VM", outcomes, inProgressAtKill)
		if outcomes["may_have_run"] > inProgressAtKill || outcomes["answered"]+outcomes["may_have_run"] != rate*int(duration.Seconds()) {
			t.Errorf("outcomes %v, %d requests in progress at the kill", outcomes, inProgressAtKill)
		}
	})
}
