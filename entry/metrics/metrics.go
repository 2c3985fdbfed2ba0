// Package metrics collects the instance's metrics and serves them to a scraper.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often values are copied from the scope to the scraped page.
const reportInterval = time.Second

// Metrics is the root of an instance's metrics.
type Metrics struct {
	scope    tally.Scope
	reporter tallyprometheus.Reporter
	closer   io.Closer
}

// New returns an empty set of metrics with a registry of its own.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "primroseloom",
		CachedReporter: reporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{scope: scope, reporter: reporter, closer: closer}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
