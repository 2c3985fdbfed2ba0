package proxy

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
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

// TestRequestThatSilencesItsTargetsIsQuarantined guards against a request that takes
// down each target that runs it without closing its connections, and goes on since
// only closed connections counted.
func TestRequestThatSilencesItsTargetsIsQuarantined(t *testing.T) {
	const detectionTime = 3 * time.Second // the request's own time limit and the check of its target
	targets := append(twoTargets(), document.Target{Name: "t2", Address: targetIP(2) + ":80", Zone: "z"}, document.Target{Name: "t3", Address: targetIP(3) + ":80", Zone: "z"})
	withFleet(t, 3, targets, func(t *testing.T, f *fleet) {
		var mu sync.Mutex
		var crashes []time.Time
		silence := func(target string, silent bool) {
			set := f.network.Unblock
			if silent {
				set = f.network.Block
			}
			for vm := range f.vms {
				set(vmIP(vm), target)
				set(target, vmIP(vm))
			}
		}
		for i := range targets {
			ip := targetIP(i)
			acceptConnections(t, f, i, func(conn net.Conn) {
				serveScript(conn, func(*http.Request) string {
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
					silence(ip, true)
					time.AfterFunc(3*time.Second, func() { silence(ip, false) })
					time.Sleep(5 * time.Second) // longer than any caller waits
					return ""
				})
			})
		}
		start, refused := time.Now(), 0
		for i := 0; time.Since(start) < quarantine.PresumedTime; i++ {
			got := f.send(i%3, "POST", "/poison", "x", TimeoutHeader+": 1200")
			if strings.Contains(got.body, "quarantined") {
				refused++
			}
			time.Sleep(500 * time.Millisecond)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, at := range crashes[quarantine.CrashesToQuarantine:] {
			if late := at.Sub(crashes[quarantine.CrashesToQuarantine-1]); late > detectionTime {
				t.Errorf("a further crash %v after the one that quarantines the request", late)
			}
		}
		if refused == 0 {
			t.Error("the request was never refused")
		}
		time.Sleep(10 * time.Second) // until the targets and checks have ended
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
