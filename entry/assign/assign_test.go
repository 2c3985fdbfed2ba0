package assign

import (
	"fmt"
	"slices"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

func members(count int) []*primroseloomv1.Member {
	var all []*primroseloomv1.Member
	for i := range count {
		all = append(all, &primroseloomv1.Member{
			Vm: fmt.Sprintf("vm%02d", i), Zone: fmt.Sprintf("zone%d", i%3), Region: "region",
			Status: primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE,
		})
	}
	return all
}

func TestSuspectedMemberIsReplacedButStillReceivesNews(t *testing.T) {
	service := &document.Service{Name: "booking", Slots: 3, MaxConnections: 330, Targets: make([]document.Target, 20)}
	all := members(36)
	suspect := RegionSet(service, all, "region", Advertised).VMs()[0].Name
	for _, member := range all {
		if member.Vm == suspect {
			member.Status = primroseloomv1.MemberStatus_MEMBER_STATUS_SUSPECT
		}
	}
	set := RegionSet(service, all, "region", Advertised).VMs()
	for _, vm := range set {
		if vm.Name == suspect {
			t.Errorf("suspected VM %s stays in the set", suspect)
		}
	}
	serving := ServingVMs(service, all)
	if !slices.Contains(serving, suspect) || len(serving) < len(set)+1 {
		t.Errorf("VMs that receive the service's news are %v; want the set and %s", serving, suspect)
	}
}
