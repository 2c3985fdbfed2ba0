package frontend

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Times of the view of the fleet.
const (
	// viewInterval is the time between two looks at the fleet.
	viewInterval = 100 * time.Millisecond
	// silentAfter is the silence after which a VM that should be heard is not
	// offered to callers; several heartbeats fit into it.
	silentAfter = 700 * time.Millisecond
	// silentFor is how long a silent VM is left out unless it is heard again.
	silentFor = 3 * time.Second
	// leastOffered is the number of VMs below which callers are also shown other zones'.
	leastOffered = 2
)

// heard tells when a VM was last heard.
type heard interface {
	LastReceived(vm string) (age time.Duration, ready, ok bool)
	// Rate returns the requests a second that a VM serves.
	Rate(vm string) float64
}

// view is the fleet at one moment.
type view struct {
	vms []offer.VM
	// inFront names the VMs of the front ranks of all zones.
	inFront map[string]bool
	// serving is true when this VM is in its zone's front rank.
	serving bool
	// leads is true when this VM is among those that watch the store, leaders
	// names all of them.
	leads   bool
	leaders map[string]bool
	peers   []evidence.Peer
	// sharers is the number of VMs in the front ranks of all zones.
	sharers int
}

// fleet decides which VMs callers are shown and whom evidence goes to.
type fleet struct {
	members contract.Members
	heard   heard
	// ready reports whether this VM itself takes callers.
	ready    func() bool
	settings offer.Settings
	// evidencePort is the UDP port of evidence on all VMs.
	evidencePort uint16
	now          func() time.Duration
	// rate is the requests a second that this VM serves.
	rate func() float64

	view atomic.Pointer[view]
	// expected is since when a VM of a front rank should have been heard.
	expected map[string]time.Duration
	// leftOut is until when a silent VM is not offered.
	leftOut map[string]time.Duration
}

func newFleet(members contract.Members, ready func() bool, settings offer.Settings, evidencePort uint16, now func() time.Duration) *fleet {
	f := &fleet{
		members: members, ready: ready, settings: settings, evidencePort: evidencePort, now: now,
		rate:     func() float64 { return 0 },
		expected: make(map[string]time.Duration), leftOut: make(map[string]time.Duration),
	}
	f.view.Store(&view{})
	return f
}

// Run looks at the fleet until the context ends.
func (f *fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		f.look()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// look builds the view anew.
func (f *fleet) look() {
	members := f.members.Members()
	self := members[0]
	v := &view{vms: make([]offer.VM, 0, len(members)), inFront: make(map[string]bool), leaders: make(map[string]bool)}
	now := f.now()
	wasServing := f.view.Load().serving
	for _, member := range members {
		v.vms = append(v.vms, offer.VM{
			Name:     member.GetVm(),
			Zone:     member.GetZone(),
			Address:  member.GetCallersAddress(),
			Capacity: member.GetCapacity(),
			Rate:     f.rateOf(member, self),
			Usable:   f.usable(member, self, wasServing, now),
		})
	}
	for _, vm := range offer.AllPrimaries(v.vms, f.settings) {
		v.inFront[vm.Name] = true
	}
	v.serving, v.sharers = v.inFront[self.GetVm()], max(len(v.inFront), 1)
	v.peers = f.peers(members, v.inFront)
	for _, vm := range offer.StoreWatchers(v.vms, f.settings) {
		v.leaders[vm.Name] = true
	}
	v.leads = v.leaders[self.GetVm()]
	f.view.Store(v)
}

// rateOf returns the requests a second that a VM serves.
func (f *fleet) rateOf(member, self *primroseloomv1.Member) float64 {
	if member.GetVm() == self.GetVm() {
		return f.rate()
	}
	return f.heard.Rate(member.GetVm())
}

// usable reports whether callers may be sent to a VM.
func (f *fleet) usable(member, self *primroseloomv1.Member, wasServing bool, now time.Duration) bool {
	if member.GetVm() == self.GetVm() {
		return f.ready()
	}
	if member.GetStatus() != primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE || member.GetGeneration() == 0 {
		return false
	}
	if member.GetZone() != self.GetZone() && !wasServing {
		return true // its heartbeats do not come here
	}
	age, ready, ok := f.heard.LastReceived(member.GetVm())
	if ok && age < silentAfter {
		delete(f.expected, member.GetVm())
		delete(f.leftOut, member.GetVm())
		return ready
	}
	return !f.silent(member.GetVm(), now)
}

// silent reports whether a VM that is not heard is to be left out. A VM outside
// of the front ranks sends no heartbeats, so it is left out only once it has
// been in one and has still not been heard for a while.
func (f *fleet) silent(vm string, now time.Duration) bool {
	if until, ok := f.leftOut[vm]; ok {
		if now < until {
			return true
		}
		delete(f.leftOut, vm)
		delete(f.expected, vm)
	}
	if !f.view.Load().inFront[vm] {
		delete(f.expected, vm)
		return false
	}
	since, ok := f.expected[vm]
	if !ok {
		f.expected[vm] = now
		return false
	}
	if now-since < silentAfter {
		return false
	}
	f.leftOut[vm] = now + silentFor
	return true
}

// peers returns the VMs to which datagrams go: evidence to those that serve
// callers, heartbeats to those of this VM's zone.
func (f *fleet) peers(members []*primroseloomv1.Member, inFront map[string]bool) []evidence.Peer {
	var peers []evidence.Peer
	self := members[0]
	for _, member := range members[1:] {
		serves := inFront[member.GetVm()]
		if !serves && member.GetZone() != self.GetZone() {
			continue
		}
		address, err := netip.ParseAddrPort(member.GetPeersAddress())
		if err != nil {
			continue // the membership refuses such members; nothing can be sent
		}
		peers = append(peers, evidence.Peer{
			VM: member.GetVm(), Address: netip.AddrPortFrom(address.Addr(), f.evidencePort), Serves: serves,
		})
	}
	return peers
}

// offered returns the addresses for callers of a zone.
func (f *fleet) offered(zone string) []string {
	v := f.view.Load()
	var addresses []string
	for _, vm := range offer.ForZone(v.vms, zone, f.settings) {
		addresses = append(addresses, vm.Address)
	}
	return addresses
}

func (f *fleet) serving() bool           { return f.view.Load().serving }
func (f *fleet) leads() bool             { return f.view.Load().leads }
func (f *fleet) others() []evidence.Peer { return f.view.Load().peers }

// tells reports whether a VM's reading of the store stands in place of this
// one's own. Within the front ranks only leaders do: when these lose the store,
// the others must not rely on one another.
func (f *fleet) tells(vm string) bool {
	v := f.view.Load()
	return v.leaders[vm] || (!v.serving && v.inFront[vm])
}

// sharers is the number of VMs that share the budgets for repeats; zero for a
// VM that callers are not shown, which has no part of its own.
func (f *fleet) sharers() int {
	v := f.view.Load()
	if !v.serving {
		return 0
	}
	return v.sharers
}
