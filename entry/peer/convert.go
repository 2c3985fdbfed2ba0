package peer

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/membership"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// toWire converts a statement about a member to its wire form. The statuses have
// the same numbers in both forms.
func toWire(m membership.Member) *primroseloomv1.Member {
	return &primroseloomv1.Member{
		Vm:             m.VM,
		Instance:       m.Instance,
		Incarnation:    m.Incarnation,
		Status:         primroseloomv1.MemberStatus(m.Status),
		Region:         m.Region,
		Zone:           m.Zone,
		CallersAddress: m.CallersAddress,
		PeersAddress:   m.PeersAddress,
		Generation:     m.Generation,
		UptimeMs:       uint64(m.Uptime.Milliseconds()),
		ConfigProblem:  m.ConfigProblem,
		Refresh:        m.Refresh,
		RejectedCount:  m.RejectedCount,
		Capacity:       m.Capacity,
	}
}

// maxUptimeMs bounds the uptime received from a peer.
const maxUptimeMs = uint64(100 * 365 * 24 * time.Hour / time.Millisecond)

func fromWire(m *primroseloomv1.Member) membership.Member {
	return membership.Member{
		VM:             m.GetVm(),
		Instance:       m.GetInstance(),
		Incarnation:    m.GetIncarnation(),
		Status:         membership.Status(min(uint32(m.GetStatus()), 255)),
		Region:         m.GetRegion(),
		Zone:           m.GetZone(),
		CallersAddress: m.GetCallersAddress(),
		PeersAddress:   m.GetPeersAddress(),
		Generation:     m.GetGeneration(),
		Uptime:         time.Duration(min(m.GetUptimeMs(), maxUptimeMs)) * time.Millisecond,
		ConfigProblem:  m.GetConfigProblem(),
		Refresh:        m.GetRefresh(),
		RejectedCount:  m.GetRejectedCount(),
		Capacity:       m.GetCapacity(),
	}
}

func membersToWire(members []membership.Member) []*primroseloomv1.Member {
	wire := make([]*primroseloomv1.Member, 0, len(members))
	for _, m := range members {
		wire = append(wire, toWire(m))
	}
	return wire
}

func membersFromWire(wire []*primroseloomv1.Member) []membership.Member {
	members := make([]membership.Member, 0, len(wire))
	for _, m := range wire {
		members = append(members, fromWire(m))
	}
	return members
}
