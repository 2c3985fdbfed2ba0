package offer

import (
	"fmt"
	"testing"
)

var settings = Settings{PerZone: 3, Least: 2}

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
	offered := For(fleet(3, 10), "z1", settings)
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
	before := Front(vms, "z0", settings)
	for i := range vms {
		if vms[i].Name == before[1].Name {
			vms[i].Usable = false
		}
	}
	after := Front(vms, "z0", settings)
	if len(after) != 3 || after[0] != before[0] || after[1] != before[2] {
		t.Errorf("before %v, after %v", before, after)
	}
}

func TestAZoneWithoutVMsIsServedByTheOthers(t *testing.T) {
	vms := fleet(3, 4)
	for i := range vms {
		vms[i].Usable = vms[i].Zone != "z0"
	}
	if offered := For(vms, "z0", settings); len(offered) != 6 {
		t.Errorf("offered %v", offered)
	}
}

func TestOrderOfTheListDoesNotMatter(t *testing.T) {
	vms := fleet(1, 6)
	before := Front(vms, "z0", settings)
	vms[0], vms[5] = vms[5], vms[0]
	after := Front(vms, "z0", settings)
	for i := range before {
		if before[i] != after[i] {
			t.Errorf("before %v, after %v", before, after)
		}
	}
}
