package crashes

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// request7 is the request of most tests.
var request7 = numberedRequest(7)

// numberedRequest returns a request of one caller, without a query.
func numberedRequest(n int) quarantine.Identity {
	return quarantine.Identify(quarantine.Request{Caller: "c", Resource: []string{strconv.Itoa(n)}})
}

// vm is a tracker with its exchange of evidence.
type vm struct {
	*Tracker
	name     string
	primary  bool
	address  netip.AddrPort
	exchange *evidence.Exchange
	stop     context.CancelFunc
	fleet    *trackerFleet
	inbox    chan []byte
	// cut is true while no datagram passes to or from the VM.
	cut bool
}

func (v *vm) Observed(string, evidence.AttemptEvidence) {}
func (v *vm) SetInProgress(string, map[string]int)      {}
func (v *vm) MergeNotice(string, notice.Report)         {}
func (v *vm) Announced(string, contract.Announcement)   {}
func (v *vm) crash(request quarantine.Identity, target string) {
	v.crashAs(request, target, 1)
}
func (v *vm) refuses(request quarantine.Identity) bool {
	remaining, _ := v.Refused(request)
	return remaining > 0
}
func (v *vm) crashAs(request quarantine.Identity, target string, n int64) {
	v.recordCrash(request, quarantine.Crash{Target: target, Incarnation: n, At: v.fleet.uptime()})
}

// trackerFleet is a set of VMs that exchange evidence by datagrams in virtual time.
// As on the platform, VMs that are not primaries get heartbeats only, from primaries
// only.
type trackerFleet struct {
	t     *testing.T
	start time.Time
	mu    sync.Mutex
	vms   []*vm
	// lossShare is the share of datagrams that are lost.
	lossShare float64
	random    *rand.Rand
}

func (f *trackerFleet) uptime() time.Duration { return time.Since(f.start) + time.Hour }

// withTrackers runs a test with two primaries, the first VMs, and some others.
func withTrackers(t *testing.T, others int, test func(f *trackerFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &trackerFleet{t: t, start: time.Now(), random: rand.New(rand.NewPCG(1, 2))}
		for i := range others + 2 {
			f.join(i < 2)
		}
		test(f)
		for _, v := range f.vms {
			v.stop()
		}
		time.Sleep(time.Second) // the calls in progress end
	})
}

// join starts a VM.
func (f *trackerFleet) join(primary bool) *vm {
	i := len(f.vms)
	v := &vm{
		name: "vm-" + strconv.Itoa(i), primary: primary, fleet: f, inbox: make(chan []byte, 1000),
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000),
	}
	logger := log.New(io.Discard)
	v.Tracker = New(Options{
		ServedSince: func(string, time.Duration) bool { return false }, AnsweredSince: func(time.Duration) bool { return false }, Uptime: f.uptime, Logger: logger, Scope: tally.NoopScope,
		Relays: func() bool { return primary },
		Reconcile: func(ctx context.Context, to string, all []quarantine.Evidence) (Reconciled, error) {
			return f.reconcile(ctx, v, to, all)
		},
	})
	v.exchange = evidence.New(evidence.Options{
		Fleet: "f", VM: v.name, Instance: uint64(i + 1), Conn: packets{vm: v},
		IsPrimary: func() bool { return primary }, Ready: func() bool { return true }, Peers: func() []evidence.Peer { return f.peersOf(v) },
		AttemptsInProgress: func() map[string]int { return nil }, Announcement: func() contract.Announcement { return contract.Announcement{} }, CutOffServices: func() []string { return nil }, PathInDoubt: func() bool { return false }, MeanRunTime: func() time.Duration { return 0 }, Notices: func(bool) []notice.Report { return nil }, Rate: func() float64 { return 0 },
		Requests: v.NextEvidence, RequestsDigest: v.Digest, Receiver: v, Uptime: f.uptime, Logger: logger, Scope: tally.NoopScope,
	})
	v.UseNotifier(v.exchange.RequestsChanged)
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	f.mu.Lock()
	f.vms = append(f.vms, v)
	f.mu.Unlock()
	go func() { _ = v.exchange.Run(ctx) }()
	go func() { _ = v.Run(ctx) }()
	return v
}

// reconcileTime is how long a call between VMs takes; longer where segments are lost and sent
// again.
const reconcileTime = 300 * time.Millisecond

// errCut means that no call passes to or from a VM.
var errCut = errors.New("the VM is cut off")

// reconcile calls another VM.
func (f *trackerFleet) reconcile(ctx context.Context, from *vm, to string, all []quarantine.Evidence) (Reconciled, error) {
	time.Sleep(reconcileTime)
	f.mu.Lock()
	i := slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == to })
	isCut := f.vms[i].cut || from.cut
	f.mu.Unlock()
	if isCut {
		return Reconciled{}, errCut
	}
	return f.vms[i].HandleReconcile(from.name, all), ctx.Err()
}

func (f *trackerFleet) peersOf(v *vm) []evidence.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []evidence.Peer
	for _, other := range f.vms {
		if other != v {
			peers = append(peers, evidence.Peer{VM: other.name, Address: other.address, IsPrimary: other.primary})
		}
	}
	return peers
}

// deliver passes a datagram on unless it is lost.
func (f *trackerFleet) deliver(from *vm, content []byte, to string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.address.String() == to && !v.cut && !from.cut && f.random.Float64() >= f.lossShare {
			v.inbox <- append([]byte(nil), content...)
		}
	}
}

func (f *trackerFleet) setLossShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossShare = share
}

func (f *trackerFleet) setCut(v *vm, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v.cut = cut
}

// packets is the socket of one VM.
type packets struct {
	net.PacketConn
	vm *vm
}

func (p packets) WriteTo(content []byte, to net.Addr) (int, error) {
	p.vm.fleet.deliver(p.vm, content, to.String())
	return len(content), nil
}

func (p packets) ReadFrom(buffer []byte) (int, net.Addr, error) {
	content, open := <-p.vm.inbox
	if !open {
		return 0, nil, net.ErrClosed
	}
	return copy(buffer, content), nil, nil
}

func (p packets) Close() error {
	p.vm.fleet.mu.Lock()
	defer p.vm.fleet.mu.Unlock()
	if !p.vm.cut {
		p.vm.cut = true // nothing is delivered to a closed socket
		close(p.vm.inbox)
	}
	return nil
}

// expectRefused checks after a while which VMs refuse the request.
func (f *trackerFleet) expectRefused(what string, wait time.Duration, want bool) {
	f.t.Helper()
	time.Sleep(wait)
	for _, v := range f.vms {
		if !v.cut && v.refuses(request7) != want {
			f.t.Errorf("%s: %s refuses the request: %v, want %v", what, v.name, !want, want)
		}
	}
}

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
