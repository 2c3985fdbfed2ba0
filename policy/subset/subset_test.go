package subset

import (
	"fmt"
	"slices"
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
	for customer := range 200 {
		zones := make(map[string]bool)
		for _, vm := range NewSet("booking", fleet(36, 3), 10).Choose(fmt.Sprint(customer), 3) {
			zones[vm.Zone] = true
		}
		if len(zones) != 3 {
			t.Errorf("customer %d has VMs in %d zones, want 3", customer, len(zones))
		}
	}
}

func TestChooseReturnsAllWhenFewerThanRequested(t *testing.T) {
	if got := len(NewSet("booking", fleet(2, 2), 6).Choose("tallinn", 5)); got != 2 {
		t.Errorf("chose %d VMs, want 2", got)
	}
}

func TestSetDoesNotDependOnOrder(t *testing.T) {
	vms := fleet(36, 3)
	forward := NewSet("berth", vms, 8).VMs()
	slices.Reverse(vms)
	if backward := NewSet("berth", vms, 8).VMs(); !slices.Equal(forward, backward) {
		t.Errorf("set %v changes to %v with the order of the candidates", forward, backward)
	}
}

func TestConnectionsStayWithinLimit(t *testing.T) {
	limits := DefaultLimits()
	for _, d := range []Demand{{20, 3, 330}, {6, 3, 330}, {23, 2, 330}, {36, 3, 330}, {9300, 3, 330}, {500, 40, 330}, {1, 3, 1}} {
		for _, regions := range []int{1, 3} {
			size := limits.Size(d, regions)
			connections := regions * size * (d.Slots + limits.SpareConnections)
			if connections > d.MaxConnections && size > 1 {
				t.Errorf("%+v in %d regions: set of %d opens %d connections to a target", d, regions, size, connections)
			}
		}
	}
}

// moved returns the fraction of (customer, VM) pairs that change when some VMs are
// removed, and the fraction that has to change since its VM is removed.
func moved(service string, vms []VM, size, customers int, removed func(VM) bool) (changed, required float64) {
	before := NewSet(service, vms, size)
	rest := slices.DeleteFunc(slices.Clone(vms), removed)
	after := NewSet(service, rest, size)
	const count = 3
	for customer := range customers {
		old := before.Choose(fmt.Sprint(customer), count)
		fresh := after.Choose(fmt.Sprint(customer), count)
		for _, vm := range old {
			if !slices.Contains(fresh, vm) {
				changed++
			}
			if removed(vm) {
				required++
			}
		}
	}
	pairs := float64(customers * count)
	return changed / pairs, required / pairs
}

func TestRemovedVMMovesLittleMoreThanItsOwnCustomers(t *testing.T) {
	vms := fleet(36, 3)
	var changed, required float64
	for _, removed := range vms {
		c, r := moved("booking", vms, 10, 300, func(vm VM) bool { return vm == removed })
		changed, required = changed+c, required+r
	}
	if changed > 1.5*required {
		t.Errorf("removed VMs move %.4f of the pairs, %.4f have to move", changed, required)
	}
}

// BenchmarkMoved measures the fraction of (customer, VM) pairs that change when one
// VM is removed.
func BenchmarkMoved(b *testing.B) {
	for _, c := range []struct{ vms, zones, size int }{{36, 3, 10}, {36, 3, 6}, {280, 4, 8}, {840, 10, 15}} {
		b.Run(fmt.Sprintf("vms=%d/size=%d", c.vms, c.size), func(b *testing.B) {
			vms := fleet(c.vms, c.zones)
			var changed, required, leavers float64
			for i := range b.N {
				service := fmt.Sprintf("service%d", i)
				for _, removed := range NewSet(service, vms, c.size).VMs() {
					moves, own := moved(service, vms, c.size, 1000, func(vm VM) bool { return vm == removed })
					changed, required, leavers = changed+moves, required+own, leavers+1
				}
			}
			b.ReportMetric(100*changed/leavers, "moved-%")
			b.ReportMetric(100*required/leavers, "least-%")
		})
	}
}

// BenchmarkMovedByZone measures the fraction of pairs that change when a zone is
// removed.
func BenchmarkMovedByZone(b *testing.B) {
	vms := fleet(36, 3)
	var changed, required float64
	for i := range b.N {
		moves, own := moved(fmt.Sprintf("service%d", i), vms, 10, 1000, func(vm VM) bool { return vm.Zone == "zone1" })
		changed, required = changed+moves, required+own
	}
	b.ReportMetric(100*changed/float64(b.N), "moved-%")
	b.ReportMetric(100*required/float64(b.N), "least-%")
}

// BenchmarkNewSet measures the time to fill a service's set.
func BenchmarkNewSet(b *testing.B) {
	vms := fleet(840, 10)
	for b.Loop() {
		NewSet("booking", vms, 15)
	}
}

// BenchmarkConnections reports the connections per target and per VM at the current
// and at the design size of the fleet.
func BenchmarkConnections(b *testing.B) {
	for _, c := range []struct {
		name                                   string
		vms, zones, regions, services, targets int
	}{{"today", 36, 3, 1, 1, 20}, {"design", 840, 10, 3, 260, 36}} {
		b.Run(c.name, func(b *testing.B) {
			limits := DefaultLimits()
			d := Demand{Targets: c.targets, Slots: 3, MaxConnections: 330}
			size := limits.Size(d, c.regions)
			perVM := make(map[string]int)
			for range b.N {
				clear(perVM)
				for service := range c.services {
					for region := range c.regions {
						candidates := fleet(c.vms, c.zones)[region*c.vms/c.regions : (region+1)*c.vms/c.regions]
						for _, vm := range NewSet(fmt.Sprint(service), candidates, size).VMs() {
							perVM[vm.Name]++
						}
					}
				}
			}
			maximum, total := 0, 0
			for _, services := range perVM {
				maximum, total = max(maximum, services), total+services
			}
			b.ReportMetric(float64(size*c.regions*(d.Slots+limits.SpareConnections)), "connections/target")
			b.ReportMetric(float64(total)/float64(c.vms), "services/vm")
			b.ReportMetric(float64(maximum), "most-services/vm")
			b.ReportMetric(float64(maximum*c.targets*(d.Slots+limits.SpareConnections)), "most-connections/vm")
		})
	}
}

// BenchmarkSharedFate measures the percentage of customers that share all VMs, and
// at least one VM, with a given customer.
func BenchmarkSharedFate(b *testing.B) {
	for _, size := range []int{6, 10, 18} {
		b.Run(fmt.Sprintf("size=%d", size), func(b *testing.B) {
			set := NewSet("booking", fleet(36, 3), size)
			var all, some, pairs float64
			for range b.N {
				first := set.Choose("first", 3)
				for customer := range 10_000 {
					shared := 0
					for _, vm := range set.Choose(fmt.Sprint(customer), 3) {
						if slices.Contains(first, vm) {
							shared++
						}
					}
					pairs++
					if shared == 3 {
						all++
					}
					if shared > 0 {
						some++
					}
				}
			}
			b.ReportMetric(100*all/pairs, "share-all-%")
			b.ReportMetric(100*some/pairs, "share-some-%")
		})
	}
}
