package evidence

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// datagramOfLanding28 is a heartbeat as the build of commit d0d77a1 writes it: fleet "f", VM
// "vm-9", instance 9, sequence 1, ready, one outcome of t1 (3 nats for failing), one attempt
// in progress, revision 42, rate 10, cut off from "s".
var datagramOfLanding28 = []byte{
	0x0a, 0x01, 'f', 0x12, 0x04, 'v', 'm', '-', '9', 0x18, 0x09, 0x20, 0x01, 0x28, 0x01,
	0x32, 0x0b, 0x08, 0x01, 0x12, 0x02, 't', '1', 0x1d, 0x00, 0x00, 0x40, 0x40,
	0x3a, 0x06, 0x0a, 0x02, 't', '1', 0x10, 0x01, 0x48, 0x2a, 0x50, 0x0a, 0x7a, 0x01, 's',
}

// TestDatagramsOfTheLandingBeforeAreTaken guards against a rolling upgrade in which the VMs of
// the two builds don't hear one another.
func TestDatagramsOfTheLandingBeforeAreTaken(t *testing.T) {
	p := newPair()
	p.to.HandleDatagram(datagramOfLanding28)
	if len(p.got.outcomes) != 1 || p.got.outcomes[0].FailureNats != 3 || p.got.uses["vm-9"]["t1"] != 1 {
		t.Errorf("outcomes %+v, uses %v", p.got.outcomes, p.got.uses)
	}
	if !p.to.IsCutOff("vm-9", "s") || !p.to.NeedsEvidence("vm-9") || p.to.Rate("vm-9") != 10 || p.got.digest != 0 {
		t.Errorf("cut off %v, rate %v, digest %d", p.to.IsCutOff("vm-9", "s"), p.to.Rate("vm-9"), p.got.digest)
	}
}

// TestDatagramsOfANewerBuildAreTaken guards against a build that loses all that a newer one
// tells, since it doesn't know one of its fields.
func TestDatagramsOfANewerBuildAreTaken(t *testing.T) {
	p := newPair()
	newer := protowire.AppendTag(append([]byte(nil), datagramOfLanding28...), 1000, protowire.BytesType)
	newer = protowire.AppendBytes(newer, []byte("a field of a later build"))
	p.to.HandleDatagram(newer)
	if len(p.got.outcomes) != 1 {
		t.Errorf("outcomes %+v", p.got.outcomes)
	}
}

// TestTodaysDatagramsKeepTheNumbersOfTheirFields guards against a field whose number or type
// changes, which older builds would take for something else.
func TestTodaysDatagramsKeepTheNumbersOfTheirFields(t *testing.T) {
	content, err := proto.Marshal(&primroseloomv1.EvidenceDatagram{
		Fleet: "f", Vm: "vm-9", Instance: 9, Sequence: 1, Ready: true, Revision: 42, Rate: 10, CutOffServices: []string{"s"},
		Outcomes: []*primroseloomv1.AttemptOutcome{{Number: 1, Target: "t1", FailureNats: 3}},
		Uses:     []*primroseloomv1.TargetUse{{Target: "t1", InProgress: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != string(datagramOfLanding28) {
		t.Errorf("%x, want %x", content, datagramOfLanding28)
	}
}

// FuzzHandleDatagram checks that no datagram ends the process, and that one that is refused
// changes nothing.
func FuzzHandleDatagram(f *testing.F) {
	f.Add(datagramOfLanding28)
	for i := range datagramOfLanding28 {
		f.Add(datagramOfLanding28[:i])
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		p := newPair()
		p.to.HandleDatagram(content)
		var message primroseloomv1.EvidenceDatagram
		if proto.Unmarshal(content, &message) != nil && len(p.got.outcomes)+len(p.got.uses) > 0 {
			t.Error("a datagram that can't be decoded was applied in part")
		}
	})
}
