// Package daemon assembles the supervisor tree of one instance.
//
// The children are the directories beside this one: platform, config, peer,
// targets, proxy, directory and admin. fx builds them from the settings; the
// supervisor runs those that have work of their own; the listeners hand
// requests to the others.
package daemon

import (
	"context"
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

// Run serves until the context ends, then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	listeners, err := d.listen(ctx)
	if err != nil {
		return err
	}
	d.peers.UseConfiguration(d.config)
	d.peers.UseConfigServer(d.config)
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
