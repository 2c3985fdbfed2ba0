package proxy

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// fakeClock is the uptime clock of one VM; suspended is added to the time since
// the start.
type fakeClock struct {
	start     time.Time
	suspended atomic.Int64
}

func newFakeClock() *fakeClock { return &fakeClock{start: time.Now()} }

func (c *fakeClock) Uptime() time.Duration {
	return time.Since(c.start) + time.Duration(c.suspended.Load())
}

// fixedConfiguration always returns the same snapshot.
type fixedConfiguration struct{ snap *snapshot.Snapshot }

func (c fixedConfiguration) Current() *snapshot.Snapshot          { return c.snap }
func (c fixedConfiguration) Subscribe(f func(*snapshot.Snapshot)) { f(c.snap) }

func hexDigest(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// testSnapshot has customers "a" and "b" with credentials "secret-a" and "secret-b".
func testSnapshot(targets []document.Target) *snapshot.Snapshot {
	service := document.Service{
		Name:           "booking",
		Slots:          3,
		MaxConnections: 330,
		FloorSlots:     1,
		HealthPath:     "/health",
		Deadline:       document.Duration(30 * time.Second),
		Idempotent:     []document.RequestRule{{Method: "GET", PathPrefix: "/"}, {Method: "HEAD", PathPrefix: "/"}},
		Shed:           document.Signal{Status: 503, Header: "Primroseloom-Shed"},
		Drain:          document.Signal{Status: 503, Header: "Primroseloom-Draining"},
		Targets:        targets,
	}
	template := document.Template{Name: "plain", Services: []string{"booking"}, Limits: document.TemplateLimits{
		Rate: []byte("1000"), Burst: []byte("1000"), Concurrency: []byte("1000"), Queue: []byte("1000"),
		Deadline: []byte(`"10s"`), RetryRatio: []byte("1"), Weight: []byte("1"),
	}}
	customers := []document.Customer{
		{Name: "a", Template: "plain", CredentialDigests: []string{hexDigest("secret-a")}},
		{Name: "b", Template: "plain", CredentialDigests: []string{hexDigest("secret-b")}},
	}
	snap := snapshot.Build(1, []document.Shard{
		{Services: []document.Service{service}},
		{Routes: []document.Route{{Host: "booking.test", PathPrefix: "/", Service: "booking"}}},
		{Templates: []document.Template{template}},
		{Customers: customers},
	}, nil)
	if rejected := snap.Rejections(); len(rejected) > 0 {
		panic(fmt.Sprint("the test configuration is rejected: ", rejected))
	}
	return snap
}

// fakeTargets leases targets in turn, after a delay and without limits. It keeps
// one idle connection per target.
type fakeTargets struct {
	network contract.Network
	targets []document.Target
	// acceptTruncated makes a truncated response look complete.
	acceptTruncated bool
	// admissionDelay returns how long an Acquire waits; nil for no wait.
	admissionDelay func() time.Duration

	mu      sync.Mutex
	next    int
	idle    map[string]*fakeConn
	results []contract.AttemptResult
}

type fakeConn struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fakeTargets) Acquire(ctx context.Context, request contract.AcquireRequest) (contract.SlotLease, error) {
	if f.admissionDelay != nil {
		select {
		case <-time.After(f.admissionDelay()):
		case <-ctx.Done():
			return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonDeadlineExceeded, outcome.StepAdmission, "", ctx.Err())
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.targets {
		f.next++
		target := f.targets[f.next%len(f.targets)]
		excluded := false
		for _, name := range request.Exclude {
			excluded = excluded || name == target.Name
		}
		if !excluded {
			return &fakeLease{pool: f, target: target}, nil
		}
	}
	return nil, contract.NewRefusal(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, "", nil)
}

type fakeLease struct {
	pool   *fakeTargets
	target document.Target
	conn   *fakeConn
	body   *fakeBody
	// detachContext keeps the end of the attempt's context from interrupting the
	// connection.
	detachContext func() bool
}

func (g *fakeLease) Target() document.Target { return g.target }

func (g *fakeLease) fail(kind contract.AttemptKind, err error) error {
	return &contract.RoundTripError{Kind: kind, Target: g.target.Name, Cause: err}
}

// connect takes the idle connection or opens a new one.
func (g *fakeLease) connect(ctx context.Context, trip *contract.RoundTrip) error {
	g.pool.mu.Lock()
	conn, ok := g.pool.idle[g.target.Name]
	delete(g.pool.idle, g.target.Name)
	g.pool.mu.Unlock()
	if ok && !trip.NewConnection {
		trip.MarkReused()
		g.conn = conn
		return nil
	}
	dialed, err := g.pool.network.DialContext(ctx, "tcp", g.target.Address)
	if err != nil {
		return g.fail(contract.AttemptRefused, err)
	}
	g.conn = &fakeConn{Conn: dialed, reader: bufio.NewReader(dialed)}
	return nil
}

func (g *fakeLease) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	trip := contract.RoundTripFrom(ctx)
	if err := g.connect(ctx, trip); err != nil {
		return nil, err
	}
	conn := g.conn
	g.detachContext = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := trip.BeforeWrite(); err != nil {
		return nil, g.fail(contract.AttemptCanceled, err)
	}
	trip.MarkWritten()
	limit := trip.StallLimit
	if trip.Reused() {
		limit = trip.ReusedStallLimit
	}
	if limit > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(limit))
	}
	go func() { _ = request.Write(conn) }()
	response, err := http.ReadResponse(conn.reader, request)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, g.fail(contract.AttemptTimedOut, err)
	case err != nil && strings.Contains(err.Error(), "malformed"):
		return nil, g.fail(contract.AttemptWrong, err)
	case err != nil:
		return nil, g.fail(contract.AttemptReset, err)
	}
	if ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Time{})
	}
	g.body = &fakeBody{ReadCloser: response.Body, lease: g}
	response.Body = g.body
	return response, nil
}

type fakeBody struct {
	io.ReadCloser
	lease    *fakeLease
	complete bool
}

func (b *fakeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = b.lease.detachContext()
	} else if err != nil && b.lease.pool.acceptTruncated {
		err = io.EOF
	}
	return n, err
}

func (g *fakeLease) Done(result contract.AttemptResult) {
	p := g.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, result)
	if g.conn == nil {
		return
	}
	if result.Kind == contract.AttemptSucceeded && g.body != nil && g.body.complete && p.idle[g.target.Name] == nil {
		p.idle[g.target.Name] = g.conn
		return
	}
	_ = g.conn.Close()
}

// finishedAttempts returns the results of the attempts that have ended.
func (f *fakeTargets) finishedAttempts() []contract.AttemptResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.results)
}

// close closes the idle connections.
func (f *fakeTargets) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.idle {
		_ = conn.Close()
	}
}
