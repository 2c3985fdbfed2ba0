package targets

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/standin/memnet"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

type fixedConfiguration struct{ current *snapshot.Snapshot }

func (f *fixedConfiguration) Current() *snapshot.Snapshot             { return f.current }
func (f *fixedConfiguration) Subscribe(call func(*snapshot.Snapshot)) { call(f.current) }

type singleVM struct{}

func (singleVM) Self() *primroseloomv1.Member {
	return &primroseloomv1.Member{Vm: "vm-1", Zone: "a"}
}
func (l singleVM) Members() []*primroseloomv1.Member { return []*primroseloomv1.Member{l.Self()} }
func (singleVM) Client(string) (primroseloomv1connect.PeerServiceClient, bool) {
	return nil, false
}

// fixture is a manager with one service "booking" on an in-memory network.
type fixture struct {
	*Manager
	network       *memnet.Network
	configuration *fixedConfiguration
	targets       []document.Target
	slots         int
	limits        document.TemplateLimits
}

func rawJSON(value any) json.RawMessage {
	content, _ := json.Marshal(value)
	return content
}

func newFixture(t *testing.T, targetCount, slots int) *fixture {
	f := &fixture{network: memnet.New(), slots: slots}
	f.limits = document.TemplateLimits{
		Rate: rawJSON(1000), Burst: rawJSON(1000), Concurrency: rawJSON(100), Queue: rawJSON(100),
		Deadline: rawJSON("1s"), RetryRatio: rawJSON(0.1), Weight: rawJSON(1),
	}
	for i := range targetCount {
		address := fmt.Sprintf("10.0.1.%d:80", i+1)
		f.targets = append(f.targets, document.Target{Name: fmt.Sprint("t", i), Address: address, Zone: "a"})
	}
	f.configuration = &fixedConfiguration{current: f.snapshot(1)}
	if rejections := f.configuration.current.Rejections(); len(rejections) > 0 {
		t.Fatal(rejections)
	}
	m := metrics.New()
	f.Manager = New(f.configuration, f.network.Host("10.0.0.1"), singleVM{}, m, log.New(io.Discard))
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		for _, s := range f.Manager.snapshot() {
			s.close()
		}
		_ = m.Close()
	})
	return f
}

func (f *fixture) snapshot(generation uint64) *snapshot.Snapshot {
	service := document.Service{
		Name: "booking", Slots: f.slots, MaxConnections: 330, Targets: f.targets,
		FloorSlots: 1, Deadline: document.Duration(time.Second),
		Drain: document.Signal{Status: 503, Header: "Primroseloom-Draining"}, HealthPath: "/health",
	}
	return snapshot.Build(generation, []document.Shard{
		{Services: []document.Service{service}},
		{Templates: []document.Template{{Name: "plain", Services: []string{"booking"}, Limits: f.limits}}},
		{Customers: []document.Customer{plainCustomer("small"), plainCustomer("large")}},
	}, nil)
}

func plainCustomer(name string) document.Customer {
	digest := sha256.Sum256([]byte(name))
	return document.Customer{Name: name, Template: "plain", CredentialDigests: []string{hex.EncodeToString(digest[:])}}
}

func (f *fixture) reconfigure() {
	f.configuration.current = f.snapshot(f.configuration.current.Generation + 1)
	f.ApplyConfig(f.configuration.current)
}

// serve starts an HTTP server for a target.
func (f *fixture) serve(t *testing.T, target int, handler http.HandlerFunc) {
	address := f.targets[target].Address
	host, _, _ := net.SplitHostPort(address)
	listener, err := f.network.Host(host).Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func acquireRequest(customer string, wait time.Duration) contract.AcquireRequest {
	return contract.AcquireRequest{Service: "booking", Customer: customer, Deadline: time.Now().Add(wait), Idempotent: true}
}

func (f *fixture) acquire(t *testing.T, customer string) contract.SlotLease {
	t.Helper()
	lease, err := f.Acquire(t.Context(), acquireRequest(customer, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

// exchangeOnce sends a request over a slot lease, reads the response and ends
// the attempt.
func exchangeOnce(ctx context.Context, lease contract.SlotLease, method string) (string, error) {
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+lease.Target().Address+"/", http.NoBody)
	request.Header.Set("Idempotency-Key", "key")
	response, err := lease.RoundTrip(request)
	if err != nil {
		var failure *contract.RoundTripError
		errors.As(err, &failure)
		lease.Done(contract.AttemptResult{Kind: failure.Kind})
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	kind := contract.AttemptSucceeded
	if err != nil {
		kind = contract.AttemptTruncated
	}
	lease.Done(contract.AttemptResult{Kind: kind, Total: time.Millisecond})
	return string(content), err
}

func notRunReason(err error) outcome.Reason {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun {
		return refusal.Reason
	}
	return ""
}

func TestWaitersAreServedAndExpiredOnesRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		held := f.acquire(t, "large")
		result := make(chan error, 1)
		go func() {
			lease, err := f.Acquire(t.Context(), acquireRequest("small", time.Second))
			if err == nil {
				lease.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
			}
			result <- err
		}()
		synctest.Wait()
		held.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		if err := <-result; err != nil {
			t.Fatal(err)
		}
		held = f.acquire(t, "large")
		began := time.Now()
		_, err := f.Acquire(t.Context(), acquireRequest("small", 50*time.Millisecond))
		if notRunReason(err) != outcome.ReasonDeadlineExceeded || time.Since(began) != 50*time.Millisecond {
			t.Fatalf("got %v after %v", err, time.Since(began))
		}
		held.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
	})
}

func TestCanceledWaiterHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		held := f.acquire(t, "large")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := f.Acquire(ctx, acquireRequest("small", time.Minute))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; notRunReason(err) != outcome.ReasonCallerGone {
			t.Fatal(err)
		}
		held.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		f.acquire(t, "small").Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.customers.InProgress("small") != 0 || f.customers.InProgress("large") != 0 {
			t.Fatal("requests are still counted")
		}
	})
}

func TestReconfigurationKeepsStateOfRequestsAndCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		f.limits.Rate, f.limits.Burst = rawJSON(1), rawJSON(1)
		f.reconfigure()
		held := f.acquire(t, "small")
		f.limits.Burst = rawJSON(50)
		f.reconfigure()
		if _, err := f.Acquire(t.Context(), acquireRequest("small", time.Second)); notRunReason(err) != outcome.ReasonRateLimit {
			t.Fatalf("the rate limiter was reset: %v", err)
		}
		if _, err := f.Acquire(t.Context(), acquireRequest("large", time.Millisecond)); notRunReason(err) != outcome.ReasonDeadlineExceeded {
			t.Fatalf("the slot in use was forgotten: %v", err)
		}
		held.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
	})
}

func TestDrainingTargetGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 2)
		f.serve(t, 0, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Primroseloom-Draining", "1")
		})
		f.serve(t, 1, func(http.ResponseWriter, *http.Request) {})
		time.Sleep(2 * time.Second)
		for range 20 {
			lease := f.acquire(t, "small")
			if lease.Target().Name == "t0" {
				t.Fatal("new work for a leaving target")
			}
			lease.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		}
		findings := f.Explain("target booking/t0")
		if len(findings) != 2 || findings[1].Decision != "no new work" {
			t.Fatalf("got %+v", findings)
		}
	})
}

func TestVMListTakesTargetOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.ApplyVMList(document.VMList{Entries: []document.VMEntry{{Name: "x", Address: "10.0.1.1", Leaving: true}}})
		if _, err := f.Acquire(t.Context(), acquireRequest("small", time.Second)); notRunReason(err) != outcome.ReasonNoTarget {
			t.Fatalf("got %v", err)
		}
		f.ApplyVMList(document.VMList{})
		f.acquire(t, "small").Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
	})
}

func TestRetriesSpendTheCustomersBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, 3)
		retried := 0
		for range 100 {
			f.acquire(t, "small").Done(contract.AttemptResult{Kind: contract.AttemptCanceled})
			request := acquireRequest("small", time.Second)
			request.Retry = true
			lease, err := f.Acquire(t.Context(), request)
			if err != nil {
				if notRunReason(err) != outcome.ReasonRetryBudget {
					t.Fatal(err)
				}
				continue
			}
			retried++
			lease.Done(contract.AttemptResult{Kind: contract.AttemptCanceled})
		}
		if retried == 0 || retried >= 10 {
			t.Fatalf("%d retries for 100 requests", retried)
		}
	})
}
