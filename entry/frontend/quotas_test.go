package frontend

import (
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/settings"
)

// TestVMsThatServedLatelyShareTheLimits guards against a limit that is whole at both sides of
// a network partition as soon as they take each other for ended.
func TestVMsThatServedLatelyShareTheLimits(t *testing.T) {
	now := time.Minute
	reports := fakePeerReports{"vm-2": 100 * time.Millisecond}
	f := newTestFleet(members("vm-1", "vm-2", "vm-3"), reports, &now)
	serving := newServingVMs(f)
	ages := func() map[string]time.Duration {
		found := make(map[string]time.Duration)
		for _, peer := range serving.peers() {
			found[peer.VM] = peer.Age
		}
		return found
	}
	f.updateView()
	if got := ages(); len(got) != 2 || got["vm-2"] != 100*time.Millisecond || got["vm-3"] != -1 {
		t.Fatalf("%v", got)
	}
	f.members = members("vm-1", "vm-2")
	f.updateView()
	now += servedLately
	if got := ages(); len(got) != 2 {
		t.Errorf("%v within %v", got, servedLately)
	}
	now += time.Millisecond
	if got := ages(); len(got) != 1 {
		t.Errorf("%v later", got)
	}
}

// TestVMThatIsNoPrimaryVMAnyMoreReservesNothing guards against customers that are refused far
// below their limits after all VMs have restarted: each VM was a primary VM for a moment in a
// view that held few others, and then counted as silent.
func TestVMThatIsNoPrimaryVMAnyMoreReservesNothing(t *testing.T) {
	now := time.Minute
	all := members("vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
	f := newTestFleet(all[:3], fakePeerReports{}, &now)
	serving := newServingVMs(f)
	f.updateView()
	if got := serving.peers(); len(got) != 2 {
		t.Fatalf("%v", got)
	}
	for _, larger := range all[3:] {
		larger.Capacity = 100
	}
	all[0].Capacity = 100
	f.members = all
	f.updateView()
	now += 100 * time.Millisecond
	names := make(map[string]bool)
	for _, peer := range serving.peers() {
		names[peer.VM] = true
	}
	if len(names) != 2 || !names["vm-4"] || !names["vm-5"] {
		t.Errorf("%v share the limits, want the larger VMs only", names)
	}
}

// TestDefaultSettingsLimitNobody guards against limits that act without the setting.
func TestDefaultSettingsLimitNobody(t *testing.T) {
	if got := quotaSettings(settings.DefaultFrontend()); got.Window != 0 {
		t.Errorf("%+v", got)
	}
}
