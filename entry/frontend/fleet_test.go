package frontend

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// fakeMembers is a fixed membership; the first member is this VM.
type fakeMembers []*primroseloomv1.Member

func (m fakeMembers) Self() *primroseloomv1.Member      { return m[0] }
func (m fakeMembers) Members() []*primroseloomv1.Member { return m }
func (m fakeMembers) Client(string) (primroseloomv1connect.PeerServiceClient, bool) {
	return nil, false
}

// fakePeerReports holds the time since the last datagram of each VM.
type fakePeerReports map[string]time.Duration

func (h fakePeerReports) IsCutOff(string, string) bool { return false }

func (h fakePeerReports) KeysNotCurrent(string) bool { return false }

func (h fakePeerReports) ReadsStore(string) bool { return false }

func (h fakePeerReports) NeedsEvidence(string) bool { return false }

func (h fakePeerReports) LastReceived(vm string) (age time.Duration, ready, ok bool) {
	age, ok = h[vm]
	return age, ok, ok
}

func (h fakePeerReports) Rate(string) float64 { return 0 }

func members(names ...string) fakeMembers {
	var all fakeMembers
	for _, name := range names {
		all = append(all, &primroseloomv1.Member{
			Vm: name, Zone: "z", Generation: 1, CallersAddress: name + ":1", PeersAddress: "10.0.0.1:2",
			Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE,
		})
	}
	return all
}

// updateFor updates the view repeatedly for a length of time.
func updateFor(f *fleet, now *time.Duration, length time.Duration) {
	for end := *now + length; *now < end; *now += viewInterval {
		f.updateView()
	}
}

func newTestFleet(all fakeMembers, reports fakePeerReports, now *time.Duration) *fleet {
	f := newFleet(all, func() bool { return true }, offer.Settings{MinPerZone: 3, MinAdvertised: 1}, 7000, 1, func() time.Duration { return *now })
	f.peerReports = reports
	return f
}

func TestSilentVMIsNotAdvertised(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3")
	f := newTestFleet(all, fakePeerReports{"vm-2": 100 * time.Millisecond}, &now)
	updateFor(f, &now, silenceTimeout/2)
	if got := f.advertised("z"); len(got) != 3 {
		t.Errorf("a VM that had no time to send a heartbeat is not advertised: %v", got)
	}
	updateFor(f, &now, silenceTimeout+2*viewInterval)
	if got := f.advertised("z"); slices.Contains(got, "vm-3:1") || len(got) != 2 {
		t.Errorf("advertised %v", got)
	}
}

func TestVMWithoutRoutesOrLeavingIsNotAdvertised(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3")
	all[1].Generation = 0
	all[2].Status = primroseloomv1.MemberStatus_MEMBER_STATUS_LEAVING
	f := newTestFleet(all, fakePeerReports{}, &now)
	f.updateView()
	if got := f.advertised("z"); len(got) != 1 || got[0] != "vm-1:1" {
		t.Errorf("advertised %v", got)
	}
}

// TestSilentPrimaryVMsAreAskedForEvidence guards against a VM that asks no one for evidence
// since it excludes all primary VMs of its zone: their datagrams may be what is lost.
func TestSilentPrimaryVMsAreAskedForEvidence(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6")
	all[4].Zone, all[5].Zone = "y", "y"
	f := newTestFleet(all, fakePeerReports{}, &now)
	f.updateView()
	if got := f.currentHeartbeatSources(); len(got) < 2 {
		t.Fatalf("asks %v", got)
	}
	updateFor(f, &now, silenceTimeout+2*viewInterval)
	before := f.currentHeartbeatSources()
	for _, want := range []string{"vm-2", "vm-3", "vm-4"} {
		if !slices.ContainsFunc(before, func(p crashes.Peer) bool { return p.VM == want && p.Zone == "z" }) {
			t.Errorf("%s is not asked: %v", want, before)
		}
	}
	asksOthers := slices.ContainsFunc(before, func(p crashes.Peer) bool { return p.Zone == "y" })
	if isPrimary := f.view.Load().isPrimary; asksOthers != isPrimary {
		t.Errorf("is a primary VM: %v, asks other zones: %v", isPrimary, asksOthers)
	}
}

func TestEvidenceGoesToPrimariesAndHeartbeatsToTheZone(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6")
	f := newTestFleet(all, fakePeerReports{}, &now)
	f.updateView()
	primaries := 0
	for _, peer := range f.currentPeers() {
		if peer.IsPrimary {
			primaries++
		}
		if peer.Address.Port() != 7000 {
			t.Errorf("evidence for %s goes to %v", peer.VM, peer.Address)
		}
	}
	if want := 3; primaries+map[bool]int{true: 1}[f.view.Load().isPrimary] != want || len(f.currentPeers()) != 5 {
		t.Errorf("%d peers serve, own VM serves: %v, %d peers", primaries, f.view.Load().isPrimary, len(f.currentPeers()))
	}
}

func TestOnlyPrimariesShareTheRetryAllowance(t *testing.T) {
	now := time.Minute
	primaries, sharing := 0, 0
	names := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	for i := range names {
		all := members(append(names[i:], names[:i]...)...)
		f := newTestFleet(all, fakePeerReports{}, &now)
		f.updateView()
		if f.view.Load().isPrimary {
			primaries++
		}
		if sharers := f.sharers(); sharers > 0 {
			sharing++
			if sharers != 3 {
				t.Errorf("%s shares with %d VMs", names[i], sharers)
			}
		}
	}
	if primaries != 3 || sharing != 3 {
		t.Errorf("%d VMs serve and %d share, want 3 and 3", primaries, sharing)
	}
}

func TestPrimariesSkipTheirWatchOnlyForStoreWatchers(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8")
	for i := range all {
		all[i].Zone = []string{"z-a", "z-b", "z-c", "z-d"}[i%4]
	}
	f := newTestFleet(all, fakePeerReports{}, &now)
	f.settings.MinPerZone = 1
	f.updateView()
	view := f.view.Load()
	if len(view.storeWatchers) != 4 {
		t.Fatalf("store watchers %v, want 4", view.storeWatchers)
	}
	f.settings.MinPerZone = 2
	f.updateView()
	view = f.view.Load()
	for _, member := range all {
		if got := f.replacesOwnWatch(member.GetVm()); got != view.storeWatchers[member.GetVm()] {
			t.Errorf("%s watches the store: %v; replaces the own watch: %v", member.GetVm(), view.storeWatchers[member.GetVm()], got)
		}
	}
}

// TestStopUpdatesTheViewBesideRun guards against a daemon that crashes, or advertises
// wrong VMs, because its stop rebuilds the view while Run does.
func TestStopUpdatesTheViewBesideRun(t *testing.T) {
	const updates = 200
	now := time.Minute
	f := newTestFleet(members("vm-1", "vm-2", "vm-3"), fakePeerReports{"vm-2": 0, "vm-3": 0}, &now)
	var updating sync.WaitGroup
	for range 2 {
		updating.Go(func() {
			for range updates {
				f.updateView()
			}
		})
	}
	updating.Wait()
	if got := f.advertised("z"); len(got) != 3 {
		t.Errorf("advertised %v", got)
	}
}

// TestPrimariesShareTheLimitOfATarget guards against VMs that together send more to a
// limited target than it takes, or leave its limit unused.
func TestPrimariesShareTheLimitOfATarget(t *testing.T) {
	const perSecond = 2.5
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
	total := 0.0
	for i := range all {
		all[0], all[i] = all[i], all[0]
		f := newTestFleet(all, fakePeerReports{}, &now)
		f.updateView()
		share := f.rateShare("target", perSecond)
		if share > 0 && !f.view.Load().isPrimary {
			t.Errorf("%s has a share but serves no callers", all[0].GetVm())
		}
		total += share
	}
	if total > perSecond || total < 0.9*perSecond {
		t.Errorf("all VMs together may send %.2f requests a second, the target takes %.2f", total, perSecond)
	}
}

// BenchmarkUpdateView measures the view of a large fleet, which each VM rebuilds ten times a second.
func BenchmarkUpdateView(b *testing.B) {
	now := time.Minute
	var all fakeMembers
	reports := fakePeerReports{}
	for i := range 300 {
		name := fmt.Sprintf("vm-%d", i)
		all = append(all, &primroseloomv1.Member{
			Vm: name, Zone: fmt.Sprintf("z%d", i%4), Generation: 1, CallersAddress: name + ":1", PeersAddress: "10.0.0.1:2", Capacity: uint32(35 + 231*(i/290)),
			Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE,
		})
		reports[name] = 100 * time.Millisecond
	}
	f := newTestFleet(all, reports, &now)
	b.ReportAllocs()
	for b.Loop() {
		f.updateView()
	}
}
