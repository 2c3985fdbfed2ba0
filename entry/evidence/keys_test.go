package evidence

import (
	"testing"
	"time"
)

// TestDatagramsTellWhoCannotServeKeys guards against requests with keys that are sent to a VM
// which refuses them, and against a VM that is left out for good since it fell silent.
func TestDatagramsTellWhoCannotServeKeys(t *testing.T) {
	p := newPair()
	isNotCurrent := true
	p.from.options.KeysNotCurrent = func() bool { return isNotCurrent }
	deliver := func() {
		p.from.send(true)
		p.to.HandleDatagram(p.packets.sent[len(p.packets.sent)-1])
	}
	deliver()
	if !p.to.KeysNotCurrent("vm-1") || !p.to.ReadsStore("vm-1") || p.to.KeysNotCurrent("vm-9") || p.to.ReadsStore("vm-9") {
		t.Errorf("not current %v, reads the store %v", p.to.KeysNotCurrent("vm-1"), p.to.ReadsStore("vm-1"))
	}
	isNotCurrent = false
	deliver()
	if p.to.KeysNotCurrent("vm-1") {
		t.Error("still not current after it said otherwise")
	}
	p.to.HandleDatagram(p.packets.sent[0]) // arrives out of order
	if p.to.KeysNotCurrent("vm-1") {
		t.Error("an older datagram counts")
	}
	isNotCurrent = true
	deliver()
	p.now += silenceTimeout
	if p.to.KeysNotCurrent("vm-1") || p.to.ReadsStore("vm-1") {
		t.Error("the word of a silent VM counts")
	}
}

// TestOlderBuildsTellNothingOfKeys guards against older builds that are left out.
func TestOlderBuildsTellNothingOfKeys(t *testing.T) {
	p := newPair()
	p.now += time.Second
	p.to.HandleDatagram(datagramOfLanding28)
	if p.to.KeysNotCurrent("vm-9") || !p.to.ReadsStore("vm-9") {
		t.Error("an older build counts as not current")
	}
}
