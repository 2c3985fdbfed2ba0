package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// keyDialect is a plainDialect with callers' keys.
type keyDialect struct{ plainDialect }

func (d keyDialect) ReadRequest(h http.Header) dialect.Request {
	request := d.plainDialect.ReadRequest(h)
	request.Key = h.Get("Key")
	return request
}

// countedQuotas admits a number of requests.
type countedQuotas struct{ allowed, admitted, asked int }

func (c *countedQuotas) Admit(*routing.Customer) (time.Duration, bool) {
	c.asked++
	if c.admitted >= c.allowed {
		return 700 * time.Millisecond, false
	}
	c.admitted++
	return 0, true
}

// onePrimary is a fleet with a primary VM, which is only named.
type onePrimary struct{ noCarriers }

func (onePrimary) Primary(_ string, tried []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "vm-2", nil, len(tried) == 0
}

// limitedTable returns routes with a limited customer, an unlimited one and a public route.
func limitedTable(t *testing.T) *routing.Table {
	t.Helper()
	route := func(name, prefix string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: routeTimeout, MaxAttempts: 2, Public: name == "public",
			Split: []routing.Share{{Service: "s", Weight: 1}},
		}
	}
	table, err := routing.Compile(routing.Document{
		Version: 1, Services: []routing.Service{{Name: "s", MaxConnections: 330}},
		Routes: []routing.Route{
			route("once", oncePath, routing.KindOnce), route("safe", safePath, routing.KindIdempotent), route("public", "/public/", routing.KindIdempotent),
		},
		Customers: []routing.Customer{
			{Name: "limited", Keys: []routing.KeyDigest{routing.DigestKey("k1")}, Rate: 1, Burst: 1},
			{Name: "unlimited", Keys: []routing.KeyDigest{routing.DigestKey("k2")}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// withQuotas runs a test with limited customers.
func withQuotas(t *testing.T, behaviors []behavior, allowed int, test func(h *harness, quotas *countedQuotas)) {
	t.Helper()
	withHarness(t, behaviors, func(h *harness) {
		quotas := &countedQuotas{allowed: allowed}
		h.table = limitedTable(t)
		h.targets.RoutesChanged(h.table)
		h.gateway.options.Dialect, h.gateway.options.Quotas = keyDialect{}, quotas
		test(h, quotas)
	})
}

// postWithKey sends one request with a key and a body.
func (h *harness) postWithKey(path, key string, body io.Reader) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "http://"+host+path, body)
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", key)
	recorder := httptest.NewRecorder()
	h.gateway.ServeHTTP(recorder, request)
	return recorder
}

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (u unreadBody) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, io.EOF
}

// TestRequestOverTheLimitIsRefusedBeforeItsBodyIsRead guards against requests over the limit
// that hold memory or run.
func TestRequestOverTheLimitIsRefusedBeforeItsBodyIsRead(t *testing.T) {
	withQuotas(t, []behavior{serves}, 1, func(h *harness, _ *countedQuotas) {
		if got := h.postWithKey(oncePath+"1", "k1", strings.NewReader("x")); got.Code != http.StatusOK {
			t.Fatalf("status %d within the limit", got.Code)
		}
		got := h.postWithKey(oncePath+"1", "k1", unreadBody{t})
		if got.Code != http.StatusTooManyRequests || got.Header().Get("After") == "" || h.total() != 1 {
			t.Errorf("status %d, header %v, %d attempts", got.Code, got.Header(), h.total())
		}
	})
}

// TestOnlyLimitedCustomersAreCounted guards against limits that act on others.
func TestOnlyLimitedCustomersAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, path, key string
		status, asked   int
	}{
		{"limited", oncePath, "k1", http.StatusTooManyRequests, 1},
		{"unlimited", oncePath, "k2", http.StatusOK, 0},
		{"public route", "/public/", "k1", http.StatusOK, 0},
		{"unknown key", oncePath, "k3", http.StatusUnauthorized, 0},
	} {
		withQuotas(t, []behavior{serves}, 0, func(h *harness, quotas *countedQuotas) {
			if got := h.postWithKey(c.path+"1", c.key, strings.NewReader("x")); got.Code != c.status || quotas.asked != c.asked {
				t.Errorf("%s: status %d, asked %d times", c.name, got.Code, quotas.asked)
			}
		})
	}
}

// TestWithoutQuotasNothingIsLimited guards against a change for deployments without limits.
func TestWithoutQuotasNothingIsLimited(t *testing.T) {
	withQuotas(t, []behavior{serves}, 0, func(h *harness, _ *countedQuotas) {
		h.gateway.options.Quotas = nil
		if got := h.postWithKey(oncePath+"1", "k1", strings.NewReader("x")); got.Code != http.StatusOK {
			t.Errorf("status %d", got.Code)
		}
	})
}

// TestSecondAttemptsAreNotCharged guards against a customer whose failing targets use up its
// limit.
func TestSecondAttemptsAreNotCharged(t *testing.T) {
	withQuotas(t, []behavior{sheds, sheds}, 10, func(h *harness, quotas *countedQuotas) {
		h.postWithKey(safePath+"1", "k1", strings.NewReader("x"))
		if h.total() != 2 || quotas.admitted != 1 {
			t.Errorf("%d attempts, charged %d times", h.total(), quotas.admitted)
		}
	})
}

// TestForwardedRequestIsChargedWhereItRuns guards against requests that are charged twice, or
// not at all, when two VMs handle them.
func TestForwardedRequestIsChargedWhereItRuns(t *testing.T) {
	for _, c := range []struct {
		name string
		head *primroseloomv1.ForwardHead
		want int
	}{
		{"by a VM that is no primary VM", &primroseloomv1.ForwardHead{DeadlineMs: 500}, 1},
		{"by a VM that is cut off", &primroseloomv1.ForwardHead{DeadlineMs: 500, QuotaCharged: true}, 0},
		{"after an attempt at another VM", &primroseloomv1.ForwardHead{DeadlineMs: 500, SentAttempts: 1}, 0},
	} {
		withQuotas(t, []behavior{serves}, 10, func(h *harness, quotas *countedQuotas) {
			// A VM that runs what others forward never forwards it again.
			h.gateway.options.Carriers = onePrimary{}
			request := forwardedRequest(safePath + "1")
			request.Header.Set("Key", "k1")
			recorder := httptest.NewRecorder()
			if refusal := h.gateway.serveForwarded(recorder, request, c.head); refusal != nil || quotas.admitted != c.want {
				t.Errorf("%s: refusal %+v, charged %d times, want %d", c.name, refusal, quotas.admitted, c.want)
			}
		})
	}
}

// TestForwardedRequestOverTheLimitIsNotRun checks the refusal that the forwarding VM passes on.
func TestForwardedRequestOverTheLimitIsNotRun(t *testing.T) {
	withQuotas(t, []behavior{serves}, 0, func(h *harness, _ *countedQuotas) {
		request := forwardedRequest(safePath + "1")
		request.Header.Set("Key", "k1")
		refusal := h.gateway.serveForwarded(httptest.NewRecorder(), request, &primroseloomv1.ForwardHead{DeadlineMs: 500})
		if refusal == nil || refusal.Reason != outcome.ReasonRateLimit || refusal.Outcome != outcome.NotRun || refusal.RetryAfter == 0 {
			t.Fatalf("refusal %+v", refusal)
		}
		if got := refusedByVM("vm-2", refusalMessage(refusal)); got.otherMayServe || statusOf(got.refusal) != http.StatusTooManyRequests {
			t.Errorf("passed on as %+v", got.refusal)
		}
	})
}

// TestRequestForAPrimaryVMIsNotChargedOnArrival guards against a request that is charged by
// the VM that forwards it and by the VM that runs it; when no primary VM can be reached, the
// VM charges it and serves it itself.
func TestRequestForAPrimaryVMIsNotChargedOnArrival(t *testing.T) {
	withQuotas(t, []behavior{serves}, 0, func(h *harness, quotas *countedQuotas) {
		h.gateway.options.Carriers = onePrimary{}
		q := h.gateway.newRequest(httptest.NewRecorder(), forwardedRequest(safePath+"1"))
		q.metadata.Key = "k1"
		if refusal := q.prepare(q.writer); refusal != nil || quotas.asked != 0 {
			t.Fatalf("refusal %+v, asked %d times", refusal, quotas.asked)
		}
		h.gateway.options.Carriers = noCarriers{}
		if _, refusal := q.run(t.Context()); refusal == nil || refusal.Reason != outcome.ReasonRateLimit || h.total() != 0 {
			t.Errorf("refusal %+v, %d attempts", refusal, h.total())
		}
	})
}
