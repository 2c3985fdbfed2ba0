package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

// latencyBuckets are the bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// counters counts requests and attempts by their result.
type counters struct{ scope tally.Scope }

func newCounters(scope tally.Scope) *counters { return &counters{scope: scope} }

func (c *counters) tagged(name, value string) tally.Scope {
	return c.scope.Tagged(map[string]string{name: value})
}

// answered counts a response of a target that was passed on.
func (c *counters) answered(kind routing.Kind, status int, start time.Time) {
	scope := c.scope.Tagged(map[string]string{"kind": string(kind), "class": strconv.Itoa(status/100) + "xx"})
	scope.Counter("requests_answered").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(time.Since(start))
}

// refused counts a request to which the gateway itself responded.
func (c *counters) refused(reason outcome.Reason) {
	c.tagged("reason", string(reason)).Counter("requests_refused").Inc(1)
}

// failed counts an attempt that did not serve its request.
func (c *counters) failed(reason outcome.Reason) {
	c.tagged("reason", string(reason)).Counter("attempts_failed").Inc(1)
}

// retried counts an attempt that is followed by another.
func (c *counters) retried(reason outcome.Reason) {
	c.tagged("reason", string(reason)).Counter("retries").Inc(1)
}

// forwarded counts a request that was forwarded to another VM, by why that VM refused it;
// empty when it did not.
func (c *counters) forwarded(refused outcome.Reason) {
	c.tagged("refused", string(refused)).Counter("requests_forwarded").Inc(1)
}

// notRetried counts a failed attempt that is not followed by another.
func (c *counters) notRetried(reason retry.Reason) {
	c.tagged("reason", string(reason)).Counter("retries_not_made").Inc(1)
}

// streamed counts a response that was passed on while it was read, since there was no memory
// to hold it.
func (c *counters) streamed() { c.scope.Counter("responses_not_held").Inc(1) }

// slowCaller counts a response that was ended since its caller did not read it.
func (c *counters) slowCaller() { c.scope.Counter("slow_callers_ended").Inc(1) }

// cut counts a request in progress at the end of a planned stop.
func (c *counters) cut() { c.scope.Counter("requests_cut").Inc(1) }

// hedged counts a second attempt beside one in progress.
func (c *counters) hedged() { c.scope.Counter("hedges").Inc(1) }

// hedgeWon counts a second attempt whose response was passed on in place of the first one's.
func (c *counters) hedgeWon() { c.scope.Counter("hedges_won").Inc(1) }

// notHedged counts a request that was slow and got no second attempt, by the latest reason.
func (c *counters) notHedged(reason hedge.Reason) {
	c.tagged("reason", string(reason)).Counter("hedges_not_made").Inc(1)
}
