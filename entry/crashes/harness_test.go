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
	// calls counts the calls between VMs.
	calls int
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
		Pull: func(ctx context.Context, to string, digest uint64) (Reconciled, error) {
			return f.pull(ctx, v, to, digest)
		},
		Peers: func() []Peer { return f.primariesBut(v) },
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

// called returns the VM that another one calls, after the time that a call takes.
func (f *trackerFleet) called(from *vm, to string) (*vm, error) {
	time.Sleep(reconcileTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	i := slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == to })
	if f.vms[i].cut || from.cut {
		return nil, errCut
	}
	return f.vms[i], nil
}

// reconcile calls another VM.
func (f *trackerFleet) reconcile(ctx context.Context, from *vm, to string, all []quarantine.Evidence) (Reconciled, error) {
	v, err := f.called(from, to)
	if err != nil {
		return Reconciled{}, err
	}
	return v.HandleReconcile(from.name, all), ctx.Err()
}

// pull asks another VM.
func (f *trackerFleet) pull(ctx context.Context, from *vm, to string, digest uint64) (Reconciled, error) {
	v, err := f.called(from, to)
	if err != nil {
		return Reconciled{}, err
	}
	return v.HandlePull(digest), ctx.Err()
}

// callsSoFar returns the number of calls between VMs, also of those that failed.
func (f *trackerFleet) callsSoFar() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// primariesBut returns the primaries other than one VM.
func (f *trackerFleet) primariesBut(v *vm) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []Peer
	for _, other := range f.vms {
		if other != v && other.primary {
			peers = append(peers, Peer{VM: other.name, Zone: "z"})
		}
	}
	return peers
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
