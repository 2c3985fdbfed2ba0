package frontend

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/entry/follow"
	"github.com/primroseloom/primroseloom/entry/gateway"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/peer"
	"github.com/primroseloom/primroseloom/entry/quotas"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/policy/quota"
)

// identity distinguishes this process from all others.
type identity struct{ instance, seed uint64 }

// New builds an instance; Run starts it.
func New(options Options) (*Frontend, error) {
	options.Targets, options.VMs = cmp.Or(options.Targets, options.Network), cmp.Or(options.VMs, options.Network)
	f := &Frontend{options: options, clock: options.Clock, metrics: options.Metrics}
	if f.clock == nil {
		f.clock = uptime.NewBootClock()
	}
	f.settings.Store(&options.Settings)
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(f, options.Settings, options.Logger, options.Metrics, newIdentity()),
		fx.Provide(newPeers, newFollower, newTargets, newFrontendFleet, newExchange, newCrashTracker, newQuotas, newGateway),
		fx.Populate(&f.peers, &f.follower, &f.targets, &f.crashes, &f.fleet, &f.evidence, &f.quotas, &f.gateway),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", options.Settings.VM, err)
	}
	f.fleet.peerReports, f.fleet.rate = f.evidence, f.gateway.Rate
	f.fleet.cutOffServices, f.fleet.pathInDoubt = f.targets.CutOffServices, f.targets.PathInDoubt
	f.fleet.servedBy = f.targets.ServedBy
	f.fleet.keysNotCurrent = f.follower.KeysNotCurrent
	f.peers.UseForwarder(f.gateway)
	f.targets.UseNotifier(f.evidence)
	f.crashes.UseNotifier(f.evidence.RequestsChanged)
	f.peers.Mount(f.follower.Handler(options.Settings.Fleet))
	f.peers.Mount(f.crashes.Handler(options.Settings.Fleet))
	return f, nil
}

func newIdentity() identity {
	var random [16]byte
	_, _ = rand.Read(random[:]) // documented never to fail
	return identity{instance: binary.BigEndian.Uint64(random[:8]), seed: binary.BigEndian.Uint64(random[8:])}
}

func newPeers(f *Frontend, set settings.Frontend, id identity, m *metrics.Metrics, logger *log.Logger) (*peer.Manager, error) {
	return peer.New(peer.Settings{
		Fleet:          set.Fleet,
		VM:             set.VM,
		Region:         set.Region,
		Zone:           set.Zone,
		Instance:       id.instance,
		Seed:           id.seed,
		CallersAddress: set.Listen.Callers,
		PeersAddress:   set.Listen.Peers,
		FirstPeers:     set.FirstPeers,
		Capacity:       capacityOf(set.Machine),
		Connections:    connlimit.Share(connlimit.Sockets(set.Machine.Descriptors), connlimit.PeersShare, peer.MaxConnections),
		Clock:          f.clock.Uptime,
		TLS:            peer.TLSFiles{Off: true},
	}, f.options.VMs, logger, m.Scope())
}

func newFollower(f *Frontend, set settings.Frontend, peers *peer.Manager, m *metrics.Metrics, logger *log.Logger) *follow.Follower {
	return follow.New(follow.Options{
		Store:        f.options.Adapter.Store,
		Peers:        &follow.Peers{Fleet: set.Fleet, Members: peers},
		Decoder:      f.options.Adapter.Decoder,
		WatchesStore: func() bool { return f.fleet == nil || f.fleet.watchesStore() },
		IsPrimary:    func() bool { return f.fleet == nil || f.fleet.isPrimary() },
		Announce:     func() { f.evidence.AnnouncementChanged() },
		Unreachable:  func(vm string) { f.fleet.CarrierUnreachable(vm) },
		KeysBound:    set.Keys.RevokedWithin.Std(),
		Uptime:       f.clock.Uptime,
		Listener:     f,
		Logger:       logger,
		Scope:        m.Scope(),
	})
}

func newTargets(f *Frontend, set settings.Frontend, id identity, vms *fleet, m *metrics.Metrics, logger *log.Logger) *targetset.Manager {
	return targetset.New(targetset.Options{
		Zone:      set.Zone,
		Network:   f.options.Targets,
		Budget:    targetset.Budget{Ratio: set.Retries.Ratio, Allowance: set.Retries.Allowance},
		Hedging:   hedgingOf(set),
		Sharers:   vms.sharers,
		RateShare: vms.rateShare,
		Uptime:    f.clock.Uptime,
		Logger:    logger,
		Scope:     m.Scope(),
		Seed:      id.seed,
	})
}

func newFrontendFleet(f *Frontend, set settings.Frontend, id identity, peers *peer.Manager) (*fleet, error) {
	address, err := netip.ParseAddrPort(set.Listen.Evidence)
	if err != nil {
		return nil, fmt.Errorf("evidence address %q: %w", set.Listen.Evidence, err)
	}
	return newFleet(peers, f.ready, offer.Settings{MinPerZone: set.Directory.PerZone, MinAdvertised: minAdvertised}, address.Port(), id.seed, f.clock.Uptime), nil
}

func newExchange(f *Frontend, set settings.Frontend, id identity, vms *fleet, targets *targetset.Manager, follower *follow.Follower, tracker *crashes.Tracker, m *metrics.Metrics, logger *log.Logger) *evidence.Exchange {
	return evidence.New(evidence.Options{
		Fleet:              set.Fleet,
		VM:                 set.VM,
		Instance:           id.instance,
		Conn:               f.options.Packets,
		IsPrimary:          vms.sendsHeartbeats,
		Ready:              f.ready,
		Peers:              vms.currentPeers,
		AttemptsInProgress: targets.AttemptsInProgress,
		Rate:               func() float64 { return f.gateway.Rate() },
		Announcement:       follower.Announcement,
		CutOffServices:     targets.CutOffServices,
		PathInDoubt:        targets.PathInDoubt,
		KeysNotCurrent:     follower.KeysNotCurrent,
		MeanRunTime:        targets.MeanRunTime,
		Requests:           tracker.NextEvidence,
		RequestsDigest:     tracker.Digest,
		Notices:            targets.NextNotices,
		Admissions:         func(isHeartbeat bool) []quota.Report { return f.quotas.Reports(isHeartbeat) },
		AdmissionsReceived: func(vm string, instance uint64, reports []quota.Report) { f.quotas.Merge(vm, instance, reports) },
		Receiver:           receiver{Manager: targets, Tracker: tracker, follower: follower, fleet: vms},
		Uptime:             f.clock.Uptime,
		Logger:             logger,
		Scope:              m.Scope(),
	})
}

// receiver passes what other VMs send on to the children that handle it.
type receiver struct {
	*targetset.Manager
	*crashes.Tracker
	follower *follow.Follower
	fleet    *fleet
}

// Announced records what another VM has of the published items.
func (r receiver) Announced(vm string, announcement contract.Announcement) {
	r.follower.Announced(vm, announcement, r.fleet.replacesOwnWatch(vm))
}

func newCrashTracker(f *Frontend, set settings.Frontend, vms *fleet, peers *peer.Manager, targets *targetset.Manager, m *metrics.Metrics, logger *log.Logger) *crashes.Tracker {
	return crashes.New(crashes.Options{
		Network: f.options.Targets, ServedSince: targets.ServedSince, AnsweredSince: targets.AnsweredSince,
		Relays:    vms.sendsHeartbeats,
		Reconcile: crashes.Reconcile(set.Fleet, set.VM, peers, f.clock.Uptime),
		Pull:      crashes.Pull(set.Fleet, set.VM, peers, f.clock.Uptime),
		Peers:     vms.currentHeartbeatSources,
		Uptime:    f.clock.Uptime, Logger: logger, Scope: m.Scope(),
	})
}

func newGateway(f *Frontend, set settings.Frontend, vms *fleet, follower *follow.Follower, targets *targetset.Manager, tracker *crashes.Tracker, limiter *quotas.Limiter, m *metrics.Metrics, logger *log.Logger) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Dialect:  f.options.Adapter.Dialect,
		Table:    follower.Table,
		Targets:  targets,
		Crashes:  tracker,
		Carriers: vms,
		Keys:     keyFreshness{f},
		Quotas:   limiter,
		Fleet:    set.Fleet,
		VM:       set.VM,
		Stopping: f.stopping.Load,
		MemoryMB: set.Machine.MemoryMB,
		LinkMbps: set.Machine.LinkMbps,
		Capacity: capacityOf(set.Machine),
		Logger:   logger,
		Scope:    m.Scope(),
	})
}
