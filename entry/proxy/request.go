package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/internal/requestpath"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// Bounds on request timeouts.
const (
	// fallbackTimeout is the timeout when caller, template and service set none.
	fallbackTimeout = 30 * time.Second
	// maxTimeout is the longest timeout that a caller may set.
	maxTimeout = 10 * time.Minute
)

// call is one request in progress.
type call struct {
	request    *http.Request
	customer   string
	service    *document.Service
	idempotent bool
	// key is nil for a request without an idempotency key.
	key *dispatch.Key
	// deadline is the time by which the request must have ended;
	// expiresAtUptime is the same on the instance's uptime clock, which also
	// runs while the VM is suspended.
	deadline        time.Time
	expiresAtUptime time.Duration
	// ctx ends when the caller disconnects or at the deadline.
	ctx         context.Context
	cancel      context.CancelFunc
	upload      *upload
	identity    quarantine.Identity
	fingerprint quarantine.Fingerprint
	// held is what the request has reserved for its response; it is released at the request's end.
	held *bufferHold
	// kept is what the request has reserved for what its caller sends, until its end.
	kept *bufferHold
	// suspect is true when the request may have crashed a target before.
	suspect bool
}

// admit reads a request's head and refuses a request that cannot be served.
func (p *Proxy) admit(r *http.Request) (*call, error) {
	if err := checkHead(r); err != nil {
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonBadRequest, outcome.StepParse, r.RemoteAddr, err)
	}
	snap := p.options.Configuration.Current()
	if snap == nil {
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonNoConfiguration, outcome.StepRoute, "", nil)
	}
	customer, service, err := identify(snap, r)
	if err != nil {
		return nil, err
	}
	timeout, err := requestTimeout(r, customer, service)
	if err != nil {
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonBadRequest, outcome.StepParse, r.RemoteAddr, err)
	}
	return p.newCall(r, customer.Name, service, timeout)
}

// newCall prepares the call for a request whose customer and service are known.
func (p *Proxy) newCall(r *http.Request, customer string, service *document.Service, timeout time.Duration) (*call, error) {
	if p.limits.MaxBodyBytes > 0 && r.ContentLength > p.limits.MaxBodyBytes {
		return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonBodyTooLarge, outcome.StepParse, r.RemoteAddr, nil)
	}
	c := &call{request: r, customer: customer, service: service, idempotent: isIdempotent(service, r), held: &bufferHold{budget: &p.buffers}, kept: &bufferHold{budget: &p.callerBytes}}
	if text := r.Header.Get(KeyHeader); text != "" && !c.idempotent {
		key, err := dispatch.ParseKey(text)
		if err != nil {
			return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonKeyMalformed, outcome.StepKey, r.RemoteAddr, err)
		}
		c.key = &key
	}
	timeout, err := p.subtractPause(timeout)
	if err != nil {
		return nil, err
	}
	c.deadline = time.Now().Add(timeout)
	if err := p.refuseAtStop(c.deadline, r.RemoteAddr); err != nil {
		return nil, err
	}
	c.expiresAtUptime = p.options.Clock.Uptime() + timeout
	c.ctx, c.cancel = context.WithDeadline(r.Context(), c.deadline)
	c.upload = newUpload(r, p.limits, c.deadline, c.key != nil)
	return c, nil
}

// checkHead rejects requests that cannot be forwarded unambiguously.
func checkHead(r *http.Request) error {
	if r.Method == http.MethodConnect {
		return fmt.Errorf("method %s is not served", r.Method)
	}
	if r.URL.Path == "" || r.URL.Path[0] != '/' {
		return fmt.Errorf("request target %q: want a path", r.RequestURI)
	}
	for _, name := range []string{CredentialHeader, KeyHeader, TimeoutHeader} {
		if len(r.Header.Values(name)) > 1 {
			return fmt.Errorf("header %s is given more than once", name)
		}
	}
	return nil
}

// identify finds the customer by its credential and the service by the route.
func identify(snap *snapshot.Snapshot, r *http.Request) (*snapshot.Customer, *document.Service, error) {
	customer, ok := snap.Identify(r.Header.Get(CredentialHeader))
	if !ok {
		return nil, nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonUnknownCustomer, outcome.StepIdentify, r.RemoteAddr, nil)
	}
	route, ok := snap.Route(r.Host, requestpath.ForRoutes(r.URL))
	if !ok {
		return nil, nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonUnknownHost, outcome.StepRoute, r.RemoteAddr, nil)
	}
	service, ok := snap.Service(route.Service)
	if !ok || !customer.Services[route.Service] {
		return nil, nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonRouteNotAllowed, outcome.StepRoute, route.Service, nil)
	}
	return customer, service, nil
}

// requestTimeout returns how long the request may take.
func requestTimeout(r *http.Request, customer *snapshot.Customer, service *document.Service) (time.Duration, error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return defaultTimeout(customer, service), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fmt.Errorf("header %s: %q: want milliseconds above 0", TimeoutHeader, text)
	}
	return min(time.Duration(millis)*time.Millisecond, maxTimeout), nil
}

func defaultTimeout(customer *snapshot.Customer, service *document.Service) time.Duration {
	if timeout := customer.Limits.Deadline.Std(); timeout > 0 {
		return timeout
	}
	if timeout := service.Deadline.Std(); timeout > 0 {
		return timeout
	}
	return fallbackTimeout
}

func isIdempotent(service *document.Service, r *http.Request) bool {
	for _, rule := range service.Idempotent {
		if rule.Method == r.Method && strings.HasPrefix(requestpath.ForRoutes(r.URL), rule.PathPrefix) {
			return true
		}
	}
	return false
}
