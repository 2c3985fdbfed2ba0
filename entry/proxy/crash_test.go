package proxy

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestPopularRequestIsNotQuarantinedWhenTargetsCrash guards against the refusal, for
// QuarantineTime, of a request that is answered all the time: two targets close their
// connections at one moment while both run it for different VMs.
func TestPopularRequestIsNotQuarantinedWhenTargetsCrash(t *testing.T) {
	withFleet(t, 3, twoTargets(), func(t *testing.T, f *fleet) {
		var crashing atomic.Bool
		startScriptedTargets(t, f, func(*http.Request) string {
			time.Sleep(20 * time.Millisecond)
			if crashing.Load() {
				return ""
			}
			return completeResponse
		})
		sendFromAll := func() (refused int) {
			for vm := range f.vms {
				if got := f.send(vm, "GET", "/page", ""); strings.Contains(got.body, "quarantined") {
					refused++
				}
			}
			return refused
		}
		sendFromAll()
		crashing.Store(true)
		sendFromAll()
		crashing.Store(false)
		time.Sleep(time.Second)
		if refused := sendFromAll(); refused > 0 {
			t.Errorf("%d of %d VMs refuse the request as quarantined", refused, len(f.vms))
		}
	})
}
