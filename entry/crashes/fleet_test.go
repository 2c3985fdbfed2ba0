package crashes

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// TestRequestThatCrashesItsTargetsIsRefusedEverywhere guards against a request that
// some VMs go on sending after it is to be refused. Each crash is seen by another VM
// that is not a primary; all VMs must learn of them.
func TestRequestThatCrashesItsTargetsIsRefusedEverywhere(t *testing.T) {
	withTrackers(t, 8, func(f *trackerFleet) {
		f.vms[3].crash(request7, "t1")
		f.expectRefused("after one crash", time.Second, false)
		f.vms[7].crash(request7, "t2")
		f.expectRefused("after two crashes", time.Second, true)
	})
}

// TestNewEvidenceReachesVMsThatGetHeartbeatsOnly guards against evidence that is new until the
// next heartbeat only, so that most VMs learn it by repeats, or calls, seconds later.
func TestNewEvidenceReachesVMsThatGetHeartbeatsOnly(t *testing.T) {
	const heartbeats = 450 * time.Millisecond
	withTrackers(t, 8, func(f *trackerFleet) {
		for i := range 60 {
			f.vms[i%2].crash(numberedRequest(1000+i), "t0")
		}
		time.Sleep(5 * time.Second)
		for i := range 6 { // each causes a datagram before the next heartbeat
			f.vms[0].crash(numberedRequest(2000+i), "t0")
			time.Sleep(20 * time.Millisecond)
		}
		f.vms[7].crash(numberedRequest(2006), "t0") // told to primary VMs only, which pass it on
		time.Sleep(heartbeats)
		for _, v := range f.vms {
			for i := range 7 {
				if !v.Suspected(numberedRequest(2000 + i)) {
					t.Errorf("%s does not know of request %d", v.name, i)
				}
			}
		}
	})
}

// TestVMThatComesLaterKnowsOfCrashes guards against VMs that join, restart or were cut
// off during the crashes and start without the evidence, also when those that
// reported the crashes are gone.
func TestVMThatComesLaterKnowsOfCrashes(t *testing.T) {
	withTrackers(t, 6, func(f *trackerFleet) {
		cutOff := f.vms[4]
		f.setCut(cutOff, true)
		for i, v := range []*vm{f.vms[2], f.vms[3]} {
			v.crash(request7, "t"+strconv.Itoa(i))
			time.Sleep(300 * time.Millisecond)
			v.stop()
		}
		f.join(false)
		f.join(true)
		f.setCut(cutOff, false)
		f.expectRefused("after a join and a cut", time.Second, true)
	})
}

// TestEvidenceOfAVMThatWasCutOffArrives guards against crashes that only a VM knows
// which was cut off while it saw them.
func TestEvidenceOfAVMThatWasCutOffArrives(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		f.setCut(f.vms[4], true)
		f.vms[4].crash(request7, "t1")
		time.Sleep(5 * time.Second)
		f.vms[3].crash(request7, "t2")
		f.expectRefused("while the VM is cut off", time.Second, false)
		f.setCut(f.vms[4], false)
		f.expectRefused("after the cut", time.Second, true)
	})
}

// TestEvidenceArrivesDespiteLostDatagrams loses every second datagram while many
// requests have one crash each.
func TestEvidenceArrivesDespiteLostDatagrams(t *testing.T) {
	withTrackers(t, 6, func(f *trackerFleet) {
		f.lossShare = 0.5
		for i := range 100 {
			f.vms[2+i%6].crash(numberedRequest(1000+i), "t0")
		}
		for i := range 2 {
			f.vms[2+i].crash(request7, "t"+strconv.Itoa(i))
		}
		f.expectRefused("with losses", 3*time.Second, true)
	})
}

// TestPopularRequestIsNotRefusedForClosedConnections requests the same page for
// many callers of one address, while targets crash on which it is in progress. Such a
// page must not be refused as if it crashed the targets.
func TestPopularRequestIsNotRefusedForClosedConnections(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		one, other := f.vms[0], f.vms[3]
		other.Answered(request7)
		for i := range 30 {
			one.crash(request7, "t"+strconv.Itoa(i%8))
			time.Sleep(time.Second)
			other.Answered(request7)
			if one.refuses(request7) || other.refuses(request7) {
				t.Fatalf("refused after %d crashes, each followed by a response", i+1)
			}
		}
		time.Sleep(2 * quarantine.AnswerValidity)
		other.Answered(request7)
		for i := range 3 {
			one.crashAs(request7, "t"+strconv.Itoa(i), 2)
		}
		f.expectRefused("three targets crash at once soon after a response to another VM", time.Second, false)
	})
}

// TestRequestThatChangesFromSendToSendIsRefusedEverywhere guards against a request that goes
// on crashing targets because each send comes from another address with another query.
func TestRequestThatChangesFromSendToSendIsRefusedEverywhere(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		for i := range 3 {
			f.vms[2+i].crash(sendOf(i), "t"+strconv.Itoa(i))
		}
		time.Sleep(time.Second)
		for _, v := range append(f.vms, f.join(false)) {
			time.Sleep(time.Second)
			if !v.refuses(sendOf(10)) {
				t.Errorf("%s does not refuse the next send", v.name)
			}
			if v.refuses(numberedRequest(8)) {
				t.Errorf("%s refuses a request for another resource", v.name)
			}
		}
	})
}

// sendOf returns a request that comes from another address with another query each time.
func sendOf(n int) quarantine.Identity {
	return quarantine.Identify(quarantine.Request{Caller: "c" + strconv.Itoa(n), Resource: []string{"r"}, Query: "n=" + strconv.Itoa(n)})
}

// TestOneCrashSeenByManyVMsCountsOnce guards against a request that is refused because
// several VMs ran it on one target that crashed.
func TestOneCrashSeenByManyVMsCountsOnce(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		for _, v := range f.vms {
			v.crash(request7, "t1")
			time.Sleep(600 * time.Millisecond)
		}
		f.expectRefused("one crash of one process", time.Second, false)
		f.vms[1].crashAs(request7, "t1", 2)
		f.expectRefused("two processes under one identifier", time.Second, true)
	})
}

// TestLiftReachesVMsThatWereCutOff guards against an operator's lift that is undone by
// a VM which was cut off and reports the crashes again.
func TestLiftReachesVMsThatWereCutOff(t *testing.T) {
	withTrackers(t, 4, func(f *trackerFleet) {
		for i := range 2 {
			f.vms[2].crash(request7, "t"+strconv.Itoa(i))
		}
		f.expectRefused("after two crashes", time.Second, true)
		f.setCut(f.vms[4], true)
		if rows := f.vms[3].QuarantineList(); len(rows) != 1 || !rows[0].Quarantined || !f.vms[3].QuarantineLift(rows[0].Fingerprint) {
			t.Errorf("list and lift: %+v", rows)
		}
		time.Sleep(5 * time.Second)
		f.setCut(f.vms[4], false)
		f.expectRefused("after the lift", 2*time.Second, false)
	})
}

// BenchmarkNextEvidence measures a datagram's share of the work when a thousand
// requests have one crash each.
func BenchmarkNextEvidence(b *testing.B) {
	now := time.Hour
	tracker := New(Options{Relays: func() bool { return true }, Uptime: func() time.Duration { return now }, Logger: log.New(io.Discard), Scope: tally.NoopScope})
	tracker.UseNotifier(func() {})
	for i := range 1000 {
		tracker.recordCrash(numberedRequest(i), quarantine.Crash{Target: "t1", Incarnation: 1, At: now})
	}
	for _, repeat := range []bool{false, true} {
		b.Run("repeat="+strconv.FormatBool(repeat), func(b *testing.B) {
			for range b.N {
				now += repeatInterval / 1000 // the crashes must not expire
				tracker.outbox.repeatedAt = 0
				tracker.NextEvidence(repeat)
			}
		})
	}
}
