package targets

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/health"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

// durationBuckets are the bounds of the duration histograms.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)

// serviceMetrics holds the metrics of one service.
type serviceMetrics struct {
	scope           tally.Scope
	queueWait       tally.Histogram
	attemptDuration tally.Histogram
}

func newServiceMetrics(scope tally.Scope, service string) serviceMetrics {
	scope = scope.SubScope("targets").Tagged(map[string]string{"service": service})
	return serviceMetrics{
		scope:           scope,
		queueWait:       scope.Histogram("queue_wait_seconds", durationBuckets),
		attemptDuration: scope.Histogram("attempt_seconds", durationBuckets),
	}
}

func (m serviceMetrics) recordWait(wait time.Duration) { m.queueWait.RecordDuration(wait) }

func (m serviceMetrics) recordAttempt(result contract.AttemptResult) {
	m.attemptDuration.RecordDuration(result.Total)
	m.scope.Tagged(map[string]string{"kind": string(result.Kind)}).Counter("attempts_total").Inc(1)
}

func (m serviceMetrics) countRefusal(reason outcome.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals_total").Inc(1)
}

func (m serviceMetrics) countRetry(reason retry.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries_total").Inc(1)
}

// countStateChange counts a change of a target's health state by the state
// entered.
func (m serviceMetrics) countStateChange(state health.State) {
	m.scope.Tagged(map[string]string{"state": string(state)}).Counter("health_changes_total").Inc(1)
}

func (m serviceMetrics) countProbe(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("probes_total").Inc(1)
}

func (m serviceMetrics) updateGauges(waiting, inFlight, connections int) {
	m.scope.Gauge("waiting_requests").Update(float64(waiting))
	m.scope.Gauge("in_flight_attempts").Update(float64(inFlight))
	m.scope.Gauge("open_connections").Update(float64(connections))
}
