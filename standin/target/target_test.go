package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

const (
	callerIP = "10.0.0.1"
	targetIP = "10.0.0.2"
	address  = targetIP + ":80"
)

// start serves a target on an in-memory network and returns it with a client.
func start(t *testing.T, options Options) (*Target, *http.Client) {
	t.Helper()
	network := memnet.New()
	listener, err := network.Host(targetIP).Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	target := New(options)
	ctx, cancel := context.WithCancel(t.Context())
	transport := &http.Transport{DialContext: network.Host(callerIP).DialContext, DisableKeepAlives: true}
	go func() { _ = target.Serve(ctx, listener) }()
	t.Cleanup(cancel)
	return target, &http.Client{Transport: transport}
}

func get(t *testing.T, client *http.Client, path, id string) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(CorrelationHeader, "c-"+id)
	request.Header.Set(RequestIDHeader, id)
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

func TestFaultsShowInResponses(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		check  func(t *testing.T, response *http.Response, body []byte, err error)
	}{
		{"none", Faults{}, func(t *testing.T, response *http.Response, _ []byte, err error) {
			if err != nil || response.StatusCode != http.StatusOK || response.Header.Get(CorrelationHeader) != "c-1" {
				t.Errorf("response %v, error %v", response, err)
			}
		}},
		{"errors", Faults{ErrorShare: 1}, func(t *testing.T, response *http.Response, _ []byte, err error) {
			if err != nil || response.StatusCode != http.StatusInternalServerError {
				t.Errorf("response %v, error %v", response, err)
			}
		}},
		{"wrong", Faults{WrongShare: 1}, func(t *testing.T, response *http.Response, _ []byte, err error) {
			if err != nil || response.Header.Get(CorrelationHeader) == "c-1" {
				t.Errorf("response %v, error %v", response, err)
			}
		}},
		{"truncated", Faults{TruncateShare: 1}, func(t *testing.T, _ *http.Response, _ []byte, err error) {
			if err == nil {
				t.Error("the response was complete")
			}
		}},
		{"reset", Faults{ResetShare: 1}, func(t *testing.T, _ *http.Response, _ []byte, err error) {
			if err == nil {
				t.Error("the request was answered")
			}
		}},
		{"crash", Faults{CrashPath: "/", CrashedFor: document.Duration(time.Second)}, func(t *testing.T, _ *http.Response, _ []byte, err error) {
			if err == nil {
				t.Error("the request was answered")
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target, client := start(t, Options{Name: "t1", Slots: 1})
				target.SetFaults(test.faults)
				response, body, err := get(t, client, "/", "1")
				test.check(t, response, body, err)
				if target.Runs()["1"] != 1 {
					t.Errorf("recorded runs %v", target.Runs())
				}
			})
		})
	}
}

func TestRequestsBeyondSlotsAndQueueAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 1, ServiceTime: func() time.Duration { return time.Second }})
		go func() { _, _, _ = get(t, client, "/", "first") }()
		synctest.Wait()
		response, _, err := get(t, client, "/", "second")
		if err != nil || response.Header.Get(ShedHeader) != "1" {
			t.Errorf("response %v, error %v", response, err)
		}
		if target.Runs()["second"] != 0 {
			t.Error("a shed request was run")
		}
		time.Sleep(2 * time.Second)
	})
}

func TestDrainingRefusesNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 1})
		target.Drain()
		response, _, err := get(t, client, "/", "1")
		if err != nil || response.Header.Get(DrainingHeader) != "1" || target.Runs()["1"] != 0 {
			t.Errorf("response %v, error %v, runs %v", response, err, target.Runs())
		}
	})
}

func TestOneWayTargetRunsRequestsButResponsesAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 1})
		client.Timeout = time.Second
		target.SetFaults(Faults{OneWay: true})
		if _, _, err := get(t, client, "/", "1"); err == nil || target.Runs()["1"] != 1 {
			t.Errorf("error %v, runs %v", err, target.Runs())
		}
	})
}

func TestLateByDelaysResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 1})
		target.SetFaults(Faults{LateBy: document.Duration(time.Minute)})
		began := time.Now()
		if _, _, err := get(t, client, "/", "1"); err != nil || time.Since(began) < time.Minute {
			t.Errorf("response after %v, error %v", time.Since(began), err)
		}
	})
}

func TestStalledConnectionsDeliverNothingAndNewOnesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 1})
		client.Transport.(*http.Transport).DisableKeepAlives = false
		client.Timeout = time.Second
		if _, _, err := get(t, client, "/", "1"); err != nil {
			t.Fatal(err)
		}
		target.StallConnections()
		if _, _, err := get(t, client, "/", "2"); err == nil {
			t.Error("a stalled connection delivered a response")
		}
		if _, _, err := get(t, client, "/", "3"); err != nil {
			t.Errorf("a new connection: %v", err)
		}
		client.CloseIdleConnections()
	})
}

func TestCrashedTargetIsDownForConfiguredTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 1})
		target.SetFaults(Faults{CrashPath: "/poison", CrashedFor: document.Duration(time.Second)})
		_, _, _ = get(t, client, "/poison", "1")
		if _, _, err := get(t, client, "/", "2"); err == nil {
			t.Error("a crashed target answered")
		}
		time.Sleep(time.Second)
		if _, _, err := get(t, client, "/", "3"); err != nil {
			t.Errorf("a restarted target: %v", err)
		}
	})
}

func TestLoadReportIsRepeatedWithinLoadLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target, client := start(t, Options{Name: "t1", Slots: 2, ServiceTime: func() time.Duration { return time.Minute }})
		target.SetFaults(Faults{LoadLag: document.Duration(time.Second)})
		_, _, _ = get(t, client, "/load", "")
		go func() { _, _, _ = get(t, client, "/", "1") }()
		synctest.Wait()
		if report := load(t, client); report.InFlight != 0 {
			t.Errorf("report %+v, want the previous one", report)
		}
		time.Sleep(time.Second)
		if report := load(t, client); report.InFlight != 1 {
			t.Errorf("report %+v, want one in flight", report)
		}
		time.Sleep(time.Minute)
	})
}

func load(t *testing.T, client *http.Client) Load {
	t.Helper()
	var report Load
	_, body, err := get(t, client, "/load", "")
	if err != nil || json.Unmarshal(body, &report) != nil {
		t.Fatalf("load: %s, %v", body, err)
	}
	return report
}

func TestValidateRejectsShareAboveOne(t *testing.T) {
	if err := (Faults{HangShare: 2}).Validate(); err == nil {
		t.Error("a share of 2 was accepted")
	}
}
