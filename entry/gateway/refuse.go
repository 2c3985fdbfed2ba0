package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/readahead"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/placement"
)

// Times after which the caller may retry a refused request.
const (
	// noConfigurationWait is about the time that an instance needs to read the routes.
	noConfigurationWait = 400 * time.Millisecond
	// noTargetWait is about the time until a target is usable again.
	noTargetWait = 400 * time.Millisecond
	// shedWait is about the time of one request at a target that had no free slot.
	shedWait = 150 * time.Millisecond
	// retryJitter is the fraction by which the time is varied in both directions, so
	// that requests that were refused together are not retried together.
	retryJitter = 0.5
	// maxHeldSpread bounds the time by which callers are told to come later than a target
	// takes requests again that has asked for a pause; before that they would come in vain.
	maxHeldSpread = time.Second
)

// refuse returns the refusal of a request that did not run.
func refuse(reason outcome.Reason, step outcome.Step, retryAfter time.Duration) *outcome.Refusal {
	return &outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Step: step, RetryAfter: retryAfter}
}

// retryAfterFor returns the time after which a target may be free when placement
// refused the request.
func retryAfterFor(refusal *targetset.Refusal) time.Duration {
	if refusal.Reason == placement.ReasonNoTarget {
		return noTargetWait
	}
	return max(refusal.RetryAfter, shedWait)
}

// addJitter varies the wait of a refusal at random, so that callers do not all retry at
// once.
func addJitter(refusal *outcome.Refusal) time.Duration {
	wait := refusal.RetryAfter
	if refusal.Reason == outcome.ReasonTargetPaused || refusal.Reason == outcome.ReasonTargetLimited {
		spread := min(time.Duration(retryJitter*float64(wait)), maxHeldSpread)
		return wait + time.Duration(rand.Float64()*float64(spread))
	}
	return time.Duration(float64(wait) * (1 + retryJitter*(2*rand.Float64()-1)))
}

// refuse responds to a request that the gateway does not serve.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, refusal *outcome.Refusal) {
	status := statusOf(refusal)
	g.metrics.refused(refusal.Reason)
	version := uint64(0)
	if table := g.options.Table(); table != nil {
		version = table.Version()
	}
	events.RequestNotServed.Log(g.options.Logger, "request", q.metadata.AttemptID, "status", status, "outcome", refusal.Outcome,
		"reason", refusal.Reason, "step", refusal.Step, "peer", refusal.Peer, "fingerprint", q.fingerprint, "caller", q.caller.RemoteAddr, "resource", q.identity.ResourceText(), "query", q.identity.Query, "refused_as", q.refusedAs, "tried", len(q.attempted), "routes_version", version,
		"after_ms", time.Since(q.start).Milliseconds(), "cause", refusal.Cause)
	retryAfter := time.Duration(0)
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && refusal.RetryAfter > 0 {
		retryAfter = addJitter(refusal)
	}
	g.options.Dialect.WriteRefusal(w.Header(), retryAfter)
	q.leaveBody(w)
	readahead.LeaveBody(w, q.caller)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(minProgressTimeout)) // not supported: the caller is another VM, which reads
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// statusOf returns the HTTP status for a refusal.
func statusOf(refusal *outcome.Refusal) int {
	switch refusal.Reason {
	case outcome.ReasonBadRequest:
		return http.StatusBadRequest
	case outcome.ReasonUnknownHost:
		return http.StatusNotFound
	case outcome.ReasonUnknownCustomer:
		return http.StatusUnauthorized
	case outcome.ReasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case outcome.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case refusal.Outcome == outcome.NotRun && refusal.Reason == outcome.ReasonRateLimit:
		return http.StatusTooManyRequests
	case refusal.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	}
	if refusal.Reason == outcome.ReasonTargetTimeout {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
