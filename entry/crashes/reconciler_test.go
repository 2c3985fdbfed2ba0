package crashes

import (
	"strconv"
	"testing"
	"time"
)

// TestLostEvidenceArrivesByACall guards against a VM that goes on sending a request which is
// to be refused, since each datagram that told so was lost.
func TestLostEvidenceArrivesByACall(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		f.lossShare = 1
		for i := range 2 {
			f.vms[2].crash(request7, "t"+strconv.Itoa(i))
		}
		time.Sleep(time.Second)
		f.setLossShare(0.9) // hardly a heartbeat arrives
		f.expectRefused("after calls", 8*time.Second, true)
	})
}

// TestEvidenceIsNotRepeatedWhileAllVMsAgree guards against bytes that are sent at intervals
// although all VMs know the same.
func TestEvidenceIsNotRepeatedWhileAllVMsAgree(t *testing.T) {
	withTrackers(t, 2, func(f *trackerFleet) {
		for i := range 20 {
			f.vms[2].crash(numberedRequest(i), "t0")
		}
		time.Sleep(2 * time.Second)
		for _, v := range f.vms {
			time.Sleep(repeatInterval)
			if repeated := v.NextEvidence(true); len(repeated) != 0 {
				t.Errorf("%s repeats %d requests", v.name, len(repeated))
			}
		}
		f.setCut(f.vms[3], true)
		f.vms[2].crash(numberedRequest(100), "t0")
		time.Sleep(4 * time.Second)
		f.setCut(f.vms[3], false)
		time.Sleep(2 * time.Second)
		if f.vms[3].Digest() != f.vms[0].Digest() {
			t.Error("a VM that was cut off does not know what the others know")
		}
	})
}

// TestDigestsThatACallDoesNotMakeEqualAreSettled guards against VMs that call one another for
// ever, since their tables are at their limits or one of them runs another build.
func TestDigestsThatACallDoesNotMakeEqualAreSettled(t *testing.T) {
	r, now := newReconciler(), time.Hour
	r.heard("vm-1", 1, 2, now)
	now += reconcileDelay
	r.heard("vm-1", 1, 2, now)
	if vm, ok := r.due(1, now); !ok || vm != "vm-1" {
		t.Fatalf("due %q, %v", vm, ok)
	}
	r.called("vm-1", 1, 2, now)
	for range 10 {
		now += reconcileDelay
		r.heard("vm-1", 1, 2, now)
		if _, ok := r.due(1, now); ok {
			t.Fatal("called again although nothing has changed")
		}
	}
	r.heard("vm-1", 1, 3, now)
	now += reconcileDelay
	r.heard("vm-1", 1, 3, now)
	if _, ok := r.due(1, now); !ok {
		t.Error("not called after the other VM's digest has changed")
	}
}

// TestVMsOfOlderBuildsGetRepeats guards against evidence that no longer reaches VMs of builds
// that tell no digest.
func TestVMsOfOlderBuildsGetRepeats(t *testing.T) {
	r, now := newReconciler(), time.Hour
	r.heard("vm-1", 1, 1, now)
	if !r.allAgree(1, now) {
		t.Error("equal digests do not agree")
	}
	r.heard("vm-2", 1, 0, now)
	if r.allAgree(1, now) {
		t.Error("a VM that tells no digest agrees")
	}
	if _, ok := r.due(1, now+reconcileDelay); ok {
		t.Error("a VM that tells no digest is called")
	}
	if now += digestLifetime; r.allAgree(1, now) {
		t.Error("VMs that have not been heard for long agree")
	}
}
