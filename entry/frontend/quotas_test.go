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

// TestDefaultSettingsLimitNobody guards against limits that act without the setting.
func TestDefaultSettingsLimitNobody(t *testing.T) {
	if got := quotaSettings(settings.DefaultFrontend()); got.Window != 0 {
		t.Errorf("%+v", got)
	}
}
