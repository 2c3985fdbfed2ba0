package directory

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// The refusal reasons that only the directory uses.
const (
	ReasonUnknownService outcome.Reason = "unknown_service"
	ReasonNoVM           outcome.Reason = "no_vm"
)

// StepDirectory is the processing step in the directory's refusals.
const StepDirectory outcome.Step = "directory"

// retryLater is the Retry-After of refusals for a temporary reason.
const retryLater = time.Second

// Refusal is the problem document for a directory query that could not be served.
type Refusal struct {
	Status int            `json:"status"`
	Title  string         `json:"title"`
	Reason outcome.Reason `json:"reason"`
	// Outcome is always not_run, since the directory runs no request.
	Outcome outcome.Outcome `json:"outcome"`
	Step    outcome.Step    `json:"step"`
	// Peer is the VM that refused.
	Peer       string        `json:"peer"`
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"-"`
}

func newRefusal(status int, reason outcome.Reason, detail string) *Refusal {
	return &Refusal{Status: status, Title: http.StatusText(status), Reason: reason,
		Outcome: outcome.NotRun, Step: StepDirectory, Detail: detail}
}

func refuseBadRequest() *Refusal {
	return newRefusal(http.StatusBadRequest, outcome.ReasonBadRequest, "the query needs the parameters service and customer")
}

func refuseNoConfiguration() *Refusal {
	refusal := newRefusal(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, "no configuration is in force on this VM yet; ask another one")
	refusal.RetryAfter = retryLater
	return refusal
}

func refusePaused() *Refusal {
	refusal := newRefusal(http.StatusServiceUnavailable, outcome.ReasonPaused, "this VM was paused and checks its view of the fleet; ask another one")
	refusal.RetryAfter = retryLater
	return refusal
}

func refuseUnknownService(service string) *Refusal {
	return newRefusal(http.StatusNotFound, ReasonUnknownService, "there is no service "+strconv.Quote(service))
}

func refuseUnknownCustomer(customer string) *Refusal {
	return newRefusal(http.StatusNotFound, outcome.ReasonUnknownCustomer, "there is no customer "+strconv.Quote(customer))
}

func refuseServiceNotAllowed(service, customer string) *Refusal {
	return newRefusal(http.StatusForbidden, outcome.ReasonRouteNotAllowed,
		"customer "+strconv.Quote(customer)+" may not use service "+strconv.Quote(service))
}

func refuseNoVM(service string) *Refusal {
	refusal := newRefusal(http.StatusServiceUnavailable, ReasonNoVM, "no VM of this region takes callers of service "+strconv.Quote(service))
	refusal.RetryAfter = retryLater
	return refusal
}

// refuse responds with a problem document, and counts and logs the reason.
func (d *Directory) refuse(c *gin.Context, refusal *Refusal) {
	refusal.Peer = d.members.Self().Vm
	d.scope.Tagged(map[string]string{"reason": string(refusal.Reason)}).Counter("refusals").Inc(1)
	events.DirectoryRefused.Log(d.logger, "reason", string(refusal.Reason), "caller", c.Request.RemoteAddr, "detail", refusal.Detail)
	c.Header("Content-Type", "application/problem+json")
	c.Header("Primroseloom-Outcome", string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(refusal.RetryAfter.Seconds())))
	}
	c.JSON(refusal.Status, refusal)
}
