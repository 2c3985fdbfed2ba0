package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/placement"
)

// Times after which a refused request may come back.
const (
	// noConfigurationWait is about what an instance takes to read the routes.
	noConfigurationWait = 400 * time.Millisecond
	// noTargetWait is about what it takes until a target is usable again.
	noTargetWait = 400 * time.Millisecond
	// shedWait is about one request's work at a target that had no room.
	shedWait = 150 * time.Millisecond
	// returnSpread spreads the return of requests that were refused together.
	returnSpread = 0.5
)

// refuse builds a refusal of a request that did not run.
func refuse(reason outcome.Reason, step outcome.Step, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Step: step, RetryAfter: retryAfter}
}

// returnTime tells when capacity may be free after a refusal by the choice.
func returnTime(refusal *targetset.Refusal) time.Duration {
	if refusal.Reason == placement.ReasonNoTarget {
		return noTargetWait
	}
	return max(refusal.RetryAfter, shedWait)
}

// spread varies a time, so that callers do not come back all at once.
func spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + returnSpread*(2*rand.Float64()-1)))
}

// refuse answers a request that the gateway does not serve.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, refusal *outcome.Refusal) {
	status := statusOf(refusal)
	g.metrics.refused(refusal.Reason)
	version := uint64(0)
	if table := g.options.Table(); table != nil {
		version = table.Version()
	}
	events.RequestUnserved.Log(g.options.Logger, "request", q.told.AttemptID, "status", status, "outcome", refusal.Outcome,
		"reason", refusal.Reason, "step", refusal.Step, "peer", refusal.Peer, "tried", len(q.tried), "routes_version", version,
		"after_ms", time.Since(q.began).Milliseconds(), "cause", refusal.Cause)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable && refusal.RetryAfter > 0 {
		retryAfter = spread(refusal.RetryAfter)
	}
	g.options.Dialect.WriteRefusal(w.Header(), retryAfter)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// statusOf returns the status that tells a caller what became of its request.
func statusOf(refusal *outcome.Refusal) int {
	switch refusal.Reason {
	case outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonUnknownHost:
		return http.StatusNotFound
	case outcome.ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case outcome.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if refusal.Outcome == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	if refusal.Reason == outcome.ReasonTargetTimeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
