package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// ProblemMediaType is the media type of refusals.
const ProblemMediaType = "application/problem+json"

// Problem is the body of a refusal, in the format of RFC 9457.
type Problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Reason  outcome.Reason  `json:"reason"`
	Outcome outcome.Outcome `json:"outcome"`
	Step    outcome.Step    `json:"step"`
	Peer    string          `json:"peer,omitempty"`
	Detail  string          `json:"detail,omitempty"`
}

// statusOf maps a reason to an HTTP status.
func statusOf(reason outcome.Reason) int {
	switch reason {
	case outcome.ReasonBadRequest, outcome.ReasonKeyMalformed:
		return http.StatusBadRequest
	case outcome.ReasonUnknownHost:
		return http.StatusNotFound
	case outcome.ReasonUnknownCustomer:
		return http.StatusUnauthorized
	case outcome.ReasonRouteNotAllowed:
		return http.StatusForbidden
	case outcome.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.ReasonRateLimit, outcome.ReasonConcurrencyLimit, outcome.ReasonQueueFull:
		return http.StatusTooManyRequests
	case outcome.ReasonKeyWindowClosed, outcome.ReasonAlreadyRan:
		return http.StatusConflict
	case outcome.ReasonKeyReused, outcome.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case outcome.ReasonDeadlineExceeded, outcome.ReasonTargetTimeout:
		return http.StatusGatewayTimeout
	case outcome.ReasonTargetReset, outcome.ReasonTargetTruncated, outcome.ReasonTargetWrongAnswer,
		outcome.ReasonDispatcherGone, outcome.ReasonDispatcherUnreached:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// writeRefusal sends a refusal to the caller.
func writeRefusal(w *replyWriter, refusal *outcome.Refusal) {
	status := statusOf(refusal.Reason)
	problem := Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Reason:  refusal.Reason,
		Outcome: refusal.Outcome,
		Step:    refusal.Step,
		Peer:    refusal.Peer,
		Detail:  refusal.Error(),
	}
	body, err := json.Marshal(problem)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Content-Type", ProblemMediaType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(OutcomeHeader, string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
