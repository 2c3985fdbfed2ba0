package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/draining"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/entry/follow"
	"github.com/primroseloom/primroseloom/entry/gateway"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/pageserver"
	"github.com/primroseloom/primroseloom/entry/peer"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/quotas"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/signals"
	"github.com/primroseloom/primroseloom/entry/supervisor"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/offer"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// Limits on caller connections that apply whatever the routes' own limits are.
const (
	maxCallerHeaderBytes = 64 << 10
	callerHeaderTimeout  = 5 * time.Second
	// callerIdleTimeout is the idle timeout while the routes set none, and the upper
	// bound of theirs.
	callerIdleTimeout = 75 * time.Second
	// stopMargin is the part of a planned stop's grace period that is kept for its
	// last steps.
	stopMargin = 400 * time.Millisecond
)

// Adapter holds the parts of an instance that depend on its platform.
type Adapter struct {
	Store     follow.Source
	Decoder   follow.Decoder
	Dialect   dialect.Dialect
	Directory dialect.Directory
}

// Options configures a Frontend.
type Options struct {
	Settings settings.Frontend
	Adapter  Adapter
	// Network opens listeners. Targets and VMs open connections to targets and to other
	// VMs; nil means Network.
	Network, Targets, VMs contract.Network
	// Packets is the bound UDP socket for evidence.
	Packets net.PacketConn
	Logger  *log.Logger
	Metrics *metrics.Metrics
	// Clock includes suspension; nil means the operating system's boot clock.
	Clock uptime.Clock
}

// Frontend is one instance.
type Frontend struct {
	options  Options
	settings atomic.Pointer[settings.Frontend]
	stopping atomic.Bool
	wasReady atomic.Bool

	clock    uptime.Clock
	metrics  *metrics.Metrics
	peers    *peer.Manager
	follower *follow.Follower
	targets  *targetset.Manager
	crashes  *crashes.Tracker
	evidence *evidence.Exchange
	fleet    *fleet
	gateway  *gateway.Gateway
	quotas   *quotas.Limiter
}

// Run serves until the context ends, then performs a planned stop.
func (f *Frontend) Run(ctx context.Context) error {
	set := f.settings.Load()
	listeners, err := f.listen(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = f.metrics.Close() }()
	stopTree := f.startTree(ctx)
	defer stopTree()
	callers := proxy.NewServer(f.gateway, proxy.ServerLimits{
		HeaderBytes: maxCallerHeaderBytes, HeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, Logger: f.options.Logger,
	})
	callers.ConnState = newIdleCloser(func() time.Duration { return routesIdleLimit(f.follower) }).onStateChange
	connections := readahead.Watch(callers)
	f.gateway.UseMakeRoom(connections.CloseHolding)
	limited := f.watchProgress(connlimit.NewListener(listeners.callers, f.callerLimit(connections)))
	go f.serve(callers, readahead.Listener(limited, f.callerFraming(connections)))
	pages := []*http.Server{
		f.servePage(listeners.readiness, readinessEngine(f.options.Adapter.Directory, f.ready), f.pageLimit("readiness", connlimit.ReadinessShare)),
		f.servePage(listeners.directory, directoryEngine(f.options.Adapter.Directory, f.fleet.advertised, f.keepFor), f.pageLimit("directory", connlimit.DirectoryShare)),
		f.servePage(listeners.admin, adminEngine(f.metrics.Handler(), f.crashes, f.clock.Uptime), f.pageLimit("admin", connlimit.AdminShare)),
	}
	go f.servePeers(listeners.peers)
	events.FrontendStarted.Log(f.options.Logger, "vm", set.VM, "zone", set.Zone, "callers", set.Listen.Callers)

	<-ctx.Done()
	f.beginStop(signals.StopOf(ctx))
	return f.stop(context.WithoutCancel(ctx), draining.Server{HTTP: callers, Listener: listeners.callers, Connections: connections}, pages)
}

// servePage starts to serve the readiness, directory or admin interface.
func (f *Frontend) servePage(inner net.Listener, handler http.Handler, limits connlimit.Options) *http.Server {
	server, listener := pageserver.New(inner, handler, limits, f.framingOptions())
	go f.serve(server, listener)
	return server
}

func (f *Frontend) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	isExpected := errors.Is(err, http.ErrServerClosed) || f.stopping.Load() && errors.Is(err, net.ErrClosed)
	if !isExpected {
		events.ListenerFailed.Log(f.options.Logger, "address", listener.Addr(), "cause", err)
	}
}

// servePeers serves the other VMs until the peer manager closes the listener.
func (f *Frontend) servePeers(listener net.Listener) {
	if err := f.peers.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		events.ListenerFailed.Log(f.options.Logger, "address", listener.Addr(), "cause", err)
	}
}

// ready reports whether this VM accepts callers.
func (f *Frontend) ready() bool {
	ready := !f.stopping.Load() && f.follower.Ready()
	if ready && f.wasReady.CompareAndSwap(false, true) {
		events.FrontendReady.Log(f.options.Logger, "routes_version", f.follower.Table().Version())
	}
	return ready
}

// keepFor returns how long callers may keep a directory response.
func (f *Frontend) keepFor() time.Duration {
	set, longest := f.settings.Load(), time.Duration(0)
	if table := f.follower.Table(); table != nil {
		longest = table.LongestTimeout(gateway.DefaultTimeout)
	}
	return offer.KeepFor(set.Directory.KeepFor.Std(), set.Stop.Grace.Std()-stopMargin-gateway.ResponseSlack, longest)
}

// startTree starts the children that work in the background. The returned
// function stops them and waits until they have returned.
func (f *Frontend) startTree(ctx context.Context) (stop func()) {
	tree := supervisor.New("primroseloomd", f.options.Logger)
	tree.Add("follow", f.follower)
	tree.Add("peer", f.peers)
	tree.Add("targetset", f.targets)
	tree.Add("crashes", f.crashes)
	tree.Add("evidence", f.evidence)
	tree.Add("fleet", f.fleet)
	return tree.Start(context.WithoutCancel(ctx))
}

// beginStop makes the gateway refuse what it can't finish before the platform ends the process, which
// counts from when the signal was sent. What has begun may go on for as long as the process does.
func (f *Frontend) beginStop(stop signals.Stop) {
	set := f.settings.Load()
	events.FrontendStopping.Log(f.options.Logger, "vm", set.VM, "grace", set.Stop.Grace.Std(), "late_ms", stop.Late.Milliseconds())
	f.gateway.StopBy(stop.Sent().Add(set.Stop.Grace.Std() - stopMargin))
}

// stop performs a planned stop: it takes this VM out of the directory, for a
// while still serves callers that hold an older directory response, and finishes
// the requests in progress.
func (f *Frontend) stop(ctx context.Context, callers draining.Server, pages []*http.Server) error {
	set := f.settings.Load()
	began := time.Now()
	end := began.Add(set.Stop.Grace.Std() - stopMargin)
	f.stopping.Store(true)
	f.peers.Leave()
	f.fleet.updateView()
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	pause.For(ctx, set.Stop.Linger.Std())
	err := callers.Drain(ctx, f.gateway)
	cut, latest := f.gateway.LogCut(began)
	events.FrontendStopped.Log(f.options.Logger, "vm", set.VM, "requests_cut", err != nil, "cut", cut,
		"after_ms", time.Since(began).Milliseconds(), "latest_request_ms", latest.Milliseconds())
	leaving, done := context.WithTimeout(context.WithoutCancel(ctx), stopMargin/2)
	defer done()
	f.peers.Depart(leaving)
	for _, server := range pages {
		_ = server.Close()
	}
	if err != nil {
		return fmt.Errorf("finish requests in progress: %w", err)
	}
	return nil
}

// RoutesChanged passes new routes on to the children.
func (f *Frontend) RoutesChanged(table *routing.Table) {
	f.targets.RoutesChanged(table)
	f.peers.SetConfiguration(table.Version(), "", 0)
}

// TargetsChanged passes new targets on to the children.
func (f *Frontend) TargetsChanged(targets []roster.Target) {
	f.targets.TargetsChanged(targets)
	f.crashes.TargetsChanged(targets)
}
