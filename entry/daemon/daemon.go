// Package daemon assembles the supervisor tree of one instance.
//
// The children are the directories beside this one: platform, config, peer,
// targets, proxy, directory and admin. fx builds them from the settings; the
// supervisor runs those that have work of their own; the listeners hand
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
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/directory"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/peer"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/supervisor"
	"github.com/primroseloom/primroseloom/entry/targets"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/entry/vmlist"
)

// Options are what an instance is built from.
type Options struct {
	Settings settings.Settings
	Network  contract.Network
	Logger   *log.Logger
	// Clock counts suspension; nil means the operating system's boot clock.
	Clock uptime.Clock
}

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
	vms       *vmlist.Follower
}

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = d.metrics.Close() }()
	d.join()
	stopTree := d.startTree(ctx)
	defer stopTree()
	callers := d.callerServer()
	operators := &http.Server{Handler: d.adminEngine(), ReadHeaderTimeout: d.settings.Limits.HeaderTimeout.Std()}
	go serve(callers, proxy.LimitListener(listeners.callers, d.settings.Limits.CallerConnections))
	go serve(operators, listeners.admin)
	go func() { _ = d.peers.Serve(listeners.peers) }()
	events.DaemonStarted.Log(d.logger, "vm", d.settings.VM, "callers", d.settings.Listen.Callers)

	<-ctx.Done()
	return d.stop(context.WithoutCancel(ctx), callers, operators)
}

// join hands the children to one another where they need each other.
func (d *Daemon) join() {
	d.peers.UseConfiguration(d.config)
	d.peers.UseConfigServer(d.config)
	d.peers.UseForwarder(d.proxy)
	d.peers.UseLeaser(d.targets)
	d.targets.SetNews(d.peers)
	d.targets.UseLeases(d.settings.Fleet)
}

// startTree runs the children that have work of their own; the function
// returned stops them and waits until they have returned.
func (d *Daemon) startTree(ctx context.Context) (stop func()) {
	tree := supervisor.New("primroseloomd", d.logger)
	tree.Add("config", d.config)
	tree.Add("peer", d.peers)
	tree.Add("targets", d.targets)
	tree.Add("proxy", d.proxy)
	tree.Add("vmlist", d.vms)
	return tree.Start(context.WithoutCancel(ctx))
}

// stop is the planned stop: it leaves the directory's answers, serves callers
// that hold an old one, finishes what is in progress and tells the peers.
func (d *Daemon) stop(ctx context.Context, callers, operators *http.Server) error {
	events.DaemonStopping.Log(d.logger, "vm", d.settings.VM)
	d.peers.Leave()
	ctx, cancel := context.WithTimeout(ctx, d.settings.Stop.Grace.Std())
	defer cancel()
	err := d.proxy.Drain(ctx, callers, d.settings.Stop.Linger.Std())
	d.targets.StopLeases()
	d.depart(ctx)
	err = errors.Join(err, d.peers.Stop(ctx), operators.Shutdown(ctx))
	events.DaemonStopped.Log(d.logger, "vm", d.settings.VM)
	return err
}

// depart tells the other instances that this one is gone.
func (d *Daemon) depart(ctx context.Context) {
	const patience = time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	d.peers.Depart(ctx)
}
