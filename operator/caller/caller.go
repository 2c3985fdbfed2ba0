// Package caller is a client of the fleet: it asks the directory which VMs to
// use, connects there itself, keys requests that may run at most once and
// resends them as the callers' page allows.
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

// Options describe a caller.
type Options struct {
	// Entrances are "IP:port" addresses of VMs that answer directory queries.
	Entrances []string
	Service   string
	Customer  string
	// Credential is the customer's secret.
	Credential string
	// Host is the host name that routes to the service.
	Host string
	// Timeout is the time each request may take.
	Timeout time.Duration
	// Resends is the number of times a keyed request may be sent again.
	Resends int
	// Dial connects to an address; nil means the operating system's network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Request is one request of the caller's application.
type Request struct {
	// ID identifies the request in the targets' records.
	ID     string
	Method string
	Path   string
	Body   []byte
	// AtMostOnce sends an Idempotency-Key.
	AtMostOnce bool
}

// Result is what the caller was told.
type Result struct {
	Outcome outcome.Outcome
	Reason  string
	Status  int
	Body    []byte
	// Truncated is true when an answer broke off.
	Truncated bool
	// VM is the entry VM that answered.
	VM      string
	Latency time.Duration
	// RetryAfter is when the fleet asked the caller to come back.
	RetryAfter time.Duration
	Err        error
}

// Caller sends requests of one customer to one service.
type Caller struct {
	options Options
	client  *http.Client

	mu     sync.Mutex
	answer directoryAnswer
	until  time.Time
	turn   int
}

type directoryAnswer struct {
	KeepForMs int64 `json:"keep_for_ms"`
	VMs       []vm  `json:"vms"`
}

type vm struct {
	Name      string `json:"vm"`
	Address   string `json:"address"`
	KeyPrefix string `json:"key_prefix"`
}

// ErrNoEntrance tells that no known VM answered the directory query.
var ErrNoEntrance = errors.New("no entry VM answered the directory query")

// New returns a caller that has not asked the directory yet.
func New(options Options) *Caller {
	transport := &http.Transport{DialContext: options.Dial, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Caller{options: options, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends a request and, where that is safe, sends it again.
func (c *Caller) Do(ctx context.Context, request Request) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	started := time.Now()
	result := c.deliver(ctx, request)
	result.Latency = time.Since(started)
	return result
}

func (c *Caller) deliver(ctx context.Context, request Request) Result {
	vms, err := c.vms(ctx)
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
		if !c.sendAgain(ctx, request, result, attempt) {
			break
		}
		c.forget()
	}
	return result
}

// sendAgain reports whether another VM should get the request: nothing was
// sent, or the request carries a key and its outcome is open.
func (c *Caller) sendAgain(ctx context.Context, request Request, result Result, attempt int) bool {
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
		return failed(to, err)
	}
	defer func() { _ = response.Body.Close() }()
	return read(to, response)
}

// failed classifies an error of the connection to a VM.
func failed(to vm, err error) Result {
	result := Result{Outcome: outcome.MayHaveRun, Reason: "connection_lost", VM: to.Name, Err: err}
	if errors.Is(err, syscall.ECONNREFUSED) {
		result.Outcome = outcome.NotRun
		result.Reason = "connection_refused"
	}
	return result
}

// read takes over the answer or the refusal.
func read(from vm, response *http.Response) Result {
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
		result.Err = fmt.Errorf("read answer from %s: %w", from.Name, err)
		return result
	}
	if result.Outcome != outcome.Answered {
		result.Reason = refusalReason(body)
		result.RetryAfter = retryAfter(response.Header.Get("Retry-After"))
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

func retryAfter(header string) time.Duration {
	seconds, err := strconv.Atoi(header)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// vms returns the VMs of the kept directory answer, or asks for a new one.
// Successive calls start with different VMs, so load spreads over them.
func (c *Caller) vms(ctx context.Context) ([]vm, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) || len(c.answer.VMs) == 0 {
		if err := c.ask(ctx); err != nil {
			return nil, err
		}
	}
	c.turn++
	rotated := make([]vm, 0, len(c.answer.VMs))
	for i := range c.answer.VMs {
		rotated = append(rotated, c.answer.VMs[(c.turn+i)%len(c.answer.VMs)])
	}
	return rotated, nil
}

// forget drops the kept answer, so that the next request asks again.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// ask queries the VMs known from the last answer and then the entrances.
func (c *Caller) ask(ctx context.Context) error {
	var addresses []string
	for _, known := range c.answer.VMs {
		addresses = append(addresses, known.Address)
	}
	addresses = append(addresses, c.options.Entrances...)
	failures := []error{ErrNoEntrance}
	for _, address := range addresses {
		answer, err := c.query(ctx, address)
		if err == nil && len(answer.VMs) > 0 {
			c.answer = answer
			c.until = time.Now().Add(time.Duration(answer.KeepForMs) * time.Millisecond)
			return nil
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (c *Caller) query(ctx context.Context, address string) (directoryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var answer directoryAnswer
	target := fmt.Sprintf("http://%s/v1/directory?service=%s&customer=%s", address, c.options.Service, c.options.Customer)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask directory of %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("ask directory of %s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("ask directory of %s: %w", address, err)
	}
	return answer, nil
}
