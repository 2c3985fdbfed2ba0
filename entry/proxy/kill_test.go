package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// TestKilledVMLeavesOnlyRequestsInProgressUncertain kills a VM at 200 keyed
// requests a second over three VMs. A caller whose connection breaks resends
// its key through another VM; one that cannot connect takes a new key.
func TestKilledVMLeavesOnlyRequestsInProgressUncertain(t *testing.T) {
	const (
		rate     = 200
		duration = 10 * time.Second
		// killAt lies between two events, so that no request begins or ends at
		// the instant of the kill.
		killAt  = 5*time.Second + 2*time.Millisecond
		service = 50 * time.Millisecond
	)
	inFleet(t, 3, twoTargets(), func(t *testing.T, f *fleet) {
		scripted(t, f, func(*http.Request) string {
			time.Sleep(service)
			return whole
		})
		var mu sync.Mutex
		told := make(map[string]int)
		inProgress, atKill := 0, 0
		book := func(n int) {
			own := strconv.Itoa(n)
			for _, vm := range []int{n % 3, (n + 1) % 3} {
				if vm == 1 && !f.vms[vm].alive.Load() {
					continue
				}
				key := f.vms[vm].key(own)
				mu.Lock()
				if vm == 1 {
					inProgress++
				}
				mu.Unlock()
				got := f.ask(vm, "POST", "/book", "x", key)
				if got.err != nil {
					got = f.ask((vm+1)%3, "POST", "/book", "x", key)
				}
				mu.Lock()
				if vm == 1 {
					inProgress--
				}
				told[got.header.Get(OutcomeHeader)]++
				mu.Unlock()
				return
			}
		}
		time.AfterFunc(killAt, func() {
			mu.Lock()
			atKill = inProgress
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
		t.Logf("told %v; %d requests in progress on the killed VM", told, atKill)
		if told["may_have_run"] > atKill || told["answered"]+told["may_have_run"] != rate*int(duration.Seconds()) {
			t.Errorf("told %v, %d in progress", told, atKill)
		}
	})
}
