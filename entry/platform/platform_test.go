package platform

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/standin/memnet"
	standin "github.com/primroseloom/primroseloom/standin/platform"
)

// serve runs a handler at an address of the network until the test ends.
func serve(t *testing.T, network *memnet.Network, ip string, handler http.Handler) string {
	t.Helper()
	listener, err := network.Host(ip).Listen(t.Context(), ip+":80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return ip + ":80"
}

// newReplicatedPair returns a platform of two replicas and a client of it.
func newReplicatedPair(t *testing.T) (*standin.Platform, *Client) {
	network := memnet.New()
	store := standin.NewReplicated(2)
	first := serve(t, network, "10.0.0.1", store.Replica(0).Handler())
	second := serve(t, network, "10.0.0.2", store.Replica(1).Handler())
	client := New([]string{first, second}, network.Host("10.0.0.3"))
	t.Cleanup(client.http.CloseIdleConnections)
	return store, client
}

func TestReadAndWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, client := newReplicatedPair(t)
		if _, err := client.Read(t.Context(), "k"); !errors.Is(err, ErrNotFound) {
			t.Errorf("missing key: %v", err)
		}
		if err := store.Put("k", []byte("one")); err != nil {
			t.Fatal(err)
		}
		value, err := client.Read(t.Context(), "k")
		if err != nil || value.Version != 1 || string(value.Content) != "one" {
			t.Errorf("read %+v, %v", value, err)
		}
		time.AfterFunc(3*time.Second, func() { _ = store.Put("k", []byte("two")) })
		begin := time.Now()
		value, err = client.Watch(t.Context(), "k", 1, 10*time.Second)
		if err != nil || value.Version != 2 || time.Since(begin) != 3*time.Second {
			t.Errorf("watch %+v after %v, %v", value, time.Since(begin), err)
		}
		calls := store.Calls()
		value, err = client.Watch(t.Context(), "k", 2, 10*time.Second)
		if err != nil || value.Version != 2 || value.Content != nil || store.Calls() != calls+1 {
			t.Errorf("unchanged watch %+v, %v, %d calls", value, err, store.Calls()-calls)
		}
	})
}

func TestFaultyFirstReplicaIsSkipped(t *testing.T) {
	faults := map[string]standin.Faults{
		"down":    {Down: true},
		"one-way": {OneWay: true},
		"frozen":  {Frozen: true},
		"late":    {Lag: time.Hour},
		"slow":    {Delay: 5 * time.Second},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, client := newReplicatedPair(t)
				_ = store.Put("k", []byte("one"))
				_ = store.Put("k", []byte("two"))
				store.Replica(0).SetFaults(fault)
				time.Sleep(time.Second)
				_ = store.Put("k", []byte("three"))
				value, err := client.Watch(t.Context(), "k", 2, 0)
				if err != nil || value.Version < 2 {
					t.Errorf("watch %+v, %v", value, err)
				}
				if name != "frozen" && value.Version != 3 {
					t.Errorf("watch returned version %d, want 3", value.Version)
				}
				if value, err := client.WatchAt(t.Context(), 0, "k", 3, 0); name == "frozen" {
					if err != nil || value.Version != 2 || string(value.Content) != "two" {
						t.Errorf("a watch at a frozen replica returned %+v, %v, want its own value", value, err)
					}
				} else if err == nil {
					t.Error("a watch at a faulty replica succeeded")
				} else if !strings.Contains(err.Error(), "10.0.0.1:80") {
					t.Errorf("error %q does not name the replica", err)
				}
			})
		})
	}
}

func TestInvalidOrOversizedResponsesAreErrors(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"too large": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(VersionHeader, "1")
			_, _ = w.Write(make([]byte, document.MaxValueBytes+1))
		},
		"no version": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://10.0.0.9/", http.StatusFound)
		},
		"huge header": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", strings.Repeat("x", 2*maxHeaderBytes))
		},
		"endless": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(VersionHeader, "1")
			for r.Context().Err() == nil {
				if _, err := w.Write([]byte("x")); err != nil {
					return
				}
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := memnet.New()
				client := New([]string{serve(t, network, "10.0.0.1", handler)}, network.Host("10.0.0.3"))
				t.Cleanup(client.http.CloseIdleConnections)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if value, err := client.Read(ctx, "k"); err == nil || ctx.Err() != nil {
					t.Errorf("read %d bytes, %v", len(value.Content), err)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

func TestStandinEnforcesPlatformLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, client := newReplicatedPair(t)
		if err := store.Put("k", make([]byte, document.MaxValueBytes+1)); err == nil {
			t.Error("a value above a megabyte is stored")
		}
		request, _ := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://10.0.0.1:80/v1/values/k", strings.NewReader("x"))
		response, err := client.http.Do(request)
		if err != nil || response.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("the response to a write is %+v, %v", response, err)
		}
		_ = store.Put("k", []byte("one"))
		refused := 0
		for range standin.MaxCallsPerSecond + 10 {
			var status *StatusError
			if _, err := client.ReadAt(t.Context(), 0, "k"); errors.As(err, &status) && status.Status == http.StatusTooManyRequests {
				refused++
			}
		}
		// The PUT counts as a call too, so 11 of the calls are above the limit.
		if refused != 11 || store.RefusedCalls() != 11 {
			t.Errorf("%d calls refused, want the 11 above the limit", refused)
		}
		if err := store.PublishVMs(document.VMList{Entries: []document.VMEntry{{Name: "vm-1"}}}, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		if _, err := client.Read(t.Context(), document.VMListKey); !errors.Is(err, ErrNotFound) {
			t.Errorf("the VM list is visible before its lag has passed: %v", err)
		}
		time.Sleep(2 * time.Second)
		if _, err := client.Read(t.Context(), document.VMListKey); err != nil {
			t.Errorf("the VM list is not visible after its lag has passed: %v", err)
		}
	})
}
