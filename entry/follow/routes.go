package follow

import (
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/freshness"
)

// routesTellInterval is the time between two announcements made because another instance
// has older routes.
const routesTellInterval = time.Second

// Table returns the routes in force, or nil before the first version.
func (f *Follower) Table() *routing.Table { return f.table.Load() }

// RoutesVersion returns the version of the routes in force, or zero before the first.
func (f *Follower) RoutesVersion() uint64 {
	if table := f.table.Load(); table != nil {
		return table.Version()
	}
	return 0
}

// applyRoutes puts the routes of an item in force if their version is newer; the lock is
// held.
func (f *Follower) applyRoutes(document *routing.Document, item Item) {
	if f.table.Load() != nil && document.Version <= f.RoutesVersion() {
		return
	}
	table, err := routing.CompileAfter(f.table.Load(), *document)
	if err != nil {
		events.RoutesRefused.Log(f.options.Logger, "version", document.Version, "cause", err)
		return
	}
	f.table.Store(table)
	f.newestRoutes = item
	f.keys.update(func(state *freshness.State) { state.Applied(table.Version()) })
	events.RoutesInForce.Log(f.options.Logger, "version", table.Version(), "routes", len(document.Routes), "customers", table.CustomerCount())
	f.reportProblems(table)
	f.options.Scope.Gauge("routes_version").Update(float64(table.Version()))
	f.options.Listener.RoutesChanged(table)
}

// errNoRoutes means that an item which another instance passed as its routes holds none.
var errNoRoutes = errors.New("the item holds no routes")

// applyNewestRoutes applies the routes that another instance has in force.
func (f *Follower) applyNewestRoutes(item Item) {
	entry, err := f.decodeItem(item, f.options.Uptime())
	if err == nil && entry.Routes == nil {
		err = errNoRoutes
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.logUnusable(item, err)
		return
	}
	f.applyRoutes(entry.Routes, item)
}

// newestRoutesFor returns the item with the routes in force if their version is higher; nil for none.
func (f *Follower) newestRoutesFor(version uint64) *Item {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.RoutesVersion() <= version {
		return nil
	}
	newest := f.newestRoutes
	return &newest
}

// routesNewerThan returns the item with the routes in force if their version is higher
// and the listing for a position does not hold them.
func (f *Follower) routesNewerThan(version uint64, after contract.StorePosition) *Item {
	newest := f.newestRoutesFor(version)
	if newest == nil || f.history.sends(after, *newest) {
		return nil
	}
	return newest
}

// tellNewerRoutes announces this instance's routes to an instance that has announced
// older ones. An instance that has started while the store had only a copy cannot learn
// of them otherwise, if this one sends it no heartbeats.
func (f *Follower) tellNewerRoutes(version uint64) {
	now := f.options.Uptime()
	f.mu.Lock()
	isDue := version > 0 && version < f.RoutesVersion() && now-f.routesToldAt >= routesTellInterval
	if isDue {
		f.routesToldAt = now
	}
	f.mu.Unlock()
	if isDue && f.options.Announce != nil {
		f.options.Announce()
	}
}

// maxLoggedProblems bounds the problems of one version that are logged; all are counted.
const maxLoggedProblems = 20

// reportProblems logs and counts the parts of the routes that are left out or restricted.
func (f *Follower) reportProblems(table *routing.Table) {
	problems := table.Problems()
	f.options.Scope.Gauge("routes_problems").Update(float64(len(problems)))
	for _, problem := range problems[:min(len(problems), maxLoggedProblems)] {
		events.RoutesProblem.Log(f.options.Logger, "version", table.Version(), "path", problem.Path, "reason", problem.Reason)
	}
}
