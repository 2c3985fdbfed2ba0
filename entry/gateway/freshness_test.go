package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// publicPath is a route that needs no key.
const publicPath = "/public/"

// fakeFreshness says whether keys are current, and counts the requests with keys.
type fakeFreshness struct {
	current bool
	used    int
	// onCheck is called at each check.
	onCheck func()
}

func (f *fakeFreshness) Current() bool {
	if f.onCheck != nil {
		f.onCheck()
	}
	return f.current
}
func (f *fakeFreshness) Used() { f.used++ }

// countingCarriers is a fleet of which no VM serves requests; it counts who asks for one.
type countingCarriers struct {
	noCarriers
	asked int
}

func (c *countingCarriers) CurrentCarrier(string, []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	c.asked++
	return "", nil, false
}

// tableWithKeys returns routes of a version that need one of the keys, except the public one.
func tableWithKeys(t *testing.T, version uint64, keys ...string) *routing.Table {
	t.Helper()
	customer := routing.Customer{Name: "acme"}
	for _, key := range keys {
		customer.Keys = append(customer.Keys, routing.DigestKey(key))
	}
	route := func(prefix string, isPublic bool) routing.Route {
		return routing.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: routing.KindOnce, Timeout: routeTimeout, MaxAttempts: 2, Public: isPublic,
			Split: []routing.Share{{Service: "s", Weight: 1}},
		}
	}
	table, err := routing.Compile(routing.Document{
		Version: version, Services: []routing.Service{{Name: "s", MaxConnections: 330}}, Customers: []routing.Customer{customer},
		Routes: []routing.Route{route(oncePath, false), route(publicPath, true)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// sendWithKey sends one request through the gateway.
func (h *harness) sendWithKey(path, key string) *httptest.ResponseRecorder {
	request := forwardedRequest(path)
	if key != "" {
		request.Header.Set("Key", key)
	}
	recorder := httptest.NewRecorder()
	h.gateway.ServeHTTP(recorder, request)
	return recorder
}

// TestKeysThatAreNotCurrent is a table of the requests at a VM that can, or cannot, show that
// its routes are current, while no other VM can be reached.
func TestKeysThatAreNotCurrent(t *testing.T) {
	for _, c := range []struct {
		name    string
		current bool
		path    string
		key     string
		status  int
		// asks is true when another VM is looked for.
		asks bool
	}{
		{"a valid key", true, oncePath, "k", http.StatusOK, false},
		{"an unknown key", true, oncePath, "x", http.StatusUnauthorized, false},
		{"no key", true, oncePath, "", http.StatusUnauthorized, false},
		{"a public route", true, publicPath, "", http.StatusOK, false},
		{"a valid key at a VM that is not current", false, oncePath, "k", http.StatusServiceUnavailable, true},
		{"an unknown key there, which may be new", false, oncePath, "x", http.StatusServiceUnavailable, true},
		{"no key there", false, oncePath, "", http.StatusUnauthorized, false},
		{"a public route there", false, publicPath, "", http.StatusOK, false},
		{"a public route with a key there", false, publicPath, "k", http.StatusOK, false},
	} {
		withHarness(t, []behavior{serves}, func(h *harness) {
			carriers := &countingCarriers{}
			h.table = tableWithKeys(t, 2, "k")
			h.targets.RoutesChanged(h.table)
			h.gateway.options.Keys, h.gateway.options.Carriers = &fakeFreshness{current: c.current}, carriers
			start := time.Now()
			got := h.sendWithKey(c.path+"1", c.key)
			if got.Code != c.status || time.Since(start) > 50*time.Millisecond || (carriers.asked > 0) != c.asks {
				t.Errorf("%s: status %d, %d VMs asked for", c.name, got.Code, carriers.asked)
			}
			if runs := h.total(); runs != map[bool]int{true: 1}[c.status == http.StatusOK] {
				t.Errorf("%s: ran %d times", c.name, runs)
			}
			if (got.Header().Get("After") != "") != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("%s: retry time %q", c.name, got.Header().Get("After"))
			}
		})
	}
}

// TestForwardedRequestIsRefusedWhereKeysAreNotCurrent guards against a request that is
// forwarded twice, or that runs at a VM which is as little current as the one that forwards it.
func TestForwardedRequestIsRefusedWhereKeysAreNotCurrent(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		h.table = tableWithKeys(t, 2, "k")
		h.targets.RoutesChanged(h.table)
		carriers := &countingCarriers{}
		h.gateway.options.Keys, h.gateway.options.Carriers = &fakeFreshness{}, carriers
		request := forwardedRequest(oncePath + "1")
		request.Header.Set("Key", "k")
		refusal := h.gateway.serveForwarded(httptest.NewRecorder(), request, &primroseloomv1.ForwardHead{DeadlineMs: 500})
		if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.Reason != outcome.ReasonKeysNotCurrent || h.total() > 0 || carriers.asked > 0 {
			t.Fatalf("refusal %+v, %d runs, %d VMs asked for", refusal, h.total(), carriers.asked)
		}
		if result := refusedByVM("vm-2", refusalMessage(refusal)); !result.otherMayServe {
			t.Error("the VM that forwarded it tries no other one")
		}
	})
}

// TestRoutesAreReadAfterTheCheck guards against a request that is authenticated by routes which
// were replaced between the reading of the routes and the check that they are current.
func TestRoutesAreReadAfterTheCheck(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		h.table = tableWithKeys(t, 2, "k")
		next := tableWithKeys(t, 3, "other")
		h.gateway.options.Keys = &fakeFreshness{current: true, onCheck: func() { h.table = next }}
		if got := h.sendWithKey(oncePath+"1", "k"); got.Code != http.StatusUnauthorized {
			t.Errorf("status %d with a key that was withdrawn before the check", got.Code)
		}
	})
}

// TestRequestsWithKeysAreCounted guards against a VM that has its routes confirmed for
// requests that need no key, or does not for those that do.
func TestRequestsWithKeysAreCounted(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		keys := &fakeFreshness{current: true}
		h.gateway.options.Keys = keys
		h.sendWithKey(oncePath+"1", "k") // callers need no key yet
		h.table = tableWithKeys(t, 2, "k")
		h.targets.RoutesChanged(h.table)
		for path, key := range map[string]string{oncePath + "2": "k", oncePath + "3": "", publicPath + "4": "k"} {
			h.sendWithKey(path, key)
		}
		if keys.used != 1 {
			t.Errorf("%d requests with keys, want 1", keys.used)
		}
	})
}
