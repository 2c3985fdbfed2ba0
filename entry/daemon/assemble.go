package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	mathrand "math/rand/v2"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/entry/config"
	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/directory"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/peer"
	"github.com/primroseloom/primroseloom/entry/platform"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/targets"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/entry/vmlist"
)

// New builds an instance; Run starts it.
func New(options Options) (*Daemon, error) {
	set, network, logger := options.Settings, options.Network, options.Logger
	built := &Daemon{settings: set, network: network, callers: network, logger: logger}
	if options.Callers != nil {
		built.callers = options.Callers
	}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(logger),
		fx.Provide(
			func() contract.Network { return network },
			func() *platform.Client { return platform.New(set.Platform, network) },
			func(c *platform.Client) contract.Platform { return c },
			func() *metrics.Metrics { return metricsOrNew(options) },
			func(m *metrics.Metrics, source *platform.Client, peers *peer.Manager) *config.Manager {
				return newConfig(set, source, peers, logger, m)
			},
			func(m *config.Manager) contract.Configuration { return m },
			func(m *metrics.Metrics, clock uptime.Clock) (*peer.Manager, error) {
				return peer.New(peerSettings(set, clock), network, logger, m.Scope())
			},
			func(m *peer.Manager) directory.Readiness { return m },
			func(m *peer.Manager) contract.Members { return m },
			func(m *peer.Manager) contract.News { return m },
			targets.New,
			func(m *targets.Manager) contract.Targets { return m },
			func() uptime.Clock { return clockOrDefault(options) },
			func(m *metrics.Metrics, c contract.Configuration, members contract.Members, news contract.News, t contract.Targets, clock uptime.Clock) *proxy.Proxy {
				return newProxy(built, m, c, members, news, t, clock)
			},
			newVMList,
			newDirectory,
			newAdmin,
		),
		fx.Populate(&built.metrics, &built.config, &built.peers, &built.targets, &built.proxy, &built.directory, &built.admin, &built.vmList),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", set.VM, err)
	}
	return built, nil
}

// metricsOrNew returns the registry of the options, or a new one if there is none.
func metricsOrNew(options Options) *metrics.Metrics {
	if options.Metrics != nil {
		return options.Metrics
	}
	return metrics.New()
}

// clockOrDefault returns the clock of the options, or the boot clock if there is none.
func clockOrDefault(options Options) uptime.Clock {
	if options.Clock != nil {
		return options.Clock
	}
	return uptime.NewBootClock()
}

func newConfig(set settings.Settings, source *platform.Client, peers *peer.Manager, logger *log.Logger, m *metrics.Metrics) *config.Manager {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return config.New(config.Options{
		Fleet:        set.Fleet,
		Source:       source,
		Members:      peers,
		Reporter:     peers,
		ExpectsPeers: len(set.FirstPeers) > 0,
		FleetSize:    set.FleetSize,
		Scope:        m.Scope(),
		Logger:       logger,
		Random:       mathrand.New(mathrand.NewPCG(binary.BigEndian.Uint64(random[:8]), binary.BigEndian.Uint64(random[8:]))),
	})
}

func newProxy(d *Daemon, m *metrics.Metrics, c contract.Configuration, members contract.Members, news contract.News, t contract.Targets, clock uptime.Clock) *proxy.Proxy {
	limits := proxy.DefaultLimits()
	limits.MaxBodyBytes = d.settings.Limits.BodyBytes
	limits.MaxBufferedResponseBytes = d.settings.Limits.BufferedResponseBytes
	limitMemory(&limits, memoryMB(d.settings.Limits))
	return proxy.New(proxy.Options{
		Fleet:         d.settings.Fleet,
		Configuration: c,
		Targets:       t,
		Members:       members,
		News:          news,
		Network:       d.network,
		Clock:         clock,
		Logger:        d.logger,
		Scope:         m.Scope(),
		Limits:        limits,
	})
}

func newAdmin(members contract.Members, configuration contract.Configuration, m *metrics.Metrics, t *targets.Manager, p *proxy.Proxy, clock uptime.Clock) *admin.Admin {
	return admin.New(admin.Options{
		Members:       members,
		Configuration: configuration,
		Explainers:    []contract.Explainer{t},
		Quarantines:   p,
		Now:           clock.Uptime,
		Metrics:       m.Handler(),
	})
}

func newVMList(source contract.Platform, role *config.Manager, t *targets.Manager, peers *peer.Manager, logger *log.Logger) *vmlist.Follower {
	return vmlist.New(vmlist.Options{
		Platform:  source,
		Role:      role,
		Consumers: []vmlist.Consumer{t, peers},
		Notifier:  t,
		Logger:    logger,
	})
}

func newDirectory(members contract.Members, configuration contract.Configuration, readiness directory.Readiness, logger *log.Logger, m *metrics.Metrics) *directory.Directory {
	return directory.New(directory.DefaultSettings(), members, configuration, readiness, logger, m.Scope())
}

// peerSettings returns the settings of the peer child of this instance.
func peerSettings(set settings.Settings, clock uptime.Clock) peer.Settings {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return peer.Settings{
		Fleet:          set.Fleet,
		VM:             set.VM,
		Region:         set.Region,
		Zone:           set.Zone,
		Instance:       binary.BigEndian.Uint64(random[:8]),
		Seed:           binary.BigEndian.Uint64(random[8:]),
		CallersAddress: set.Listen.Callers,
		PeersAddress:   set.Listen.Peers,
		FirstPeers:     set.FirstPeers,
		Connections:    connlimit.Share(connlimit.Sockets(set.Limits.Descriptors), connlimit.PeersShare, peer.MaxConnections),
		Clock:          clock.Uptime,
		TLS: peer.TLSFiles{
			Off:             set.TLS.Off,
			CertificateFile: set.TLS.CertificateFile,
			KeyFile:         set.TLS.KeyFile,
			AuthorityFile:   set.TLS.AuthorityFile,
		},
	}
}
