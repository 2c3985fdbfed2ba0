package offer

import (
	"math/rand/v2"
	"testing"
)

func anyVM(VM) bool { return true }

// TestCarrierIsOfTheSameZoneFirst checks that requests are forwarded within the zone, and to
// all other zones when none of the zone may carry them.
func TestCarrierIsOfTheSameZoneFirst(t *testing.T) {
	vms, random := fleet(3, 4), rand.New(rand.NewPCG(1, 2))
	chosen := make(map[string]int)
	for range 600 {
		near, ok := Carrier(vms, "z1", twoPerZone, anyVM, random)
		if !ok || near.Zone != "z1" {
			t.Fatalf("carrier %+v, %v", near, ok)
		}
		far, ok := Carrier(vms, "z1", twoPerZone, func(vm VM) bool { return vm.Zone != "z1" }, random)
		if !ok || far.Zone == "z1" {
			t.Fatalf("carrier outside the zone %+v, %v", far, ok)
		}
		chosen[far.Name]++
	}
	if len(chosen) != 4 {
		t.Errorf("the requests of a zone went to %v, want all primary VMs of the others", chosen)
	}
	if _, ok := Carrier(vms, "z1", twoPerZone, func(VM) bool { return false }, random); ok {
		t.Error("a VM that may not carry was chosen")
	}
}

// TestOtherVMsCarryWhenNoPrimaryVMMay guards against requests that are refused since all
// primary VMs have just ended, although other VMs could serve them.
func TestOtherVMsCarryWhenNoPrimaryVMMay(t *testing.T) {
	vms, random := fleet(2, 4), rand.New(rand.NewPCG(1, 2))
	ended := make(map[string]bool)
	for _, vm := range ChoosePrimaryVMs(vms, twoPerZone).All() {
		ended[vm.Name] = true
	}
	carrier, ok := Carrier(vms, "z1", twoPerZone, func(vm VM) bool { return !ended[vm.Name] }, random)
	if !ok || ended[carrier.Name] || carrier.Zone != "z1" {
		t.Errorf("carrier %+v, %v; want another VM of the zone", carrier, ok)
	}
	for i := range vms {
		vms[i].Usable = ended[vms[i].Name]
	}
	if carrier, ok = Carrier(vms, "z1", twoPerZone, func(vm VM) bool { return !ended[vm.Name] }, random); ok {
		t.Errorf("carrier %+v is not usable", carrier)
	}
}

// TestCarrierWithLessLoadGetsMore guards against a VM at its limits that gets as many
// forwarded requests as one that is idle.
func TestCarrierWithLessLoadGetsMore(t *testing.T) {
	vms, random := fleet(1, 2), rand.New(rand.NewPCG(1, 2))
	for i := range vms {
		vms[i].Capacity = 100
	}
	vms[0].Rate = 90
	busy := 0
	for range 1000 {
		if vm, _ := Carrier(vms, "z0", twoPerZone, anyVM, random); vm.Name == vms[0].Name {
			busy++
		}
	}
	if busy < 150 || busy > 350 {
		t.Errorf("the busy VM got %d of 1000 requests, want about a quarter", busy)
	}
}

// TestCutOffVMsAreNotOffered checks that VMs which reach no target are not offered, unless
// none does.
func TestCutOffVMsAreNotOffered(t *testing.T) {
	vms := fleet(2, 3)
	reaching := WithoutCutOff(vms, func(vm VM) bool { return vm.Zone == "z0" })
	if got := ChoosePrimaryVMs(reaching, threePerZone).ForZone("z0"); len(got) != 3 || got[0].Zone != "z1" {
		t.Errorf("offered %v while the zone is cut off", got)
	}
	if got := ChoosePrimaryVMs(WithoutCutOff(vms, anyVM), threePerZone).ForZone("z0"); len(got) != 3 || got[0].Zone != "z0" {
		t.Errorf("offered %v while all VMs are cut off", got)
	}
}
