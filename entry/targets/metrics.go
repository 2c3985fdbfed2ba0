package targets

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/health"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

// timeBuckets are the bounds of the histograms of times.
var timeBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)

// serviceMetrics holds the metrics of one service.
type serviceMetrics struct {
	scope  tally.Scope
	queued tally.Histogram
	total  tally.Histogram
}

func newServiceMetrics(scope tally.Scope, service string) serviceMetrics {
	scope = scope.SubScope("targets").Tagged(map[string]string{"service": service})
	return serviceMetrics{
		scope:  scope,
		queued: scope.Histogram("queue_wait_seconds", timeBuckets),
		total:  scope.Histogram("attempt_seconds", timeBuckets),
	}
}

func (m serviceMetrics) waited(wait time.Duration) { m.queued.RecordDuration(wait) }

func (m serviceMetrics) ended(result contract.AttemptResult) {
	m.total.RecordDuration(result.Total)
	m.scope.Tagged(map[string]string{"kind": string(result.Kind)}).Counter("attempts_total").Inc(1)
}

func (m serviceMetrics) refused(reason outcome.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals_total").Inc(1)
}

func (m serviceMetrics) retried(reason retry.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries_total").Inc(1)
}

// entered counts the changes of targets' health states.
func (m serviceMetrics) entered(state health.State) {
	m.scope.Tagged(map[string]string{"state": string(state)}).Counter("health_changes_total").Inc(1)
}

func (m serviceMetrics) probed(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("probes_total").Inc(1)
}

func (m serviceMetrics) gauges(waiting, inFlight, connections int) {
	m.scope.Gauge("waiting_requests").Update(float64(waiting))
	m.scope.Gauge("in_flight_attempts").Update(float64(inFlight))
	m.scope.Gauge("open_connections").Update(float64(connections))
}
