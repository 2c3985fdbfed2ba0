package frontend

import (
	"slices"
	"testing"
	"time"

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

// fakeHeard tells when each VM was last heard.
type fakeHeard map[string]time.Duration

func (h fakeHeard) LastReceived(vm string) (age time.Duration, ready, ok bool) {
	age, ok = h[vm]
	return age, ok, ok
}

func (h fakeHeard) Rate(string) float64 { return 0 }

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

// looks looks at the fleet for a while.
func looks(f *fleet, now *time.Duration, length time.Duration) {
	for end := *now + length; *now < end; *now += viewInterval {
		f.look()
	}
}

func testFleet(all fakeMembers, heard fakeHeard, now *time.Duration) *fleet {
	f := newFleet(all, func() bool { return true }, offer.Settings{MinPerZone: 3, MinAdvertised: 1}, 7000, func() time.Duration { return *now })
	f.heard = heard
	return f
}

func TestSilentVMIsNotOffered(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3")
	f := testFleet(all, fakeHeard{"vm-2": 100 * time.Millisecond}, &now)
	looks(f, &now, silentAfter/2)
	if got := f.offered("z"); len(got) != 3 {
		t.Errorf("a VM that had no time to be heard is left out: %v", got)
	}
	looks(f, &now, silentAfter+2*viewInterval)
	if got := f.offered("z"); slices.Contains(got, "vm-3:1") || len(got) != 2 {
		t.Errorf("offered %v", got)
	}
}

func TestVMWithoutRoutesOrLeavingIsNotOffered(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3")
	all[1].Generation = 0
	all[2].Status = primroseloomv1.MemberStatus_MEMBER_STATUS_LEAVING
	f := testFleet(all, fakeHeard{}, &now)
	f.look()
	if got := f.offered("z"); len(got) != 1 || got[0] != "vm-1:1" {
		t.Errorf("offered %v", got)
	}
}

func TestEvidenceGoesToTheFrontRankAndHeartbeatsToTheZone(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6")
	f := testFleet(all, fakeHeard{}, &now)
	f.look()
	serving := 0
	for _, peer := range f.others() {
		if peer.Serves {
			serving++
		}
		if peer.Address.Port() != 7000 {
			t.Errorf("evidence for %s goes to %v", peer.VM, peer.Address)
		}
	}
	if want := 3; serving+map[bool]int{true: 1}[f.serving()] != want || len(f.others()) != 5 {
		t.Errorf("%d peers serve, own VM serves: %v, %d peers", serving, f.serving(), len(f.others()))
	}
}

func TestOnlyTheFrontRankSharesTheAllowance(t *testing.T) {
	now := time.Minute
	serving, sharing := 0, 0
	names := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	for i := range names {
		all := members(append(names[i:], names[:i]...)...)
		f := testFleet(all, fakeHeard{}, &now)
		f.look()
		if f.serving() {
			serving++
		}
		if sharers := f.sharers(); sharers > 0 {
			sharing++
			if sharers != 3 {
				t.Errorf("%s shares with %d VMs", names[i], sharers)
			}
		}
	}
	if serving != 3 || sharing != 3 {
		t.Errorf("%d VMs serve and %d share", serving, sharing)
	}
}

func TestOnlyLeadersTellWithinTheFrontRank(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8")
	for i := range all {
		all[i].Zone = []string{"z-a", "z-b", "z-c", "z-d"}[i%4]
	}
	f := testFleet(all, fakeHeard{}, &now)
	f.settings.MinPerZone = 1
	f.look()
	view := f.view.Load()
	if len(view.leaders) != 4 {
		t.Fatalf("leaders %v", view.leaders)
	}
	f.settings.MinPerZone = 2
	f.look()
	view = f.view.Load()
	for _, member := range all {
		if got := f.tells(member.GetVm()); got != view.leaders[member.GetVm()] {
			t.Errorf("%s leads %v and tells %v", member.GetVm(), view.leaders[member.GetVm()], got)
		}
	}
}
