// Package daemon assembles the supervisor tree of one instance.
//
// The children are the packages beside this one: platform, config, peer,
// targets, proxy, directory, admin and vmlist. fx builds them from the settings; the
// supervisor runs those that work in the background; the listeners pass
// requests to the others.
package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/entry/config"
	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/directory"
	"github.com/primroseloom/primroseloom/entry/draining"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/pageserver"
	"github.com/primroseloom/primroseloom/entry/peer"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/signals"
	"github.com/primroseloom/primroseloom/entry/supervisor"
	"github.com/primroseloom/primroseloom/entry/targets"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/entry/vmlist"
)

// stopMargin is the part of a planned stop's grace period that is kept for its last steps.
const stopMargin = 400 * time.Millisecond

// Options configures a Daemon.
type Options struct {
	Settings settings.Settings
	Network  contract.Network
	// Callers opens the listener of callers; nil means Network.
	Callers contract.Network
	Logger  *log.Logger
	// Metrics is the registry of the metrics; nil means one of its own.
	Metrics *metrics.Metrics
	// Clock includes suspension; nil means the operating system's boot clock.
	Clock uptime.Clock
}

// Daemon is one instance.
type Daemon struct {
	settings  settings.Settings
	network   contract.Network
	callers   contract.Network
	logger    *log.Logger
	metrics   *metrics.Metrics
	config    *config.Manager
	peers     *peer.Manager
	targets   *targets.Manager
	proxy     *proxy.Proxy
	directory *directory.Directory
	admin     *admin.Admin
	vmList    *vmlist.Follower
}

// Run serves until the context ends, then performs a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = d.metrics.Close() }()
	d.connectChildren()
	stopTree := d.startTree(ctx)
	defer stopTree()
	callers := d.callerServer()
	operators, operatorListener := pageserver.New(listeners.admin, d.adminEngine(), d.adminLimit(), d.framingOptions())
	connections := readahead.Watch(callers)
	d.proxy.UseMakeRoom(connections.CloseHolding)
	limited := connlimit.NewListener(listeners.callers, d.callerLimit(connections))
	go serve(callers, readahead.Listener(limited, d.callerFraming(connections)))
	go serve(operators, operatorListener)
	go func() { _ = d.peers.Serve(listeners.peers) }()
	events.DaemonStarted.Log(d.logger, "vm", d.settings.VM, "callers", d.settings.Listen.Callers)

	<-ctx.Done()
	d.proxy.StopBy(signals.StopOf(ctx).Sent().Add(drainTime(d.settings.Stop)))
	return d.stop(context.WithoutCancel(ctx), draining.Server{HTTP: callers, Listener: listeners.callers, Connections: connections}, operators)
}

// connectChildren gives children the other children that they call but are not constructed with.
func (d *Daemon) connectChildren() {
	d.peers.UseConfiguration(d.config)
	d.peers.UseConfigServer(d.config)
	d.peers.UseForwarder(d.proxy)
	d.peers.UseLeaser(d.targets)
	d.targets.SetNews(d.peers)
	d.targets.UseLeases(d.settings.Fleet)
}

// startTree starts the children that work in the background. The returned
// function stops them and waits until they have returned.
func (d *Daemon) startTree(ctx context.Context) (stop func()) {
	tree := supervisor.New("primroseloomd", d.logger)
	tree.Add("config", d.config)
	tree.Add("peer", d.peers)
	tree.Add("targets", d.targets)
	tree.Add("proxy", d.proxy)
	tree.Add("vmlist", d.vmList)
	return tree.Start(context.WithoutCancel(ctx))
}

// stop performs a planned stop: it takes this VM out of directory responses,
// for a while still serves callers that hold an older directory response, finishes
// the requests in progress and tells the peers that this instance departs.
func (d *Daemon) stop(ctx context.Context, callers draining.Server, operators *http.Server) error {
	events.DaemonStopping.Log(d.logger, "vm", d.settings.VM)
	d.peers.Leave()
	ctx, cancel := context.WithTimeout(ctx, drainTime(d.settings.Stop))
	defer cancel()
	err := d.proxy.Drain(ctx, callers, d.settings.Stop.Linger.Std())
	d.targets.StopLeases()
	d.announceDeparture(ctx)
	err = errors.Join(err, d.peers.Stop(ctx), operators.Shutdown(ctx))
	events.DaemonStopped.Log(d.logger, "vm", d.settings.VM)
	return err
}

// drainTime is how long requests in progress may take during a planned stop. The rest of the grace period is
// for the stop's last steps: callers that hold their connections must not make it longer.
func drainTime(stop settings.Stop) time.Duration {
	grace := stop.Grace.Std()
	return grace - min(stopMargin, grace/10)
}

// announceDeparture tells the other instances that this one has departed.
func (d *Daemon) announceDeparture(ctx context.Context) {
	const departTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	d.peers.Depart(ctx)
}
