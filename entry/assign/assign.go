// Package assign computes which VMs serve a service, from the members and the
// configuration in force.
//
// Each region has its own set of VMs for each service; a caller uses the set of
// the region of the VM whose directory it queries.
package assign

import (
	"slices"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/policy/subset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Demand returns the figures of a service that determine the size of its set.
func Demand(service *document.Service) subset.Demand {
	return subset.Demand{Targets: len(service.Targets), Slots: service.Slots, MaxConnections: service.MaxConnections}
}

// RegionSet returns a service's set, chosen among the members of a region that
// accept returns true for.
func RegionSet(service *document.Service, members []*primroseloomv1.Member, region string, accept func(*primroseloomv1.Member) bool) subset.Set {
	var candidates []subset.VM
	for _, member := range members {
		if member.Region == region && accept(member) {
			candidates = append(candidates, subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region})
		}
	}
	size := subset.DefaultLimits().Size(Demand(service), len(Regions(members)))
	return subset.NewSet(service.Name, candidates, size)
}

// ServingVMs returns the names of the VMs in the service's sets of all regions:
// those that the directory advertises now, and those that it would advertise if
// no member were suspected or leaving, because callers may still use them from
// an older directory response.
func ServingVMs(service *document.Service, members []*primroseloomv1.Member) []string {
	var names []string
	for _, region := range Regions(members) {
		for _, accept := range []func(*primroseloomv1.Member) bool{Advertised, anyMember} {
			for _, vm := range RegionSet(service, members, region, accept).VMs() {
				names = append(names, vm.Name)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Advertised reports whether the directory may advertise a member.
func Advertised(member *primroseloomv1.Member) bool {
	return member.Status == primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE
}

func anyMember(*primroseloomv1.Member) bool { return true }

// Regions returns the regions that have members, sorted by name.
func Regions(members []*primroseloomv1.Member) []string {
	var regions []string
	for _, member := range members {
		regions = append(regions, member.Region)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}
