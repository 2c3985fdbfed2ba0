package peer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/policy/membership"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// TestMembersOfTheLargestFleetFitAMessage guards against instances that can't join, or exchange all that they know, as
// the members of a fleet of the size to design for, with as many dead ones as are kept, exceed a message.
func TestMembersOfTheLargestFleetFitAMessage(t *testing.T) {
	const fleet, nameBytes = 840, 63
	name := func(i int) string { return fmt.Sprintf("%s%05d", strings.Repeat("v", nameBytes-5), i) }
	var members []membership.Member
	for i := range fleet + membership.DefaultSettings().MaxMembers {
		m := membership.Member{
			VM: name(i), Instance: 1<<64 - 1, Incarnation: 1 << 40, Status: membership.Dead, Region: name(0), Zone: name(1),
			CallersAddress: "255.255.255.255:65535", PeersAddress: "255.255.255.255:65535", Uptime: 1000 * time.Hour,
		}
		if i < fleet {
			m.Status, m.Capacity, m.Generation, m.Refresh, m.RejectedCount = membership.Alive, 1<<31, 1<<40, 1<<40, 1<<31
			m.ConfigProblem = strings.Repeat("p", 256)
		}
		members = append(members, m)
	}
	message := &primroseloomv1.JoinResponse{Members: membersToWire(members), FromVm: name(0)}
	if size := proto.Size(message); size > maxMessageBytes {
		t.Errorf("%d members have %d bytes, want at most %d", len(members), size, maxMessageBytes)
	}
}
