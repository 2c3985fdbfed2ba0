package frontend

import (
	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/settings"
)

// maxCallerConnections bounds callers' open connections whatever the machine is.
const maxCallerConnections = 3000

// maxConnections returns the number of callers' connections that may be open.
func maxConnections(machine settings.Machine) int {
	return connlimit.Callers(connlimit.Sockets(machine.Descriptors), machine.MemoryMB, maxCallerConnections)
}

// callerLimit returns the limit on callers' connections.
func (f *Frontend) callerLimit(connections *readahead.Watcher) connlimit.Options {
	limit := f.connectionLimit("callers", maxConnections(f.options.Settings.Machine))
	limit.MakeRoom = connections.CloseWaiting
	return limit
}

// pageLimit returns the limit on the connections of a page, which may use a share of the sockets.
func (f *Frontend) pageLimit(name string, share float64) connlimit.Options {
	sockets := connlimit.Sockets(f.options.Settings.Machine.Descriptors)
	return f.connectionLimit(name, connlimit.Share(sockets, share, connlimit.MaxPageConnections))
}

func (f *Frontend) connectionLimit(name string, limit int) connlimit.Options {
	return connlimit.Options{Name: name, Limit: limit, Logger: f.options.Logger, Scope: f.metrics.Scope()}
}
