// Package daemon assembles the supervisor tree of one instance.
//
// The children are the directories beside this one: platform, config, peer,
// targets, proxy, directory and admin. fx builds them from the settings; the
// supervisor runs those that have work of their own; the listeners hand
// requests to the others.
package daemon

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"crypto/rand"

	"github.com/charmbracelet/log"
	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/entry/config"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/directory"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/peer"
	"github.com/primroseloom/primroseloom/entry/platform"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/supervisor"
	"github.com/primroseloom/primroseloom/entry/targets"
	"github.com/primroseloom/primroseloom/entry/uptime"
)

// Daemon is one instance.
type Daemon struct {
	settings  settings.Settings
	network   contract.Network
	logger    *log.Logger
	metrics   *metrics.Metrics
	config    *config.Manager
	peers     *peer.Manager
	targets   *targets.Manager
	proxy     *proxy.Proxy
	directory *directory.Directory
	admin     *admin.Admin
}

// New builds an instance; nothing runs before Run.
func New(set settings.Settings, network contract.Network, logger *log.Logger) (*Daemon, error) {
	built := &Daemon{settings: set, network: network, logger: logger}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(logger),
		fx.Provide(
			func() contract.Network { return network },
			func() contract.Platform { return platform.New(set.Platform, network) },
			metrics.New,
			config.New,
			func(m *config.Manager) contract.Configuration { return m },
			func(m *metrics.Metrics, clock *uptime.BootClock) (*peer.Manager, error) {
				return peer.New(peerSettings(set, clock), network, logger, m.Scope())
			},
			func(m *peer.Manager) directory.Readiness { return m },
			func(m *peer.Manager) contract.Members { return m },
			func(m *peer.Manager) contract.News { return m },
			targets.New,
			func(m *targets.Manager) contract.Targets { return m },
			uptime.NewBootClock,
			func(m *metrics.Metrics, c contract.Configuration, members contract.Members, news contract.News, t contract.Targets, clock *uptime.BootClock) *proxy.Proxy {
				return newProxy(built, m, c, members, news, t, clock)
			},
			newDirectory,
			newAdmin,
		),
		fx.Populate(&built.metrics, &built.config, &built.peers, &built.targets, &built.proxy, &built.directory, &built.admin),
	)
	if err := app.Err(); err != nil {
		return nil, fmt.Errorf("assemble instance %s: %w", set.VM, err)
	}
	return built, nil
}

func newProxy(d *Daemon, m *metrics.Metrics, c contract.Configuration, members contract.Members, news contract.News, t contract.Targets, clock uptime.Clock) *proxy.Proxy {
	limits := proxy.DefaultLimits()
	limits.BodyBytes = d.settings.Limits.BodyBytes
	limits.HeldAnswerBytes = d.settings.Limits.HeldAnswerBytes
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

func newAdmin(members contract.Members, configuration contract.Configuration, m *metrics.Metrics) *admin.Admin {
	return admin.New(members, configuration, nil, m.Handler())
}

func newDirectory(members contract.Members, configuration contract.Configuration, readiness directory.Readiness, logger *log.Logger, m *metrics.Metrics) *directory.Directory {
	return directory.New(directory.DefaultSettings(), members, configuration, readiness, logger, m.Scope())
}

// peerSettings describes this instance to the peer child.
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
		Clock:          clock.Uptime,
		TLS: peer.TLSFiles{
			Off:             set.TLS.Off,
			CertificateFile: set.TLS.CertificateFile,
			KeyFile:         set.TLS.KeyFile,
			AuthorityFile:   set.TLS.AuthorityFile,
		},
	}
}

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.peers.UseConfiguration(d.config)
	d.peers.UseForwarder(d.proxy)
	d.targets.SetNews(d.peers)
	tree := supervisor.New("primroseloomd", d.logger)
	tree.Add("config", d.config)
	tree.Add("peer", d.peers)
	tree.Add("targets", d.targets)
	treeContext, stopTree := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTree()
	treeDone := make(chan error, 1)
	go func() { treeDone <- tree.Run(treeContext) }()

	callers := d.callerServer()
	operators := &http.Server{Handler: d.adminEngine(), ReadHeaderTimeout: d.settings.Limits.HeaderTimeout.Std()}
	go serve(callers, proxy.LimitListener(listeners.callers, d.settings.Limits.CallerConnections))
	go serve(operators, listeners.admin)
	go func() { _ = d.peers.Serve(listeners.peers) }()
	events.DaemonStarted.Log(d.logger, "vm", d.settings.VM, "callers", d.settings.Listen.Callers)

	<-ctx.Done()
	events.DaemonStopping.Log(d.logger, "vm", d.settings.VM)
	d.peers.Leave()
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.settings.Stop.Grace.Std())
	defer cancel()
	err = d.proxy.Drain(grace, callers, d.settings.Stop.Linger.Std())
	_ = operators.Shutdown(grace)
	d.depart()
	stopTree()
	<-treeDone
	_ = listeners.peers.Close()
	events.DaemonStopped.Log(d.logger, "vm", d.settings.VM)
	return err
}

// depart tells the other instances that this one is gone.
func (d *Daemon) depart() {
	const patience = time.Second
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	d.peers.Depart(ctx)
}

type listenerSet struct {
	callers, peers, admin net.Listener
}

func (d *Daemon) listen(ctx context.Context) (listenerSet, error) {
	var set listenerSet
	var failures []error
	for _, entry := range []struct {
		address string
		into    *net.Listener
	}{
		{d.settings.Listen.Callers, &set.callers},
		{d.settings.Listen.Peers, &set.peers},
		{d.settings.Listen.Admin, &set.admin},
	} {
		listener, err := d.network.Listen(ctx, entry.address)
		failures = append(failures, err)
		*entry.into = listener
	}
	if err := errors.Join(failures...); err != nil {
		return set, fmt.Errorf("start instance %s: %w", d.settings.VM, err)
	}
	return set, nil
}

func serve(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener)
}

func (d *Daemon) callerServer() *http.Server {
	limits := d.settings.Limits
	return proxy.NewServer(d.callerHandler(), proxy.ServerLimits{
		Connections:   limits.CallerConnections,
		HeaderBytes:   limits.HeaderBytes,
		HeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:   limits.IdleTimeout.Std(),
	})
}

// callerHandler sends requests for an IP address to the directory and all
// others to the proxy.
func (d *Daemon) callerHandler() http.Handler {
	own := newEngine()
	d.directory.Mount(own)
	proxied := newEngine()
	proxied.NoRoute(d.proxy.Handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isIPHost(r.Host) {
			own.ServeHTTP(w, r)
			return
		}
		proxied.ServeHTTP(w, r)
	})
}

func (d *Daemon) adminEngine() http.Handler {
	engine := newEngine()
	d.admin.Mount(engine)
	return engine
}

func newEngine() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	return engine
}

func isIPHost(host string) bool {
	if _, err := netip.ParseAddrPort(host); err == nil {
		return true
	}
	_, err := netip.ParseAddr(host)
	return err == nil
}
