package evidence

import (
	"slices"
	"testing"

	"github.com/primroseloom/primroseloom/policy/quota"
)

// TestAdmissionsArrive checks the way of counts in a datagram, and that one that arrives late
// is not applied: its lower count would be taken for one that began anew.
func TestAdmissionsArrive(t *testing.T) {
	p := newPair()
	var got [][]quota.Report
	count := uint64(0)
	p.from.options.Admissions = func(bool) []quota.Report {
		count++
		return []quota.Report{{Customer: 1 << 63, Admitted: count}}
	}
	p.to.options.AdmissionsReceived = func(vm string, instance uint64, reports []quota.Report) {
		if vm != "vm-1" || instance != 1 {
			t.Errorf("from %s, instance %d", vm, instance)
		}
		got = append(got, reports)
	}
	p.from.send(true)
	p.from.send(true)
	p.to.HandleDatagram(p.packets.sent[1])
	p.to.HandleDatagram(p.packets.sent[0])
	if want := []quota.Report{{Customer: 1 << 63, Admitted: 2}}; len(got) != 1 || !slices.Equal(got[0], want) {
		t.Errorf("got %v", got)
	}
}

// TestAdmissionsGoToAllZones guards against counts that are taken as told although only the
// VMs of one zone got them.
func TestAdmissionsGoToAllZones(t *testing.T) {
	p := newPair()
	asked := 0
	p.from.options.Admissions = func(bool) []quota.Report { asked++; return nil }
	p.from.nextDatagram(true, false, false)
	if asked != 0 {
		t.Error("asked for a datagram to the own zone")
	}
	p.from.nextDatagram(true, false, true)
	if asked != 1 {
		t.Errorf("asked %d times for a datagram to all zones", asked)
	}
}
