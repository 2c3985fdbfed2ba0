package subset

import (
	"fmt"
	"testing"
)

func fleet(count, zones int) []VM {
	vms := make([]VM, 0, count)
	for i := range count {
		vms = append(vms, VM{Name: fmt.Sprintf("vm%03d", i), Zone: fmt.Sprintf("zone%d", i%zones)})
	}
	return vms
}

func TestChooseSpreadsOverZones(t *testing.T) {
	zones := make(map[string]bool)
	for _, vm := range Choose("booking", fleet(36, 3), 3) {
		zones[vm.Zone] = true
	}
	if len(zones) != 3 {
		t.Errorf("three VMs stand in %d zones, want 3", len(zones))
	}
}

func TestChooseTakesAllWhenFewerThanAsked(t *testing.T) {
	if got := len(Choose("booking", fleet(2, 2), 5)); got != 2 {
		t.Errorf("chose %d VMs, want 2", got)
	}
}
