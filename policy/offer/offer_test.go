package offer

import (
	"fmt"
	"testing"
)

var (
	settings  = Settings{MinPerZone: 3, MinAdvertised: 2}
	settings2 = Settings{MinPerZone: 2, MinAdvertised: 1}
)

func fleet(zones, each int) []VM {
	var vms []VM
	for z := range zones {
		for i := range each {
			vms = append(vms, VM{Name: fmt.Sprintf("vm-%d-%d", z, i), Zone: fmt.Sprintf("z%d", z), Usable: true})
		}
	}
	return vms
}

func TestCallersAreShownAFewVMsOfTheirZone(t *testing.T) {
	offered := ForZone(fleet(3, 10), "z1", settings)
	if len(offered) != 3 {
		t.Fatalf("offered %d VMs", len(offered))
	}
	for _, vm := range offered {
		if vm.Zone != "z1" {
			t.Errorf("offered %s of %s", vm.Name, vm.Zone)
		}
	}
}

func TestALostVMIsReplacedAndTheOthersStay(t *testing.T) {
	vms := fleet(1, 10)
	before := Primaries(vms, "z0", settings)
	for i := range vms {
		if vms[i].Name == before[1].Name {
			vms[i].Usable = false
		}
	}
	after := Primaries(vms, "z0", settings)
	if len(after) != 3 || after[0] != before[0] || after[1] != before[2] {
		t.Errorf("before %v, after %v", before, after)
	}
}

// TestFrontRankGrowsWithTheLoad has two large VMs among small ones: the large
// ones carry an ordinary load alone; when one is lost, small ones join.
func TestFrontRankGrowsWithTheLoad(t *testing.T) {
	vms := fleet(1, 12)
	for i := range vms {
		vms[i].Capacity = 40
	}
	vms[3].Capacity, vms[7].Capacity = 260, 260
	vms[3].Rate, vms[7].Rate = 160, 160
	if front := Primaries(vms, "z0", settings2); len(front) != 2 || front[0].Capacity != 260 || front[1].Capacity != 260 {
		t.Errorf("two large VMs: %v", front)
	}
	vms[3].Usable = false
	if front := Primaries(vms, "z0", settings2); len(front) != 8 {
		t.Errorf("one large VM: %d VMs", len(front))
	}
	vms[7].Rate = 2000
	if front := Primaries(vms, "z0", settings2); len(front) != 11 {
		t.Errorf("more than all carry: %d VMs", len(front))
	}
}

func TestCapacityFollowsTheScarcerPart(t *testing.T) {
	if large, slowLink, smallCPU := Capacity(0.8, 200), Capacity(0.8, 10), Capacity(0.16, 1000); large <= slowLink || large <= smallCPU {
		t.Errorf("large %d, slow link %d, small processor %d", large, slowLink, smallCPU)
	}
}

func TestAZoneWithoutVMsIsServedByTheOthers(t *testing.T) {
	vms := fleet(3, 4)
	for i := range vms {
		vms[i].Usable = vms[i].Zone != "z0"
	}
	if offered := ForZone(vms, "z0", settings); len(offered) != 6 {
		t.Errorf("offered %v", offered)
	}
}

func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	vms := fleet(1, 6)
	before := Primaries(vms, "z0", settings)
	vms[0], vms[5] = vms[5], vms[0]
	after := Primaries(vms, "z0", settings)
	for i := range before {
		if before[i] != after[i] {
			t.Errorf("before %v, after %v", before, after)
		}
	}
}

func TestFirstOfEachZoneLeads(t *testing.T) {
	for _, c := range []struct{ zones, leaders int }{{4, 4}, {3, 3}, {2, 6}, {1, 3}} {
		if leaders := StoreWatchers(fleet(c.zones, 5), settings); len(leaders) != c.leaders {
			t.Errorf("%d zones: %d VMs watch the store, want %d", c.zones, len(leaders), c.leaders)
		}
	}
}

func TestAnotherVMLeadsWhenTheFirstIsLost(t *testing.T) {
	vms := fleet(3, 5)
	first := StoreWatchers(vms, settings)[1]
	for i := range vms {
		if vms[i].Name == first.Name {
			vms[i].Usable = false
		}
	}
	leaders := StoreWatchers(vms, settings)
	if len(leaders) != 3 || leaders[1].Zone != first.Zone || leaders[1].Name == first.Name {
		t.Errorf("after %s was lost: %v", first.Name, leaders)
	}
}
