package frontend

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	// unreachableTime is how long a VM that could not be connected to is the last choice as a
	// carrier; about the time in which the membership notices that it has ended.
	unreachableTime = 2 * time.Second
	// carrierSilence is the time without a datagram from which a VM whose heartbeats are
	// expected is the last choice as a carrier; two heartbeats fit into it.
	carrierSilence = 450 * time.Millisecond
)

// carriers remembers which VMs could lately not be connected to.
type carriers struct {
	mu     sync.Mutex
	random *rand.Rand
	// unreachableUntil holds, by VM, until when it is the last choice.
	unreachableUntil map[string]time.Duration
}

func newCarriers(seed uint64) carriers {
	return carriers{random: rand.New(rand.NewPCG(seed, 0)), unreachableUntil: make(map[string]time.Duration)}
}

// sample draws the VMs that one caller is shown.
func (c *carriers) sample(vms []offer.VM) []offer.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return offer.Sample(vms, c.random)
}

// CarrierUnreachable records that no request could be sent to a VM.
func (f *fleet) CarrierUnreachable(vm string) {
	now := f.now()
	f.carriers.mu.Lock()
	defer f.carriers.mu.Unlock()
	for other, until := range f.carriers.unreachableUntil {
		if now >= until {
			delete(f.carriers.unreachableUntil, other)
		}
	}
	f.carriers.unreachableUntil[vm] = now + unreachableTime
}

// Carrier returns a VM that says that it reaches a service, other than those tried before.
// VMs that have lately got responses of the service come first: others may be cut off, too,
// without knowing it yet. VMs that seem to have ended are the last choice.
func (f *fleet) Carrier(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool) {
	v, self := f.view.Load(), f.members.Self()
	mayCarry := func(vm offer.VM) bool {
		return vm.Name != self.GetVm() && !slices.Contains(tried, vm.Name) && !f.peerReports.IsCutOff(vm.Name, service)
	}
	lives := func(vm offer.VM) bool { return mayCarry(vm) && !f.mayHaveEnded(vm.Name, v) }
	current := func(vm offer.VM) bool { return lives(vm) && !f.peerReports.KeysNotCurrent(vm.Name) }
	serves := func(vm offer.VM) bool { return current(vm) && f.servedBy(vm.Name, service) }
	carrier, ok := f.firstCarrier(v.vms, serves, current, lives, mayCarry)
	if !ok {
		return "", nil, false
	}
	client, ok = f.members.Client(carrier.Name)
	return carrier.Name, client, ok
}

// Primary returns a primary VM of this VM's zone that serves a service, other than those tried
// before; ok is false when there is none or this VM is a primary VM or may be cut off. Only a VM whose
// datagrams arrive is returned, since this VM can serve the request, too.
func (f *fleet) Primary(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool) {
	v, self := f.view.Load(), f.members.Self()
	if v.isPrimary || v.mayBeCutOff {
		return "", nil, false // one that may be cut off has to find out
	}
	maySend := func(vm offer.VM) bool {
		if vm.Zone != self.GetZone() || !v.primaries[vm.Name] || vm.Name == self.GetVm() || slices.Contains(tried, vm.Name) {
			return false
		}
		age, ready, heard := f.peerReports.LastReceived(vm.Name)
		return heard && ready && age < carrierSilence && !f.peerReports.KeysNotCurrent(vm.Name) && f.now() >= f.carriers.unreachableUntil[vm.Name] && !f.peerReports.IsCutOff(vm.Name, service)
	}
	primary, ok := f.firstCarrier(v.vms, maySend)
	if !ok {
		return "", nil, false
	}
	client, ok = f.members.Client(primary.Name)
	return primary.Name, client, ok
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

// mayHaveEnded reports whether a VM could lately not be connected to, or is silent although
// it sends heartbeats to this VM and others are heard; the lock of the carriers is held.
func (f *fleet) mayHaveEnded(vm string, v *view) bool {
	if f.now() < f.carriers.unreachableUntil[vm] {
		return true
	}
	if !v.isCutOff || !v.primaries[vm] {
		return false // no heartbeats of the VM may be due here
	}
	age, _, heard := f.peerReports.LastReceived(vm)
	return heard && age >= carrierSilence && f.hearsPrimaries(v)
}

// hearsPrimaries reports whether datagrams of any primary VM arrive. Otherwise the silence of one
// of them says nothing of it: this VM was paused, or datagrams to it are lost.
func (f *fleet) hearsPrimaries(v *view) bool {
	for vm := range v.primaries {
		if age, _, heard := f.peerReports.LastReceived(vm); heard && age < carrierSilence {
			return true
		}
	}
	return false
}
