package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/entry/directory"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/standin/memnet"
	"github.com/primroseloom/primroseloom/standin/platform"
	"github.com/primroseloom/primroseloom/standin/target"
)

const (
	callerIP       = "10.9.0.1"
	platformIP     = "10.8.0.1"
	bookingHost    = "booking.soojavee.example"
	portal         = "portal"
	bookingService = "booking"
	settleTime     = 5 * time.Second
)

// clock is an instance's clock in virtual time.
type clock struct{ start time.Time }

func (c clock) Uptime() time.Duration { return time.Since(c.start) }

// world runs instances, the platform and the targets of the Sooja Vee example on
// an in-memory network, in virtual time.
type world struct {
	t          *testing.T
	ctx        context.Context
	network    *memnet.Network
	platform   *platform.Platform
	deployment document.Deployment
	generation uint64
	targets    map[string]*target.Target
	stops      map[string]context.CancelFunc
	done       map[string]chan error
	client     *http.Client
	// configure changes the settings of the VMs that are started; nil for no change.
	configure func(set *settings.Settings)
}

// inWorld runs a test in a world with the given number of VMs, after they have settled.
func inWorld(t *testing.T, vms int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{
			t:          t,
			ctx:        ctx,
			network:    memnet.New(),
			platform:   platform.New(),
			deployment: examples.SoojaVee(),
			targets:    make(map[string]*target.Target),
			stops:      make(map[string]context.CancelFunc),
			done:       make(map[string]chan error),
		}
		transport := &http.Transport{DialContext: w.network.Host(callerIP).DialContext}
		w.client = &http.Client{Transport: transport}
		stopPlatform := w.startPlatform()
		w.startTargets(ctx)
		w.publish()
		for i := range vms {
			w.startVM(ctx, i)
		}
		time.Sleep(settleTime)
		test(w)
		w.client.CloseIdleConnections()
		for name := range w.stops {
			w.stopVM(name)
		}
		stopPlatform()
		cancel()
		synctest.Wait()
	})
}

func (w *world) startPlatform() (stop func()) {
	listener, err := w.network.Host(platformIP).Listen(w.t.Context(), platformIP+":80")
	if err != nil {
		w.t.Fatal(err)
	}
	server := &http.Server{Handler: w.platform.Handler()}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}

func (w *world) startTargets(ctx context.Context) {
	for number, service := range w.deployment.Services {
		for i, each := range service.Targets {
			host := fmt.Sprintf("10.%d.0.%d", number, i+1)
			service.Targets[i].Address = host + ":80"
			listener, err := w.network.Host(host).Listen(ctx, host+":80")
			if err != nil {
				w.t.Fatal(err)
			}
			running := target.New(target.Options{
				Name: each.Name, Slots: service.Slots, Queue: 3, MaxConnections: service.MaxConnections,
				ServiceTime: func() time.Duration { return 5 * time.Millisecond },
			})
			w.targets[each.Name] = running
			go func() { _ = running.Serve(ctx, listener) }()
		}
	}
}

func (w *world) publish() {
	w.generation++
	if err := w.platform.PublishDeployment(w.deployment, w.generation); err != nil {
		w.t.Fatal(err)
	}
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func vmIP(i int) string { return fmt.Sprintf("10.7.0.%d", i+1) }

func (w *world) startVM(ctx context.Context, i int) {
	set := settings.Default()
	set.Fleet, set.VM, set.Region = "test", vmName(i), "ee"
	set.Zone = []string{"ee-a", "ee-b", "ee-c"}[i%3]
	set.Listen = settings.Listen{Callers: vmIP(i) + ":80", Peers: vmIP(i) + ":81", Admin: vmIP(i) + ":82"}
	set.Platform = []string{platformIP + ":80"}
	set.TLS.Off = true
	if i > 0 {
		set.FirstPeers = []string{vmIP(0) + ":81"}
	}
	if w.configure != nil {
		w.configure(&set)
	}
	instance, err := New(Options{
		Settings: set,
		Network:  w.network.Host(vmIP(i)),
		Logger:   log.New(io.Discard),
		Clock:    clock{start: time.Now()},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	w.stops[set.VM], w.done[set.VM] = cancel, done
}

// stopVM starts a planned stop of a VM and waits until it has ended.
func (w *world) stopVM(name string) {
	w.t.Helper()
	w.stops[name]()
	if err := <-w.done[name]; err != nil {
		w.t.Errorf("stop %s: %v", name, err)
	}
	delete(w.stops, name)
}

// queryDirectory queries the directory of VM i.
func (w *world) queryDirectory(i int) directory.Response {
	w.t.Helper()
	var decoded directory.Response
	url := fmt.Sprintf("http://%s:80/v1/directory?service=%s&customer=%s", vmIP(i), bookingService, portal)
	response, err := w.client.Get(url)
	if err != nil {
		w.t.Fatalf("directory of %s: %v", vmName(i), err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil {
		w.t.Fatalf("directory of %s: %v", vmName(i), err)
	}
	return decoded
}

// result is the response that a caller got.
type result struct {
	status  int
	outcome string
	body    []byte
}

// send sends one request of the customer "portal" to VM i.
func (w *world) send(i int, method, path, id, key string, body io.Reader) result {
	w.t.Helper()
	request, err := http.NewRequest(method, "http://"+vmIP(i)+":80"+path, body)
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = bookingHost
	request.Header.Set("Primroseloom-Credential", examples.Credential(portal))
	request.Header.Set("Request-Id", id)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := w.client.Do(request)
	if err != nil {
		w.t.Fatalf("%s %s to %s: %v", method, path, vmName(i), err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		w.t.Fatalf("%s %s to %s: %v", method, path, vmName(i), err)
	}
	return result{response.StatusCode, response.Header.Get("Primroseloom-Outcome"), content}
}

// runs returns how often targets ran a request.
func (w *world) runs(id string) int {
	total := 0
	for _, each := range w.targets {
		total += each.Runs()[id]
	}
	return total
}

// slowBody is a request body whose chunks arrive one by one, with pauses.
type slowBody struct {
	chunks int
	pause  time.Duration
}

// Read returns the next chunk after a pause.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunks == 0 {
		return 0, io.EOF
	}
	b.chunks--
	time.Sleep(b.pause)
	return copy(p, bytes.Repeat([]byte("x"), 1024)), nil
}
