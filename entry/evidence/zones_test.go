package evidence

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// byReceiver counts the datagrams by receiver.
type byReceiver struct {
	net.PacketConn
	sent map[string]int
}

func (b byReceiver) WriteTo(p []byte, to net.Addr) (int, error) {
	b.sent[to.String()]++
	return len(p), nil
}

const near, far = "10.0.0.2:7000", "10.0.1.2:7000"

// newZonedExchange returns an exchange with a primary VM of the own zone and one of another.
func newZonedExchange(now *time.Duration) (*Exchange, byReceiver) {
	packets := byReceiver{sent: make(map[string]int)}
	options := newPair().from.options
	options.Conn, options.Uptime = packets, func() time.Duration { return *now }
	options.MeanRunTime = func() time.Duration { return 300 * time.Millisecond }
	options.Peers = func() []Peer {
		return []Peer{
			{VM: "near", Address: netip.MustParseAddrPort(near), IsPrimary: true, SameZone: true},
			{VM: "far", Address: netip.MustParseAddrPort(far), IsPrimary: true},
		}
	}
	return New(options), packets
}

// TestSuccessesOfARunTimeShareADatagramToOtherZones guards against bytes between zones for
// each attempt that begins or succeeds.
func TestSuccessesOfARunTimeShareADatagramToOtherZones(t *testing.T) {
	now := time.Hour
	x, packets := newZonedExchange(&now)
	for range 20 { // one each 20 ms
		x.Publish(AttemptEvidence{Target: "t1", FailureNats: -1})
		x.send(false)
		now += 20 * time.Millisecond
	}
	if packets.sent[near] != 20 || packets.sent[far] > 5 {
		t.Errorf("20 successes within 400 ms: %d datagrams in the zone, %d to the other", packets.sent[near], packets.sent[far])
	}
}

// TestFailuresGoToOtherZonesAtOnce guards against a gray target, or a request that crashes
// targets, that other zones learn of late.
func TestFailuresGoToOtherZonesAtOnce(t *testing.T) {
	for name, change := range map[string]func(x *Exchange){
		"failure":  func(x *Exchange) { x.Publish(AttemptEvidence{Target: "t1", FailureNats: 3}) },
		"slowness": func(x *Exchange) { x.Publish(AttemptEvidence{Target: "t1", SlowNats: 1}) },
		"request":  func(x *Exchange) { x.RequestsChanged() },
		"notice":   func(x *Exchange) { x.NoticesChanged() },
		"path":     func(x *Exchange) { x.PathChanged() },
		"version":  func(x *Exchange) { x.AnnouncementChanged() },
	} {
		now := time.Hour
		x, packets := newZonedExchange(&now)
		x.send(true)
		change(x)
		x.send(false)
		if packets.sent[far] != 2 {
			t.Errorf("%s: %d datagrams to the other zone, want the heartbeat and one at once", name, packets.sent[far])
		}
	}
}

// TestFailuresInQuickSuccessionShareDatagramsToOtherZones guards against the load of a day on
// which many targets fail: each batch of outcomes holds a failure, and each went to all primary
// VMs of all zones.
func TestFailuresInQuickSuccessionShareDatagramsToOtherZones(t *testing.T) {
	now := time.Hour
	x, packets := newZonedExchange(&now)
	const failures, gap = 100, 20 * time.Millisecond
	for range failures {
		x.Publish(AttemptEvidence{Target: "t1", FailureNats: 3})
		x.send(false)
		now += gap
	}
	length := failures * gap
	most := int(length/maxFarFailureDelay) + failures*sendsPerOutcome/maxOutcomesPerDatagram + 1
	if packets.sent[near] != failures || packets.sent[far] > most {
		t.Errorf("%d failures in %v: %d datagrams in the zone, %d to the other, want at most %d", failures, length, packets.sent[near], packets.sent[far], most)
	}
	if packets.sent[far] < int(length/maxFarFailureDelay) {
		t.Errorf("%d datagrams to the other zone: failures arrive more than %v late", packets.sent[far], maxFarFailureDelay)
	}
}

// TestOtherZonesGetEachOutcomeTwice guards against outcomes that are lost for other zones
// since they went to the own zone often enough.
func TestOtherZonesGetEachOutcomeTwice(t *testing.T) {
	p := newPair()
	p.from.options.MeanRunTime = func() time.Duration { return time.Second }
	p.from.options.Requests = func(bool) []quarantine.Evidence { return nil }
	p.from.options.Peers = func() []Peer {
		return []Peer{{VM: "vm-2", Address: netip.MustParseAddrPort(far), IsPrimary: true}}
	}
	p.from.send(true)
	for range 5 {
		p.from.Publish(AttemptEvidence{Target: "t1", FailureNats: -1})
		p.from.send(false)
	}
	p.from.send(true)
	p.from.send(true)
	if len(p.packets.sent) != 3 {
		t.Fatalf("%d datagrams", len(p.packets.sent))
	}
	p.to.HandleDatagram(p.packets.sent[2]) // the first of the two was lost
	if len(p.got.outcomes) != 5 {
		t.Errorf("%d outcomes arrived, want 5", len(p.got.outcomes))
	}
}
