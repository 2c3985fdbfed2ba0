// Package proxy serves callers' requests.
package proxy

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Header fields between callers, the fleet and targets.
const (
	CredentialHeader  = "Primroseloom-Credential"
	TimeoutHeader     = "Primroseloom-Timeout-Ms"
	OutcomeHeader     = "Primroseloom-Outcome"
	CorrelationHeader = "Primroseloom-Correlation"
)

// Proxy answers callers from targets.
type Proxy struct {
	configuration contract.Configuration
	targets       contract.Targets
}

// New returns a proxy over the given targets.
func New(configuration contract.Configuration, targets contract.Targets) *Proxy {
	return &Proxy{configuration: configuration, targets: targets}
}

// Handle serves one request.
func (p *Proxy) Handle(c *gin.Context) {
	if err := p.serve(c.Writer, c.Request); err != nil {
		var refusal *outcome.Refusal
		if !errors.As(err, &refusal) {
			refusal = contract.Refuse(outcome.MayHaveRun, outcome.ReasonTargetReset, outcome.StepRead, "", err)
		}
		c.Header(OutcomeHeader, string(refusal.Outcome))
		c.Header("Content-Type", "application/problem+json")
		c.JSON(http.StatusServiceUnavailable, gin.H{
			"reason": refusal.Reason, "outcome": refusal.Outcome, "step": refusal.Step, "peer": refusal.Peer,
		})
	}
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request) error {
	snap := p.configuration.Current()
	if snap == nil {
		return contract.Refuse(outcome.NotRun, outcome.ReasonNoConfiguration, outcome.StepRoute, "", nil)
	}
	customer, ok := snap.Identify(r.Header.Get(CredentialHeader))
	if !ok {
		return contract.Refuse(outcome.NotRun, outcome.ReasonUnknownCustomer, outcome.StepIdentify, r.RemoteAddr, nil)
	}
	route, ok := snap.Route(r.Host, r.URL.Path)
	if !ok {
		return contract.Refuse(outcome.NotRun, outcome.ReasonUnknownHost, outcome.StepRoute, r.Host, nil)
	}
	deadline := time.Now().Add(customer.Limits.Deadline.Std())
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	grant, err := p.targets.Acquire(ctx, contract.AcquireRequest{Service: route.Service, Customer: customer.Name, Deadline: deadline})
	if err != nil {
		return err
	}
	return p.attempt(ctx, w, r, grant, deadline)
}

func (p *Proxy) attempt(ctx context.Context, w http.ResponseWriter, r *http.Request, grant contract.Grant, deadline time.Time) error {
	result := contract.AttemptResult{Kind: contract.AttemptReset}
	defer func() { grant.Done(result) }()
	peer := grant.Target().Name
	outgoing := r.Clone(ctx)
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = grant.Target().Address
	outgoing.RequestURI = ""
	outgoing.Header.Del(CredentialHeader)
	correlation := rand.Text()
	outgoing.Header.Set(CorrelationHeader, correlation)
	outgoing.Header.Set(TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	response, err := grant.RoundTrip(outgoing)
	if err != nil {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonTargetReset, outcome.StepRead, peer, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get(CorrelationHeader) != correlation {
		return contract.Refuse(outcome.MayHaveRun, outcome.ReasonTargetWrongAnswer, outcome.StepRead, peer, nil)
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(OutcomeHeader, string(outcome.Answered))
	w.WriteHeader(response.StatusCode)
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	result.Kind = contract.AttemptSucceeded
	return nil
}
