package gateway

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// errUnproven means that a target's status states that the request was not run, but nothing else
// in its response does.
var errUnproven = errors.New("the target's status is no proof that the request was not run")

// passOn delivers a target's response, whichever VM got it, or returns the refusal that replaces it.
func (q *request) passOn(w http.ResponseWriter, got *targetResponse) *outcome.Refusal {
	if q.isUnproven(got) {
		got.discard()
		return &outcome.Refusal{
			Outcome: outcome.MayHaveRun, Reason: outcome.ReasonTargetUnproven, Step: outcome.StepRead, Peer: q.position(),
			Cause: fmt.Errorf("%w: status %d", errUnproven, got.status),
		}
	}
	if got == q.failure {
		q.logFailure()
	}
	q.gateway.deliver(w, q, got)
	return nil
}

// isUnproven reports whether a response would tell its caller to repeat a request that must not run
// twice and may have run. A response with proof that the request did not run is replaced by a refusal
// before it gets here.
func (q *request) isUnproven(got *targetResponse) bool {
	return !q.route.Kind.Idempotent() && statesNotRun(got.status)
}

// statesNotRun reports whether callers take a status as proof that their request was not run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
