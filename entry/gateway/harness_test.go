package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/crashes"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/standin/memnet"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	ownIP    = "10.0.0.1"
	host     = "a.example"
	oncePath = "/book/"
	safePath = "/look/"
	// patientPath is a route with patientTimeout.
	patientPath = "/wait/"
	// routeTimeout is the timeout of the other routes.
	routeTimeout = time.Second
	// patientTimeout is longer than silenceTime.
	patientTimeout = 4 * time.Second
)

// plainDialect is a minimal dialect with its own header names.
type plainDialect struct{}

func (plainDialect) ReadRequest(h http.Header) dialect.Request {
	ms, _ := strconv.Atoi(h.Get("Left"))
	return dialect.Request{AttemptID: h.Get("Id"), Key: h.Get("Key"), Remaining: time.Duration(ms) * time.Millisecond}
}

func (plainDialect) WriteAttempt(h http.Header, attempt dialect.Attempt) {
	h.Set("Left", strconv.FormatInt(attempt.Remaining.Milliseconds(), 10))
	h.Set("Target", attempt.TargetID)
}

func (plainDialect) ReadResponse(r *http.Response) dialect.ResponseMetadata {
	return dialect.ResponseMetadata{
		AttemptID: r.Header.Get("Id"), Signed: r.Header.Get("Seal") != "", NotRun: r.Header.Get("Not-Run") != "", ClosesConnection: r.Close,
		Notice: readNotice(r.Header),
	}
}

func readNotice(h http.Header) notice.Notice {
	said := notice.Notice{IsLeaving: h.Get("Leaving") != ""}
	said.RateLimit, _ = strconv.ParseFloat(h.Get("Limit"), 64)
	said.IsLimited = h.Get("Limit") != ""
	said.Pause, _ = time.ParseDuration(h.Get("Pause"))
	return said
}

func (plainDialect) WriteRefusal(h http.Header, after time.Duration) {
	if after > 0 {
		h.Set("After", after.String())
	}
}

// discardNotifier discards the evidence that it is given.
type discardNotifier struct{}

func (discardNotifier) Publish(evidence.AttemptEvidence) {}
func (discardNotifier) PathChanged()                     {}
func (discardNotifier) InProgressChanged()               {}
func (discardNotifier) NoticesChanged()                  {}

// reportedCrashes counts reports; it refuses all requests after refuseAfter lost
// attempts, unless that is negative.
type reportedCrashes struct {
	mu   sync.Mutex
	lost int
	// lostToMuch counts those of the lost whose target held much.
	lostToMuch int
	// inProgress counts those of the lost that were only late.
	inProgress  int
	answered    int
	refuseAfter int
	// suspected is true when the requests are known to have crashed a target before.
	suspected bool
}

func (c *reportedCrashes) Suspected(quarantine.Identity) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspected
}

// suspect makes the requests known to have crashed a target, while they are in progress.
func (c *reportedCrashes) suspect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspected = true
}

func (c *reportedCrashes) Refused(quarantine.Identity) (time.Duration, quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuseAfter >= 0 && c.lost >= c.refuseAfter {
		return time.Minute, 1
	}
	return 0, 0
}

func (c *reportedCrashes) Answered(quarantine.Identity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
}

func (c *reportedCrashes) AttemptLost(lost crashes.LostAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost.MuchSent {
		c.lostToMuch++
	}
	if lost.InProgress {
		c.inProgress++
	}
	c.lost++
}

// noCarriers is a fleet without other VMs.
type noCarriers struct{}

func (noCarriers) CarrierUnreachable(string) {}

func (noCarriers) Primary(string, []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "", nil, false
}

func (noCarriers) CurrentCarrier(string, []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "", nil, false
}

func (noCarriers) Carrier(string, []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "", nil, false
}

// behavior is how a target handles a request.
type behavior func(w http.ResponseWriter, r *http.Request)

// harness is a gateway and some targets on an in-memory network, in virtual time.
type harness struct {
	t       *testing.T
	network *memnet.Network
	gateway *Gateway
	targets *targetset.Manager
	crashes *reportedCrashes
	table   *routing.Table
	// published are the targets.
	published []roster.Target
	mu        sync.Mutex
	// arrivals counts the requests that reached each target.
	arrivals map[string]int
}

// withHarness runs a test with one target for each behavior, named t0, t1 and so on.
func withHarness(t *testing.T, behaviors []behavior, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		logger := log.New(io.Discard)
		h := &harness{t: t, network: memnet.New(), crashes: &reportedCrashes{refuseAfter: -1}, arrivals: make(map[string]int), table: testTable(t)}
		h.targets = targetset.New(targetset.Options{
			Zone: "z", Network: h.network.Host(ownIP), Budget: targetset.Budget{Ratio: 1, Allowance: 100},
			Sharers: func() int { return 1 }, RateShare: func(_ string, perSecond float64) float64 { return perSecond }, Uptime: func() time.Duration { return time.Since(start) + time.Hour },
			Logger: logger, Scope: tally.NoopScope, Seed: 1,
		})
		h.targets.UseNotifier(discardNotifier{})
		h.targets.RoutesChanged(h.table)
		h.gateway = New(Options{
			Dialect: plainDialect{}, Table: func() *routing.Table { return h.table }, Targets: h.targets, Crashes: h.crashes, Carriers: noCarriers{},
			Stopping: func() bool { return false }, Logger: logger, Scope: tally.NoopScope,
		})
		ctx, cancel := context.WithCancel(t.Context())
		for i, behavior := range behaviors {
			h.published = append(h.published, h.startTarget(ctx, "t"+strconv.Itoa(i), i, behavior))
		}
		h.targets.TargetsChanged(h.published)
		test(h)
		cancel()
		h.targets.TargetsChanged(nil)
	})
}

func testTable(t *testing.T) *routing.Table { return tableWithBodies(t, 1000) }

// tableWithBodies returns the routes with a limit on bodies in bytes.
func tableWithBodies(t *testing.T, bodyBytes int64) *routing.Table {
	t.Helper()
	one := func(name, prefix string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: routeTimeout, Objective: routeTimeout / 2,
			MaxAttempts: 2, Split: []routing.Share{{Service: "s", Weight: 1}},
		}
	}
	patient := one("patient", patientPath, routing.KindOnce)
	patient.Timeout = patientTimeout
	table, err := routing.Compile(routing.Document{
		Version: 1, Services: []routing.Service{{Name: "s", MaxConnections: 330}}, Limits: routing.Limits{BodyBytes: bodyBytes, HeaderBytes: 2000},
		Routes: []routing.Route{one("once", oncePath, routing.KindOnce), one("safe", safePath, routing.KindIdempotent), patient},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func (h *harness) startTarget(ctx context.Context, id string, i int, handle behavior) roster.Target {
	h.t.Helper()
	address := net.JoinHostPort("10.1.0."+strconv.Itoa(i+1), "80")
	listener, err := h.network.Host("10.1.0."+strconv.Itoa(i+1)).Listen(ctx, address)
	if err != nil {
		h.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.arrivals[id]++
		h.mu.Unlock()
		handle(out, r)
	})}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return roster.Target{ID: id, Service: "s", Address: address, Zone: "z", Slots: 3, State: roster.StateReady, StartedAt: time.Now()}
}

// total returns the number of requests that reached any target.
func (h *harness) total() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, count := range h.arrivals {
		sum += count
	}
	return sum
}

// request returns a caller's request.
func (h *harness) request(method, path, body string) *http.Request {
	request := httptest.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	request.Header.Set("Id", "r1")
	request.Header.Set("Left", "5000")
	return request
}

// send sends one request through the gateway and returns the recorded response.
func (h *harness) send(method, path, body string) *httptest.ResponseRecorder {
	h.t.Helper()
	recorder := httptest.NewRecorder()
	h.gateway.ServeHTTP(recorder, h.request(method, path, body))
	return recorder
}

// Behaviors of targets.

func serves(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	out.Header().Set("Id", r.Header.Get("Id"))
	out.Header().Set("Seal", "sealed")
	_, _ = io.WriteString(out, "served "+string(body))
}

func failsWith(status int) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		out.Header().Set("Id", r.Header.Get("Id"))
		out.Header().Set("Seal", "sealed")
		out.WriteHeader(status)
		_, _ = io.WriteString(out, "own failure")
	}
}

// failsWithLongBody responds with a failure whose body is too long to be buffered.
func failsWithLongBody(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Id", r.Header.Get("Id"))
	out.Header().Set("Seal", "sealed")
	out.WriteHeader(http.StatusInternalServerError)
	_, _ = out.Write(make([]byte, maxBufferedResponseBytes+1000))
}

// servesLongBody responds with a body that is too long to be buffered.
func servesLongBody(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	out.Header().Set("Id", r.Header.Get("Id"))
	out.Header().Set("Seal", "sealed")
	_, _ = out.Write(make([]byte, maxBufferedResponseBytes+1000))
}

// breaksOffLongBody begins such a response and closes the connection.
func breaksOffLongBody(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Length", strconv.Itoa(2*maxBufferedResponseBytes))
	servesLongBody(out, r)
	panic(http.ErrAbortHandler)
}

// servesLate responds shortly before the route's timeout.
func servesLate(out http.ResponseWriter, r *http.Request) {
	time.Sleep(routeTimeout - 50*time.Millisecond)
	serves(out, r)
}

func sheds(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Id", r.Header.Get("Id"))
	out.Header().Set("Not-Run", "1")
	out.WriteHeader(http.StatusServiceUnavailable)
}

func resets(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func truncates(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Id", r.Header.Get("Id"))
	out.Header().Set("Seal", "sealed")
	out.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(out, "only this")
}

func answersOtherRequest(out http.ResponseWriter, _ *http.Request) {
	out.Header().Set("Id", "another")
	out.Header().Set("Seal", "sealed")
	_, _ = io.WriteString(out, "response to another request")
}

func unsigned(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(out, "no signature")
}

func encoded(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Encoding", "gzip")
	serves(out, r)
}

func hangs(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only then
	<-r.Context().Done()
}
