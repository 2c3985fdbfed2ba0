package evidence

import (
	"fmt"
	"testing"
	"time"
)

// TestSendersThatFellSilentAreForgotten guards against memory that grows with the names in datagrams.
func TestSendersThatFellSilentAreForgotten(t *testing.T) {
	p := newPair()
	for i := range 5000 {
		p.from.options.VM = fmt.Sprintf("vm-%d", i+10)
		p.now += time.Millisecond
		p.from.send(true)
		p.to.HandleDatagram(p.packets.sent[len(p.packets.sent)-1])
	}
	if _, _, ok := p.to.LastReceived("vm-5009"); !ok || len(p.to.senders) > maxSenders {
		t.Errorf("%d senders are kept, want at most %d, with the latest: %v", len(p.to.senders), maxSenders, ok)
	}
	p.to.expireSilentSenders()
	if len(p.got.uses["vm-10"]) > 0 {
		t.Error("a VM that was forgotten has attempts in progress")
	}
	for range forgetTime/heartbeatInterval + 1 {
		p.now += heartbeatInterval
		p.to.expireSilentSenders()
	}
	if len(p.to.senders) > 0 {
		t.Errorf("%d senders are kept %v after their last datagram", len(p.to.senders), forgetTime)
	}
	p.from.options.VM = "vm-1"
	p.from.send(true)
	p.to.HandleDatagram(p.packets.sent[len(p.packets.sent)-1])
	if age, _, ok := p.to.LastReceived("vm-1"); !ok || age > time.Second {
		t.Error("a new sender is not known")
	}
}
