package evidence

import (
	"fmt"
	"strings"
	"testing"
)

// maxUDPBytes is the most that a datagram holds.
const maxUDPBytes = 65_507

// TestManyTargetsInUseDoNotSilenceAVM guards against a datagram that grows with the targets in use and the services
// that are not reached: above the size of a datagram it is not sent, and other VMs take its sender for gone.
func TestManyTargetsInUseDoNotSilenceAVM(t *testing.T) {
	for _, c := range []struct {
		targets, services, nameBytes int
		// isWhole is true when all fit.
		isWhole bool
	}{{600, 260, 10, true}, {9300, 260, 10, false}, {9300, 260, 256, false}} {
		p := newPair()
		name := func(kind string, i int) string {
			return fmt.Sprintf("%s%0*d", strings.Repeat(kind, max(c.nameBytes-8, 1)), 8, i)
		}
		uses, services := make(map[string]int), []string{}
		for i := range c.targets {
			uses[name("t", i)] = 1
		}
		for i := range c.services {
			services = append(services, name("s", i))
		}
		busiest := name("t", c.targets/2)
		uses[busiest] = 9
		p.from.options.AttemptsInProgress = func() map[string]int { return uses }
		p.from.options.CutOffServices = func() []string { return services }
		p.from.send(true)
		if sent := len(p.packets.sent[0]); sent > maxUDPBytes {
			t.Errorf("%d targets, names of %d bytes: a datagram of %d bytes", c.targets, c.nameBytes, sent)
		}
		p.to.HandleDatagram(p.packets.sent[0])
		got := p.got.uses["vm-1"]
		if len(got) == 0 || got[busiest] != 9 || (len(got) == len(uses)) != c.isWhole {
			t.Errorf("%d targets, names of %d bytes: %d arrived, the busiest with %d attempts", c.targets, c.nameBytes, len(got), got[busiest])
		}
		if !p.to.IsCutOff("vm-1", services[0]) || p.to.IsCutOff("vm-1", services[len(services)-1]) != (c.nameBytes < 256) {
			t.Errorf("names of %d bytes: the services that are not reached did not arrive", c.nameBytes)
		}
	}
}
