package frontend

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/policy/ratelimit"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Times and limits for the view of the fleet.
const (
	// viewInterval is the time between two updates of the view.
	viewInterval = 100 * time.Millisecond
	// silenceTimeout is the time without a datagram after which a VM whose heartbeats
	// are expected is no longer advertised; several heartbeats fit into it.
	silenceTimeout = 700 * time.Millisecond
	// exclusionTime is how long a silent VM is not advertised, unless a datagram arrives.
	exclusionTime = 3 * time.Second
	// minAdvertised is the number of VMs below which VMs of other zones are also advertised.
	minAdvertised = 2
)

// peerReports provides what the datagrams of other VMs reported.
type peerReports interface {
	// LastReceived returns the time since the last datagram of a VM and whether it
	// accepts callers; ok is false when none was received.
	LastReceived(vm string) (age time.Duration, ready, ok bool)
	// Rate returns the requests a second that a VM serves.
	Rate(vm string) float64
	// IsCutOff reports whether a VM says that it reaches no target of a service; of any
	// service when the name is empty.
	IsCutOff(vm, service string) bool
	// NeedsEvidence reports whether a VM says that it is cut off from targets, or may be.
	NeedsEvidence(vm string) bool
	// KeysNotCurrent reports whether a VM says that it cannot serve requests with keys.
	KeysNotCurrent(vm string) bool
	// ReadsStore reports whether a VM says that it reads the store itself.
	ReadsStore(vm string) bool
}

// view is a snapshot of the fleet.
type view struct {
	vms []offer.VM
	// primaryVMs holds the primary VMs by zone.
	primaryVMs offer.PrimaryVMs
	// primaries names the primary VMs of all zones; senders are the same VMs, among which
	// the limits of targets are shared.
	primaries map[string]bool
	senders   []string
	// isCutOff is true when this VM reaches no target of some service, while other VMs may.
	isCutOff bool
	// mayBeCutOff is true when this VM is or may be cut off, so that others send it evidence.
	mayBeCutOff bool
	// keysNotCurrent is true when this VM cannot serve requests with keys.
	keysNotCurrent bool
	// isPrimary is true when this VM is a primary VM of its zone.
	isPrimary bool
	// watchesStore is true when this VM is one of those that watch the store;
	// storeWatchers names all of them.
	watchesStore  bool
	storeWatchers map[string]bool
	peers         []evidence.Peer
	// heartbeatSources are the VMs whose heartbeats this VM gets, or got until they fell silent.
	heartbeatSources []crashes.Peer
	// sharers is the number of primary VMs of all zones, but at least 1.
	sharers int
}

// fleet decides which VMs are advertised to callers and which VMs get evidence.
type fleet struct {
	members     contract.Members
	peerReports peerReports
	// ready reports whether this VM itself accepts callers.
	ready    func() bool
	settings offer.Settings
	// evidencePort is the UDP port of evidence on all VMs.
	evidencePort uint16
	now          func() time.Duration
	// rate is the requests a second that this VM serves.
	rate func() float64
	// cutOffServices returns the services of which this VM reaches no target.
	cutOffServices func() []string
	// pathInDoubt reports whether this VM may be cut off from the targets of a service.
	pathInDoubt func() bool
	// keysNotCurrent reports whether this VM cannot serve requests with keys.
	keysNotCurrent func() bool
	// servedBy reports whether another VM has lately got responses of a service.
	servedBy func(vm, service string) bool

	view atomic.Pointer[view]

	carriers carriers

	// updating is held while the view is rebuilt, which Run and a stop both do.
	updating sync.Mutex
	// missingSince holds, by primary VM without recent datagrams, since when they have
	// been missing.
	missingSince map[string]time.Duration
	// excludedUntil is the time until which a silent VM is not advertised.
	excludedUntil map[string]time.Duration
}

func newFleet(members contract.Members, ready func() bool, settings offer.Settings, evidencePort uint16, seed uint64, now func() time.Duration) *fleet {
	f := &fleet{
		carriers: newCarriers(seed),
		members:  members, ready: ready, settings: settings, evidencePort: evidencePort, now: now,
		rate: func() float64 { return 0 }, cutOffServices: func() []string { return nil },
		pathInDoubt: func() bool { return false }, keysNotCurrent: func() bool { return false },
		servedBy:     func(string, string) bool { return false },
		missingSince: make(map[string]time.Duration), excludedUntil: make(map[string]time.Duration),
	}
	f.view.Store(&view{})
	return f
}

// Run updates the view until the context ends.
func (f *fleet) Run(ctx context.Context) error {
	ticker := time.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		f.updateView()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// updateView rebuilds the view.
func (f *fleet) updateView() {
	f.updating.Lock()
	defer f.updating.Unlock()
	members := f.members.Members()
	self := members[0]
	v := &view{vms: make([]offer.VM, 0, len(members)), primaries: make(map[string]bool), storeWatchers: make(map[string]bool)}
	now := f.now()
	v.isCutOff = len(f.cutOffServices()) > 0
	v.mayBeCutOff = v.isCutOff || f.pathInDoubt()
	v.keysNotCurrent = f.keysNotCurrent()
	getsHeartbeats := f.view.Load().isPrimary || v.isCutOff
	for _, member := range members {
		v.vms = append(v.vms, offer.VM{
			Name:     member.GetVm(),
			Zone:     member.GetZone(),
			Address:  member.GetCallersAddress(),
			Capacity: member.GetCapacity(),
			Rate:     f.rateOf(member, self),
			Usable:   f.usable(member, self, getsHeartbeats, now),
		})
	}
	v.vms = offer.WithoutCutOff(v.vms, func(vm offer.VM) bool { return f.cutOff(vm.Name, v) })
	v.vms = offer.WithoutKeysNotCurrent(v.vms, func(vm offer.VM) bool { return f.notCurrent(vm.Name, v) })
	v.primaryVMs = offer.ChoosePrimaryVMs(v.vms, f.settings)
	for _, vm := range v.primaryVMs.All() {
		v.primaries[vm.Name] = true
		v.senders = append(v.senders, vm.Name)
	}
	v.isPrimary, v.sharers = v.primaries[self.GetVm()], max(len(v.primaries), 1)
	v.peers = f.selectPeers(members, v.primaries)
	v.heartbeatSources = f.selectHeartbeatSources(v, self)
	for _, vm := range v.primaryVMs.StoreWatchers() {
		v.storeWatchers[vm.Name] = true
	}
	v.watchesStore = v.storeWatchers[self.GetVm()]
	f.view.Store(v)
}

// cutOff reports whether a VM reaches no target of some service.
func (f *fleet) cutOff(vm string, v *view) bool {
	if vm == f.members.Self().GetVm() {
		return v.isCutOff
	}
	return f.peerReports.IsCutOff(vm, "")
}

// rateOf returns the requests a second that a VM serves.
func (f *fleet) rateOf(member, self *primroseloomv1.Member) float64 {
	if member.GetVm() == self.GetVm() {
		return f.rate()
	}
	return f.peerReports.Rate(member.GetVm())
}

// usable reports whether callers may be sent to a VM.
func (f *fleet) usable(member, self *primroseloomv1.Member, getsHeartbeats bool, now time.Duration) bool {
	if member.GetVm() == self.GetVm() {
		return f.ready()
	}
	if member.GetStatus() != primroseloomv1.MemberStatus_MEMBER_STATUS_ALIVE || member.GetGeneration() == 0 {
		return false
	}
	if member.GetZone() != self.GetZone() && !getsHeartbeats {
		return true // this VM does not get its heartbeats
	}
	age, ready, ok := f.peerReports.LastReceived(member.GetVm())
	if ok && age < silenceTimeout {
		delete(f.missingSince, member.GetVm())
		delete(f.excludedUntil, member.GetVm())
		return ready
	}
	return !f.checkSilence(member.GetVm(), now)
}

// checkSilence reports whether a VM without recent datagrams is excluded, and
// records since when. A VM that is not a primary sends no heartbeats, so a VM is
// excluded only after it has been a primary for silenceTimeout without a
// datagram.
func (f *fleet) checkSilence(vm string, now time.Duration) bool {
	if until, ok := f.excludedUntil[vm]; ok {
		if now < until {
			return true
		}
		delete(f.excludedUntil, vm)
		delete(f.missingSince, vm)
	}
	if !f.view.Load().primaries[vm] {
		delete(f.missingSince, vm)
		return false
	}
	since, ok := f.missingSince[vm]
	if !ok {
		f.missingSince[vm] = now
		return false
	}
	if now-since < silenceTimeout {
		return false
	}
	f.excludedUntil[vm] = now + exclusionTime
	return true
}

// selectPeers returns the VMs to which datagrams go: evidence to those that
// serve callers and to those that are or may be cut off from targets, which must know whether
// others reach them; heartbeats to those of this VM's zone.
func (f *fleet) selectPeers(members []*primroseloomv1.Member, primaries map[string]bool) []evidence.Peer {
	var peers []evidence.Peer
	self := members[0]
	for _, member := range members[1:] {
		needsEvidence := primaries[member.GetVm()] || f.peerReports.NeedsEvidence(member.GetVm())
		if !needsEvidence && member.GetZone() != self.GetZone() {
			continue
		}
		address, err := netip.ParseAddrPort(member.GetPeersAddress())
		if err != nil {
			continue // the membership rejects such members; nothing can be sent to them
		}
		peers = append(peers, evidence.Peer{
			VM: member.GetVm(), Address: netip.AddrPortFrom(address.Addr(), f.evidencePort), IsPrimary: needsEvidence,
			SameZone: member.GetZone() == self.GetZone(),
		})
	}
	return peers
}

// selectHeartbeatSources returns the primary VMs whose heartbeats this VM gets: those of its
// zone, and of all zones if it is one itself. VMs that are excluded for their silence are among
// them, since it may be the datagrams that are lost.
func (f *fleet) selectHeartbeatSources(v *view, self *primroseloomv1.Member) []crashes.Peer {
	var sources []crashes.Peer
	for _, vm := range v.vms {
		_, excluded := f.excludedUntil[vm.Name]
		if vm.Name != self.GetVm() && (v.primaries[vm.Name] || excluded) && (vm.Zone == self.GetZone() || v.isPrimary) {
			sources = append(sources, crashes.Peer{VM: vm.Name, Zone: vm.Zone})
		}
	}
	return sources
}

// advertised returns the addresses that are advertised to one caller of a zone.
func (f *fleet) advertised(zone string) []string {
	v := f.view.Load()
	shown := f.carriers.sample(v.primaryVMs.ForZone(zone))
	addresses := make([]string, 0, len(shown))
	for _, vm := range shown {
		addresses = append(addresses, vm.Address)
	}
	return addresses
}

// sendsHeartbeats reports whether the other VMs need this VM's heartbeats: they send callers
// to it, or must know whether it reaches targets or can serve requests with keys.
func (f *fleet) sendsHeartbeats() bool {
	v := f.view.Load()
	return v.isPrimary || v.mayBeCutOff || v.keysNotCurrent
}

func (f *fleet) watchesStore() bool            { return f.view.Load().watchesStore }
func (f *fleet) isPrimary() bool               { return f.view.Load().isPrimary }
func (f *fleet) currentPeers() []evidence.Peer { return f.view.Load().peers }

func (f *fleet) currentHeartbeatSources() []crashes.Peer { return f.view.Load().heartbeatSources }

// replacesOwnWatch reports whether this VM needs no watch of its own while the
// given VM reads the store. For a primary VM that holds only of store watchers:
// when these lose the store, the other primaries must not rely on one another.
func (f *fleet) replacesOwnWatch(vm string) bool {
	v := f.view.Load()
	return v.storeWatchers[vm] || (!v.isPrimary && v.primaries[vm])
}

// rateShare returns the rate, in requests a second, at which this VM may send requests to a
// target that takes a limited rate of all VMs together.
func (f *fleet) rateShare(target string, perSecond float64) float64 {
	return ratelimit.Share(target, perSecond, f.view.Load().senders, f.members.Self().GetVm())
}

// sharers returns the number of VMs that share the retry budgets; zero for a VM
// that is not advertised to callers, which has no share of its own.
func (f *fleet) sharers() int {
	v := f.view.Load()
	if !v.isPrimary {
		return 0
	}
	return v.sharers
}
