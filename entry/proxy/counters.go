package proxy

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// counters are the proxy's metrics.
type counters struct {
	scope    tally.Scope
	answered tally.Counter
	forwards tally.Counter
	replayed tally.Counter
	joined   tally.Counter
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("proxy")
	return counters{
		scope:    scope,
		answered: scope.Counter("answered"),
		forwards: scope.Counter("forwarded"),
		replayed: scope.Counter("answered_from_record"),
		joined:   scope.Counter("joined"),
	}
}

// countRefusal counts a refusal by its reason and outcome.
func (c counters) countRefusal(refusal *outcome.Refusal) {
	tags := map[string]string{"reason": string(refusal.Reason), "outcome": string(refusal.Outcome)}
	c.scope.Tagged(tags).Counter("refused").Inc(1)
}

// countRetry counts a retry by the reason of the attempt that failed.
func (c counters) countRetry(reason outcome.Reason) {
	c.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retried").Inc(1)
}

func (p *Proxy) logRefusal(r *http.Request, refusal *outcome.Refusal) {
	if p.options.Logger == nil {
		return
	}
	event := events.RequestRefused
	if refusal.Outcome == outcome.MayHaveRun {
		event = events.RequestUncertain
	}
	event.Log(p.options.Logger, "reason", refusal.Reason, "step", refusal.Step, "peer", refusal.Peer,
		"method", r.Method, "host", r.Host, "cause", refusal.Cause)
}
