package proxy

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/quarantine"
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

// TestErrorResponseDoesNotClearSuspect guards against a request that crashes its
// targets and goes on, since a failing target answers it with errors without running
// it and so clears it of suspicion.
func TestErrorResponseDoesNotClearSuspect(t *testing.T) {
	const failing = "HTTP/1.1 500 Internal Server Error\r\n" + CorrelationHeader + ": $C\r\nContent-Length: 4\r\n\r\noops"
	withFleet(t, 3, twoTargets(), func(t *testing.T, f *fleet) {
		crashes := 0
		startCrashingTarget(t, f, 0, &crashes)
		acceptConnections(t, f, 1, func(conn net.Conn) { serveScript(conn, func(*http.Request) string { return failing }) })
		for i := range 20 {
			f.send(i/2%3, "POST", "/poison", "x") // each VM takes the targets in turn
			time.Sleep(2 * time.Second)
		}
		if crashes == 0 || crashes > quarantine.CrashesToQuarantine {
			t.Errorf("%d crashes, want 1 to %d", crashes, quarantine.CrashesToQuarantine)
		}
	})
}

// startCrashingTarget starts a target that each request takes down for a second,
// during which it closes new connections at once.
func startCrashingTarget(t *testing.T, f *fleet, index int, crashes *int) {
	t.Helper()
	var downUntil time.Time
	acceptConnections(t, f, index, func(conn net.Conn) {
		if time.Now().Before(downUntil) {
			_ = conn.Close()
			return
		}
		serveScript(conn, func(*http.Request) string {
			*crashes++
			downUntil = time.Now().Add(time.Second)
			return ""
		})
	})
}

// TestVMThatTakesOverAServiceKnowsItsQuarantines guards against a VM that begins to
// serve a service because another one left: no instance joins then, and the VM was
// not told of quarantines before.
func TestVMThatTakesOverAServiceKnowsItsQuarantines(t *testing.T) {
	withFleet(t, 3, twoTargets(), func(t *testing.T, f *fleet) {
		f.notServing = map[string]bool{"vm-2": true}
		startScriptedTargets(t, f, func(*http.Request) string { return "" })
		for range 3 {
			f.send(0, "GET", "/poison", "")
			time.Sleep(time.Second)
		}
		f.kill(1)
		f.mu.Lock()
		f.notServing, f.gone = nil, map[string]bool{"vm-1": true}
		f.mu.Unlock()
		time.Sleep(time.Second)
		if got := f.send(2, "GET", "/poison", ""); !strings.Contains(got.body, "quarantined") {
			t.Errorf("the VM that takes over runs the request: %+v", got)
		}
	})
}
