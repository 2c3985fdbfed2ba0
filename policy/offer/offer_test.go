package offer

import (
	"fmt"
	"testing"
)

var (
	threePerZone = Settings{MinPerZone: 3, MinAdvertised: 2}
	twoPerZone   = Settings{MinPerZone: 2, MinAdvertised: 1}
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

func TestCallersGetAFewVMsOfTheirZone(t *testing.T) {
	advertised := ChoosePrimaryVMs(fleet(3, 10), threePerZone).ForZone("z1")
	if len(advertised) != 3 {
		t.Fatalf("advertised %d VMs, want 3", len(advertised))
	}
	for _, vm := range advertised {
		if vm.Zone != "z1" {
			t.Errorf("advertised %s of zone %s, want only VMs of z1", vm.Name, vm.Zone)
		}
	}
}

func TestLostVMIsReplacedAndOthersStay(t *testing.T) {
	vms := fleet(1, 10)
	before := Primaries(vms, "z0", threePerZone)
	for i := range vms {
		if vms[i].Name == before[1].Name {
			vms[i].Usable = false
		}
	}
	after := Primaries(vms, "z0", threePerZone)
	if len(after) != 3 || after[0] != before[0] || after[1] != before[2] {
		t.Errorf("before %v, after %v", before, after)
	}
}

// TestPrimariesGrowWithTheLoad has two large VMs among small ones: the large
// ones serve the normal load alone; when one is lost, small ones are added.
func TestPrimariesGrowWithTheLoad(t *testing.T) {
	vms := fleet(1, 12)
	for i := range vms {
		vms[i].Capacity = 40
	}
	vms[3].Capacity, vms[7].Capacity = 260, 260
	vms[3].Rate, vms[7].Rate = 160, 160
	if primaries := Primaries(vms, "z0", twoPerZone); len(primaries) != 2 || primaries[0].Capacity != 260 || primaries[1].Capacity != 260 {
		t.Errorf("with two large VMs: primary VMs %v, want just these two", primaries)
	}
	vms[3].Usable = false
	// An answer shows two VMs, so the large one gets half of the 320 requests a second.
	if primaries := Primaries(vms, "z0", twoPerZone); len(primaries) != 5 || combinedCapacity(primaries) < 320 {
		t.Errorf("with one large VM: %d primary VMs that can serve %.0f, want 5 that can serve 320", len(primaries), combinedCapacity(primaries))
	}
	vms[7].Rate = 2000
	if primaries := Primaries(vms, "z0", twoPerZone); len(primaries) != 11 {
		t.Errorf("with more load than all VMs can serve: %d primary VMs, want 11", len(primaries))
	}
}

func TestCapacityFollowsTheScarcerResource(t *testing.T) {
	if large, slowLink, smallCPU := Capacity(0.8, 200), Capacity(0.8, 10), Capacity(0.16, 1000); large <= slowLink || large <= smallCPU {
		t.Errorf("capacity with large CPU and fast link %d, with slow link %d, with small CPU %d", large, slowLink, smallCPU)
	}
}

func TestZoneWithoutUsableVMsGetsOtherZones(t *testing.T) {
	vms := fleet(3, 4)
	for i := range vms {
		vms[i].Usable = vms[i].Zone != "z0"
	}
	if advertised := ChoosePrimaryVMs(vms, threePerZone).ForZone("z0"); len(advertised) != 6 {
		t.Errorf("advertised %v, want the 6 primary VMs of the other zones", advertised)
	}
}

func TestPrimariesDoNotDependOnInputOrder(t *testing.T) {
	vms := fleet(1, 6)
	before := Primaries(vms, "z0", threePerZone)
	vms[0], vms[5] = vms[5], vms[0]
	after := Primaries(vms, "z0", threePerZone)
	for i := range before {
		if before[i] != after[i] {
			t.Errorf("before %v, after %v", before, after)
		}
	}
}

func TestFirstPrimaryOfEachZoneWatchesTheStore(t *testing.T) {
	for _, c := range []struct{ zones, watchers int }{{4, 4}, {3, 3}, {2, 6}, {1, 3}} {
		if watchers := ChoosePrimaryVMs(fleet(c.zones, 5), threePerZone).StoreWatchers(); len(watchers) != c.watchers {
			t.Errorf("%d zones: %d VMs watch the store, want %d", c.zones, len(watchers), c.watchers)
		}
	}
}

func TestAnotherVMWatchesTheStoreWhenTheFirstIsLost(t *testing.T) {
	vms := fleet(3, 5)
	first := ChoosePrimaryVMs(vms, threePerZone).StoreWatchers()[1]
	for i := range vms {
		if vms[i].Name == first.Name {
			vms[i].Usable = false
		}
	}
	watchers := ChoosePrimaryVMs(vms, threePerZone).StoreWatchers()
	if len(watchers) != 3 || watchers[1].Zone != first.Zone || watchers[1].Name == first.Name {
		t.Errorf("after %s was lost: %v", first.Name, watchers)
	}
}
