package targets

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

func (f *fixedConfiguration) Current() *snapshot.Snapshot              { return f.current }
func (f *fixedConfiguration) Subscribe(call func(*snapshot.Snapshot)) { call(f.current) }

type lone struct{}

func (lone) Self() *primroseloomv1.Member {
	return &primroseloomv1.Member{Vm: "vm-1", Zone: "a"}
}
func (l lone) Members() []*primroseloomv1.Member { return []*primroseloomv1.Member{l.Self()} }
func (lone) Client(string) (primroseloomv1connect.PeerServiceClient, bool) {
	return nil, false
}

// fixture is a manager on a network of its own with one service "booking".
type fixture struct {
	*Manager
	network       *memnet.Network
	configuration *fixedConfiguration
	targets       []document.Target
	slots         int
	limits        document.TemplateLimits
}

func raw(value any) json.RawMessage {
	content, _ := json.Marshal(value)
	return content
}

func newFixture(t *testing.T, targetCount, slots int) *fixture {
	f := &fixture{network: memnet.New(), slots: slots}
	f.limits = document.TemplateLimits{
		Rate: raw(1000), Burst: raw(1000), Concurrency: raw(100), Queue: raw(100),
		Deadline: raw("1s"), RetryRatio: raw(0.1), Weight: raw(1),
	}
	for i := range targetCount {
		address := fmt.Sprintf("10.0.1.%d:80", i+1)
		f.targets = append(f.targets, document.Target{Name: fmt.Sprint("t", i), Address: address, Zone: "a"})
	}
	f.configuration = &fixedConfiguration{current: f.snapshot(1)}
	m := metrics.New()
	f.Manager = New(f.configuration, f.network.Host("10.0.0.1"), lone{}, m, log.New(io.Discard))
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
		Drain: document.Signal{Status: 503, Header: "Primroseloom-Draining"}, HealthPath: "/health",
	}
	return snapshot.Build(generation, []document.Shard{
		{Services: []document.Service{service}},
		{Templates: []document.Template{{Name: "plain", Services: []string{"booking"}, Limits: f.limits}}},
		{Customers: []document.Customer{{Name: "small", Template: "plain"}, {Name: "large", Template: "plain"}}},
	}, nil)
}

func (f *fixture) reconfigure() {
	f.configuration.current = f.snapshot(f.configuration.current.Generation + 1)
	f.ApplyConfig(f.configuration.current)
}

// serve answers requests to a target.
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

func ask(customer string, wait time.Duration) contract.AcquireRequest {
	return contract.AcquireRequest{Service: "booking", Customer: customer, Deadline: time.Now().Add(wait), Idempotent: true}
}

func (f *fixture) acquire(t *testing.T, customer string) contract.Grant {
	t.Helper()
	grant, err := f.Acquire(t.Context(), ask(customer, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return grant
}

// exchangeOnce sends a request over a grant and ends it.
func exchangeOnce(ctx context.Context, grant contract.Grant, method string) (string, error) {
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+grant.Target().Address+"/", http.NoBody)
	request.Header.Set("Idempotency-Key", "key")
	response, err := grant.RoundTrip(request)
	if err != nil {
		var failure *contract.RoundTripError
		errors.As(err, &failure)
		grant.Done(contract.AttemptResult{Kind: failure.Kind})
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	kind := contract.AttemptSucceeded
	if err != nil {
		kind = contract.AttemptTruncated
	}
	grant.Done(contract.AttemptResult{Kind: kind, Total: time.Millisecond})
	return string(content), err
}

func reasonOf(err error) outcome.Reason {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == outcome.NotRun {
		return refusal.Reason
	}
	return ""
}

func TestConnectionsAreUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		var connections atomic.Int32
		seen := map[string]bool{}
		f.serve(t, 0, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" && !seen[r.RemoteAddr] {
				seen[r.RemoteAddr] = true
				connections.Add(1)
			}
			_, _ = io.WriteString(w, "answer")
		})
		for range 10 {
			if got, err := exchangeOnce(t.Context(), f.acquire(t, "small"), "GET"); got != "answer" {
				t.Fatal(got, err)
			}
		}
		if connections.Load() != 1 {
			t.Fatalf("%d connections for requests one after the other", connections.Load())
		}
		time.Sleep(idleLimit + time.Second)
		if size := f.service("booking").targets["t0"].pool.size(); size > 1 {
			t.Fatalf("%d connections after the idle limit", size)
		}
	})
}

// TestRequestIsNeverResent closes a reused connection under a request that
// http.Transport would send again.
func TestRequestIsNeverResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.targets[0].Address = "10.0.1.9:80"
		f.reconfigure()
		listener, _ := f.network.Host("10.0.1.9").Listen(t.Context(), "10.0.1.9:80")
		var received atomic.Int32
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go answerOnceThenClose(conn, &received)
			}
		}()
		if _, err := exchangeOnce(t.Context(), f.acquire(t, "small"), "GET"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		trip := &contract.RoundTrip{}
		_, err := exchangeOnce(contract.WithRoundTrip(t.Context(), trip), f.acquire(t, "small"), "GET")
		var failure *contract.RoundTripError
		if !errors.As(err, &failure) || failure.Kind != contract.AttemptReset || !trip.Written() || !trip.Reused() {
			t.Fatalf("got %v, written %v, reused %v", err, trip.Written(), trip.Reused())
		}
		if received.Load() != 2 {
			t.Fatalf("the target received %d requests, want 2", received.Load())
		}
		_ = listener.Close()
	})
}

func answerOnceThenClose(conn net.Conn, received *atomic.Int32) {
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		if strings.HasPrefix(request.URL.Path, "/health") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
			return
		}
		received.Add(1)
		if n > 0 {
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func TestForbiddenWriteSendsNoByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" {
				t.Error("the request reached the target")
			}
		})
		trip := &contract.RoundTrip{BeforeWrite: func() error { return errors.New("window closed") }}
		_, err := exchangeOnce(contract.WithRoundTrip(t.Context(), trip), f.acquire(t, "small"), "POST")
		var failure *contract.RoundTripError
		if !errors.As(err, &failure) || failure.Kind != contract.AttemptCanceled || trip.Written() {
			t.Fatalf("got %v, written %v", err, trip.Written())
		}
	})
}

func TestStallEndsTheAttemptAndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.serve(t, 0, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/" {
				time.Sleep(10 * time.Second)
			}
		})
		began := time.Now()
		trip := &contract.RoundTrip{StallLimit: 100 * time.Millisecond}
		_, err := exchangeOnce(contract.WithRoundTrip(t.Context(), trip), f.acquire(t, "small"), "GET")
		var failure *contract.RoundTripError
		if !errors.As(err, &failure) || failure.Kind != contract.AttemptTimedOut || !trip.Written() {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(began); took != 100*time.Millisecond {
			t.Fatalf("took %v", took)
		}
		time.Sleep(20 * time.Second)
		if size := f.service("booking").targets["t0"].pool.size(); size > 1 {
			t.Fatalf("%d connections kept", size)
		}
	})
}

func TestWaitersAreServedAndLateOnesRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		held := f.acquire(t, "large")
		result := make(chan error, 1)
		go func() {
			grant, err := f.Acquire(t.Context(), ask("small", time.Second))
			if err == nil {
				grant.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
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
		_, err := f.Acquire(t.Context(), ask("small", 50*time.Millisecond))
		if reasonOf(err) != outcome.ReasonDeadlineExceeded || time.Since(began) != 50*time.Millisecond {
			t.Fatalf("got %v after %v", err, time.Since(began))
		}
		held.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
	})
}

func TestCanceledWaiterLeavesTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		held := f.acquire(t, "large")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := f.Acquire(ctx, ask("small", time.Minute))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; reasonOf(err) != outcome.ReasonCallerGone {
			t.Fatal(err)
		}
		held.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		f.acquire(t, "small").Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		if f.customers.InProgress("small") != 0 || f.customers.InProgress("large") != 0 {
			t.Fatal("requests are still counted")
		}
	})
}

func TestReconfigurationKeepsStateOfRequestsAndCustomers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 1)
		f.limits.Rate, f.limits.Burst = raw(1), raw(1)
		f.reconfigure()
		held := f.acquire(t, "small")
		f.limits.Burst = raw(50)
		f.reconfigure()
		if _, err := f.Acquire(t.Context(), ask("small", time.Second)); reasonOf(err) != outcome.ReasonRateLimit {
			t.Fatalf("the limiter started over: %v", err)
		}
		if _, err := f.Acquire(t.Context(), ask("large", time.Millisecond)); reasonOf(err) != outcome.ReasonDeadlineExceeded {
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
			grant := f.acquire(t, "small")
			if grant.Target().Name == "t0" {
				t.Fatal("new work for a target that leaves")
			}
			grant.Done(contract.AttemptResult{Kind: contract.AttemptSucceeded})
		}
		findings := f.Explain("target booking/t0")
		if len(findings) != 2 || findings[1].Decision != "no new work" {
			t.Fatalf("got %+v", findings)
		}
	})
}

func TestVMListTakesTargetOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 2)
		f.ApplyVMList(document.VMList{Entries: []document.VMEntry{{Name: "x", Address: "10.0.1.1", Leaving: true}}})
		if _, err := f.Acquire(t.Context(), ask("small", time.Second)); reasonOf(err) != outcome.ReasonNoTarget {
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
			request := ask("small", time.Second)
			request.Retry = true
			grant, err := f.Acquire(t.Context(), request)
			if err != nil {
				if reasonOf(err) != outcome.ReasonRetryBudget {
					t.Fatal(err)
				}
				continue
			}
			retried++
			grant.Done(contract.AttemptResult{Kind: contract.AttemptCanceled})
		}
		if retried == 0 || retried >= 10 {
			t.Fatalf("%d retries for 100 requests", retried)
		}
	})
}

func TestConnectionsStayWithinTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, 3)
		var open, most atomic.Int32
		address := f.targets[0].Address
		listener, _ := f.network.Host("10.0.1.1").Listen(t.Context(), address)
		server := &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/" {
					time.Sleep(time.Second)
				}
			}),
			ConnState: func(_ net.Conn, state http.ConnState) {
				switch state {
				case http.StateNew:
					most.Store(max(most.Load(), open.Add(1)))
				case http.StateClosed:
					open.Add(-1)
				}
			},
		}
		go func() { _ = server.Serve(listener) }()
		for range 20 {
			go func() {
				grant, err := f.Acquire(t.Context(), ask("small", 10*time.Second))
				if err == nil {
					_, _ = exchangeOnce(t.Context(), grant, "GET")
				}
			}()
		}
		time.Sleep(20 * time.Second)
		if got := most.Load(); got != 4 {
			t.Fatalf("%d connections at most, want 3 slots and a probe", got)
		}
		_ = server.Close()
	})
}
