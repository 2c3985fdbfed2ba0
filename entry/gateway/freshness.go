package gateway

import (
	"context"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// keysWait is about the time until the next confirmation of the routes.
const keysWait = 700 * time.Millisecond

// KeyFreshness tells whether this VM may serve requests with keys by its routes.
type KeyFreshness interface {
	// Current reports whether the routes that Table returns from now on are current enough.
	Current() bool
	// Used records that a request with a key arrived.
	Used()
}

// keysCurrent reports whether this VM may serve requests with keys. It is called before the
// routes are read, so that they are at least those that were confirmed.
func (g *Gateway) keysCurrent() bool { return g.options.Keys == nil || g.options.Keys.Current() }

// checkKey authenticates a request. While this VM's routes are not current, a request with a
// key is left to another VM, which authenticates it, whether or not the key is known here;
// one that another VM has forwarded is refused, so that that VM tries the next.
func (q *request) checkKey(table *routing.Table, route *routing.Route, isCurrent bool) *outcome.Refusal {
	hasKey := table.HasCustomers() && !route.Public && q.metadata.Key != ""
	if hasKey && q.gateway.options.Keys != nil {
		q.gateway.options.Keys.Used()
	}
	switch {
	case !hasKey || isCurrent:
		if !q.authenticate(table, route) {
			return refuse(outcome.ReasonUnknownCustomer, outcome.StepIdentify, 0)
		}
	case q.isForwarded:
		return refuse(outcome.ReasonKeysNotCurrent, outcome.StepIdentify, keysWait)
	default:
		q.keysNotCurrent = true
	}
	return nil
}

// forwardToCurrent lets a VM whose routes are current serve the request, or refuses it.
func (q *request) forwardToCurrent(ctx context.Context) (*targetResponse, *outcome.Refusal) {
	got, refusal, ok := q.tryCarriers(ctx, q.gateway.options.Carriers.CurrentCarrier)
	if ok {
		return got, refusal
	}
	return nil, refuse(outcome.ReasonKeysNotCurrent, outcome.StepIdentify, keysWait)
}
