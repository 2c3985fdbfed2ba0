package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/proxy"
	"github.com/primroseloom/primroseloom/entry/readahead"
)

type listenerSet struct {
	callers, peers, admin net.Listener
}

func (d *Daemon) listen(ctx context.Context) (listenerSet, error) {
	var set listenerSet
	var failures []error
	for _, entry := range []struct {
		network contract.Network
		address string
		into    *net.Listener
	}{
		{d.callers, d.settings.Listen.Callers, &set.callers},
		{d.network, d.settings.Listen.Peers, &set.peers},
		{d.network, d.settings.Listen.Admin, &set.admin},
	} {
		listener, err := entry.network.Listen(ctx, entry.address)
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
		HeaderBytes:   limits.HeaderBytes,
		HeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:   limits.IdleTimeout.Std(),
		Logger:        d.logger,
	})
}

// callerLimit returns the limit on callers' connections.
func (d *Daemon) callerLimit(connections *readahead.Watcher) connlimit.Options {
	limits := d.settings.Limits
	limit := d.connectionLimit("callers", connlimit.Callers(connlimit.Sockets(limits.Descriptors), memoryMB(limits), limits.CallerConnections))
	limit.MakeRoom = connections.CloseWaiting
	return limit
}

// adminLimit returns the limit on the connections of operators.
func (d *Daemon) adminLimit() connlimit.Options {
	sockets := connlimit.Sockets(d.settings.Limits.Descriptors)
	return d.connectionLimit("admin", connlimit.Share(sockets, connlimit.AdminShare, connlimit.MaxPageConnections))
}

func (d *Daemon) connectionLimit(name string, limit int) connlimit.Options {
	return connlimit.Options{Name: name, Limit: limit, Logger: d.logger, Scope: d.metrics.Scope()}
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
			readahead.LeaveBody(w, r) // the directory reads none
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
