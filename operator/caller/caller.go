// Package caller is a client of the fleet. It queries the directory for the VMs to
// use, connects to them itself, sends an idempotency key with requests that may run
// at most once, and resends requests as the documentation for callers allows.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Header fields that a caller sends and reads.
const (
	credentialHeader = "Primroseloom-Credential"
	timeoutHeader    = "Primroseloom-Timeout-Ms"
	outcomeHeader    = "Primroseloom-Outcome"
	keyHeader        = "Idempotency-Key"
	requestIDHeader  = "Request-Id"
)

// directoryTimeout bounds one directory query.
const directoryTimeout = 2 * time.Second

// Options configures a caller.
type Options struct {
	// Entrances are "IP:port" addresses of VMs that answer directory queries.
	Entrances []string
	Service   string
	Customer  string
	// Credential is the customer's secret.
	Credential string
	// Host is the host name that routes to the service.
	Host string
	// Timeout limits the time of each request, resends included.
	Timeout time.Duration
	// Resends is how often a request with an idempotency key may be resent.
	Resends int
	// Dial connects to an address; nil means the default of net/http.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Request is one request of the application that uses the caller.
type Request struct {
	// ID identifies the request in the targets' records.
	ID     string
	Method string
	Path   string
	Body   []byte
	// AtMostOnce sends an Idempotency-Key.
	AtMostOnce bool
}

// Result is the result of a request as seen by the caller.
type Result struct {
	Outcome outcome.Outcome
	Reason  string
	Status  int
	Body    []byte
	// Truncated is true when the response body ended early.
	Truncated bool
	// VM is the entry VM that the request was last sent to.
	VM      string
	Latency time.Duration
	// RetryAfter is how long the fleet asked the caller to wait before a retry.
	RetryAfter time.Duration
	Err        error
}

// Caller sends requests of one customer to one service.
type Caller struct {
	options Options
	client  *http.Client

	mu              sync.Mutex
	directory       directoryResponse
	directoryExpiry time.Time
	rotation        int
}

type directoryResponse struct {
	KeepForMs int64 `json:"keep_for_ms"`
	VMs       []vm  `json:"vms"`
}

type vm struct {
	Name      string `json:"vm"`
	Address   string `json:"address"`
	KeyPrefix string `json:"key_prefix"`
}

// ErrNoEntrance means that no known VM answered the directory query.
var ErrNoEntrance = errors.New("no entry VM answered the directory query")

// New returns a caller. It first queries the directory when it sends a request.
func New(options Options) *Caller {
	transport := &http.Transport{DialContext: options.Dial, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Caller{options: options, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request and resends it where that is safe.
func (c *Caller) Do(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	started := time.Now()
	result := c.sendWithResends(ctx, request)
	result.Latency = time.Since(started)
	return result
}

func (c *Caller) sendWithResends(ctx context.Context, request Request) Result {
	vms, err := c.rotatedVMs(ctx)
	if err != nil {
		return Result{Outcome: outcome.NotRun, Reason: "no_entrance", Err: err}
	}
	var key string
	if request.AtMostOnce {
		key = vms[0].KeyPrefix + request.ID
	}
	var result Result
	for attempt := range max(len(vms), c.options.Resends+1) {
		to := vms[attempt%len(vms)]
		result = c.send(ctx, to, request, key)
		if !c.mayResend(ctx, request, result, attempt) {
			break
		}
		c.expireDirectory()
	}
	return result
}

// mayResend reports whether the request may be sent to the next VM: either the
// connection was refused, so nothing was sent, or the request carries an
// idempotency key and its outcome is unknown.
func (c *Caller) mayResend(ctx context.Context, request Request, result Result, attempt int) bool {
	if ctx.Err() != nil || result.Outcome == outcome.Answered {
		return false
	}
	if errors.Is(result.Err, syscall.ECONNREFUSED) {
		return true
	}
	return request.AtMostOnce && result.Err != nil && attempt < c.options.Resends
}

// send sends the request to one VM.
func (c *Caller) send(ctx context.Context, to vm, request Request, key string) Result {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+to.Address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return Result{Outcome: outcome.NotRun, Reason: "bad_request", Err: err}
	}
	outgoing.GetBody = nil
	outgoing.Host = c.options.Host
	outgoing.Header.Set(credentialHeader, c.options.Credential)
	outgoing.Header.Set(requestIDHeader, request.ID)
	if deadline, ok := ctx.Deadline(); ok {
		outgoing.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if key != "" {
		outgoing.Header.Set(keyHeader, key)
	}
	response, err := c.client.Do(outgoing)
	if err != nil {
		return connectionFailure(to, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResult(to, response)
}

// connectionFailure returns the result for a failed connection to a VM.
func connectionFailure(to vm, err error) Result {
	result := Result{Outcome: outcome.MayHaveRun, Reason: "connection_lost", VM: to.Name, Err: err}
	if errors.Is(err, syscall.ECONNREFUSED) {
		result.Outcome = outcome.NotRun
		result.Reason = "connection_refused"
	}
	return result
}

// readResult reads the response or the refusal of a VM.
func readResult(from vm, response *http.Response) Result {
	body, err := io.ReadAll(response.Body)
	result := Result{
		Outcome: outcome.Outcome(response.Header.Get(outcomeHeader)),
		Status:  response.StatusCode,
		Body:    body,
		VM:      from.Name,
	}
	if err != nil {
		result.Outcome = outcome.MayHaveRun
		result.Reason = "answer_broke_off"
		result.Truncated = true
		result.Err = fmt.Errorf("read response from %s: %w", from.Name, err)
		return result
	}
	if result.Outcome != outcome.Answered {
		result.Reason = refusalReason(body)
		result.RetryAfter = parseRetryAfter(response.Header.Get("Retry-After"))
	}
	return result
}

func refusalReason(body []byte) string {
	var problem struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal(body, &problem) != nil {
		return "unreadable_refusal"
	}
	return problem.Reason
}

func parseRetryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// rotatedVMs returns the VMs of the cached directory response, or queries the
// directory if it has expired.
// Successive calls start with different VMs, so load spreads over them.
func (c *Caller) rotatedVMs(ctx context.Context) ([]vm, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.directoryExpiry) || len(c.directory.VMs) == 0 {
		if err := c.refreshDirectory(ctx); err != nil {
			return nil, err
		}
	}
	c.rotation++
	rotated := make([]vm, 0, len(c.directory.VMs))
	for i := range c.directory.VMs {
		rotated = append(rotated, c.directory.VMs[(c.rotation+i)%len(c.directory.VMs)])
	}
	return rotated, nil
}

// expireDirectory expires the cached response, so that the next request queries the
// directory again.
func (c *Caller) expireDirectory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directoryExpiry = time.Time{}
}

// refreshDirectory queries the directory of the VMs in the last response and then of
// the entrances, until one of them returns a VM.
func (c *Caller) refreshDirectory(ctx context.Context) error {
	var addresses []string
	for _, knownVM := range c.directory.VMs {
		addresses = append(addresses, knownVM.Address)
	}
	addresses = append(addresses, c.options.Entrances...)
	failures := []error{ErrNoEntrance}
	for _, address := range addresses {
		response, err := c.queryDirectory(ctx, address)
		if err == nil && len(response.VMs) > 0 {
			c.directory = response
			c.directoryExpiry = time.Now().Add(time.Duration(response.KeepForMs) * time.Millisecond)
			return nil
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (c *Caller) queryDirectory(ctx context.Context, address string) (directoryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var directory directoryResponse
	url := fmt.Sprintf("http://%s/v1/directory?service=%s&customer=%s", address, c.options.Service, c.options.Customer)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return directory, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return directory, fmt.Errorf("query directory of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return directory, fmt.Errorf("query directory of %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&directory); err != nil {
		return directory, fmt.Errorf("query directory of %s: %w", address, err)
	}
	return directory, nil
}
