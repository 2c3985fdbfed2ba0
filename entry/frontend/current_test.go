package frontend

import (
	"slices"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// keyReports says of VMs, all of which are heard, whether they serve keys and read the store.
type keyReports struct {
	fakePeerReports
	notCurrent, readsStore map[string]bool
}

func (r keyReports) KeysNotCurrent(vm string) bool { return r.notCurrent[vm] }

func (r keyReports) ReadsStore(vm string) bool { return r.readsStore[vm] }

// reachable is a membership of which each VM has a client.
type reachable struct{ fakeMembers }

func (reachable) Client(string) (primroseloomv1connect.PeerServiceClient, bool) {
	return primroseloomv1connect.NewPeerServiceClient(nil, "http://unused"), true
}

// newKeyFleet returns a fleet of five VMs, of which some say that they cannot serve keys.
func newKeyFleet(now *time.Duration, notCurrent, readsStore []string) *fleet {
	reports := keyReports{fakePeerReports: fakePeerReports{}, notCurrent: map[string]bool{}, readsStore: map[string]bool{}}
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
	for _, member := range all[1:] {
		reports.fakePeerReports[member.GetVm()] = 0
	}
	for _, vm := range notCurrent {
		reports.notCurrent[vm] = true
	}
	for _, vm := range readsStore {
		reports.readsStore[vm] = true
	}
	f := newTestFleet(all, fakePeerReports{}, now)
	f.members, f.peerReports = reachable{all}, reports
	f.keysNotCurrent = func() bool { return reports.notCurrent["vm-1"] }
	f.updateView()
	return f
}

// TestVMsWhoseKeysAreNotCurrentAreLeftOut guards against callers who are shown a VM that
// refuses their keys, and against a directory without any VM while none is current.
func TestVMsWhoseKeysAreNotCurrentAreLeftOut(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
		notCurrent []string
		want       int
	}{
		{nil, 3},
		{[]string{"vm-2", "vm-3"}, 3},
		{[]string{"vm-2", "vm-3", "vm-4", "vm-5"}, 1},
		{[]string{"vm-1", "vm-2", "vm-3", "vm-4"}, 1},
		{[]string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}, 3},
	} {
		f := newKeyFleet(&now, c.notCurrent, nil)
		listed := f.advertised("z")
		if len(listed) != c.want {
			t.Errorf("%v not current: advertised %v, want %d", c.notCurrent, listed, c.want)
		}
		if len(c.notCurrent) < 5 && slices.ContainsFunc(c.notCurrent, func(vm string) bool { return slices.Contains(listed, vm+":1") }) {
			t.Errorf("%v not current: advertised %v", c.notCurrent, listed)
		}
	}
	if f := newKeyFleet(&now, []string{"vm-1"}, nil); f.view.Load().isPrimary || !f.sendsHeartbeats() {
		t.Error("a VM that is not current is a primary VM, or is silent about it")
	}
}

// TestRequestsWithKeysGoToCurrentVMs guards against requests that are forwarded to VMs which
// refuse them, and against a search for one that goes on when there is none.
func TestRequestsWithKeysGoToCurrentVMs(t *testing.T) {
	now := time.Minute
	for range 50 {
		f := newKeyFleet(&now, []string{"vm-1", "vm-2", "vm-3"}, []string{"vm-2", "vm-5"})
		if vm, _, ok := f.CurrentCarrier("s", nil); !ok || vm != "vm-5" {
			t.Fatalf("chose %q first, want the current one that reads the store", vm)
		}
		if vm, _, ok := f.CurrentCarrier("s", []string{"vm-5"}); !ok || vm != "vm-4" {
			t.Fatalf("chose %q second", vm)
		}
		if vm, _, ok := f.CurrentCarrier("s", []string{"vm-5", "vm-4"}); ok {
			t.Fatalf("chose %q, which is not current", vm)
		}
		f.CarrierUnreachable("vm-5")
		if vm, _, ok := f.CurrentCarrier("s", []string{"vm-4"}); ok {
			t.Fatalf("chose %q, which could not be reached", vm)
		}
	}
	f := newKeyFleet(&now, []string{"vm-2", "vm-3", "vm-4"}, nil)
	for range 50 {
		if vm, _, ok := f.Carrier("s", nil); !ok || vm != "vm-5" {
			t.Fatalf("carrier %q, want the current one", vm)
		}
	}
	all := newKeyFleet(&now, []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}, nil)
	if _, _, ok := all.Carrier("s", nil); !ok {
		t.Error("no carrier for public routes while no VM is current")
	}
}

// TestSilenceOfAllVMsRefusesNoRequest guards against requests with keys that a VM refuses since
// it has just been paused, or gets no datagrams: that all others are silent says nothing of them.
func TestSilenceOfAllVMsRefusesNoRequest(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3")
	reports := keyReports{fakePeerReports: fakePeerReports{"vm-2": 0, "vm-3": 0}}
	f := newTestFleet(all, fakePeerReports{}, &now)
	f.members, f.peerReports = reachable{all}, reports
	f.cutOffServices = func() []string { return []string{"s"} }
	f.updateView()
	reports.fakePeerReports["vm-2"], reports.fakePeerReports["vm-3"] = carrierSilence, carrierSilence
	if _, _, ok := f.CurrentCarrier("s", nil); !ok {
		t.Error("no carrier while all other VMs are silent")
	}
	reports.fakePeerReports["vm-3"] = 0
	for range 20 {
		if vm, _, ok := f.CurrentCarrier("s", nil); !ok || vm != "vm-3" {
			t.Fatalf("carrier %q, want the one that is heard", vm)
		}
	}
	if vm, _, ok := f.CurrentCarrier("s", []string{"vm-3"}); ok {
		t.Errorf("carrier %q, which alone is silent", vm)
	}
}
