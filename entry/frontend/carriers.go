package frontend

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// carriers draws the VMs that requests are forwarded to.
type carriers struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newCarriers(seed uint64) carriers {
	return carriers{random: rand.New(rand.NewPCG(seed, 0))}
}

// Carrier returns a VM that says that it reaches a service, other than those tried before.
// VMs that have lately got responses of the service come first: others may be cut off, too,
// without knowing it yet.
func (f *fleet) Carrier(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool) {
	v, self := f.view.Load(), f.members.Self()
	mayCarry := func(vm offer.VM) bool {
		return vm.Name != self.GetVm() && !slices.Contains(tried, vm.Name) && !f.peerReports.IsCutOff(vm.Name, service)
	}
	serves := func(vm offer.VM) bool { return mayCarry(vm) && f.servedBy(vm.Name, service) }
	carrier, ok := f.firstCarrier(v.vms, serves, mayCarry)
	if !ok {
		return "", nil, false
	}
	client, ok = f.members.Client(carrier.Name)
	return carrier.Name, client, ok
}

// firstCarrier returns a VM that meets the first of the conditions that any VM meets.
func (f *fleet) firstCarrier(vms []offer.VM, conditions ...func(offer.VM) bool) (offer.VM, bool) {
	f.carriers.mu.Lock()
	defer f.carriers.mu.Unlock()
	for _, condition := range conditions {
		if carrier, ok := offer.Carrier(vms, f.members.Self().GetZone(), f.settings, condition, f.carriers.random); ok {
			return carrier, true
		}
	}
	return offer.VM{}, false
}
