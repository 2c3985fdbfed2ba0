package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/signals"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// commandVariable makes the test's executable run the daemon's command.
	commandVariable = "PRIMROSELOOMD_TEST_COMMAND"
	// signalTestTimeout bounds a test whose daemon does not do what it waits for.
	signalTestTimeout = 20 * time.Second
	// signalTestGrace is the grace period of the daemons' stops, longer than the tests take.
	signalTestGrace = 90 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		limitDescriptors(os.Getenv(descriptorsVariable))
		main()
	}
	os.Exit(m.Run())
}

// frontProcess is a real process of the front command before a store and one target.
type frontProcess struct {
	t       *testing.T
	ctx     context.Context
	command *exec.Cmd
	// lines receives the lines that the process logs; it is closed when the output ends.
	lines    chan string
	settings settings.Frontend
	// arrived receives one value for each request at the target, which answers once release is
	// closed.
	arrived, release chan struct{}
}

// lastPort is the port that freeAddress returned last.
var lastPort atomic.Int32

// freeAddress returns an address that nothing listens on. Its IP address is one that other processes
// hardly use; their connections take any port of 127.0.0.1.
func freeAddress() string {
	const firstPort, hosts = 18000, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid/hosts%hosts, 1+pid%hosts, firstPort+lastPort.Add(1))
}

// frontSettings returns the settings of a VM before a store at an address.
func frontSettings(store string) settings.Frontend {
	set := settings.DefaultFrontend()
	set.VM, set.Zone, set.Region, set.Store = "vm-1", "zone-a", "local", store
	set.Listen = settings.FrontendListen{
		Callers: freeAddress(), Readiness: freeAddress(), Directory: freeAddress(),
		Peers: freeAddress(), Evidence: freeAddress(), Admin: freeAddress(),
	}
	set.Stop = settings.Stop{Grace: document.Duration(signalTestGrace), Linger: document.Duration(100 * time.Millisecond)}
	return set
}

// startFront starts the process; its store answers only with a served store.
func startFront(t *testing.T, servedStore bool) *frontProcess {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), signalTestTimeout)
	t.Cleanup(cancel)
	p := &frontProcess{t: t, ctx: ctx, lines: make(chan string, 1000), arrived: make(chan struct{}, 1), release: make(chan struct{})}
	store := freeAddress()
	if servedStore {
		store = p.startStore()
	}
	p.settings = frontSettings(store)
	content, err := json.Marshal(p.settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "vm-1.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	p.command = exec.CommandContext(ctx, os.Args[0], "front", "--settings", file)
	p.command.Env = append(os.Environ(), commandVariable+"=1")
	out, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go p.readLines(out)
	return p
}

func (p *frontProcess) readLines(out io.Reader) {
	defer close(p.lines)
	for scanner := bufio.NewScanner(out); scanner.Scan(); {
		p.lines <- scanner.Text()
	}
}

// startStore starts a store that publishes one route and a target, and returns its address.
func (p *frontProcess) startStore() string {
	target := httptest.NewServer(http.HandlerFunc(p.serveTarget))
	p.t.Cleanup(target.Close)
	store := platform.NewStandInStore()
	store.PublishRoutes(routing.Document{
		Version: 1, Services: []routing.Service{{Name: "booking", MaxConnections: 10}},
		Limits: routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []routing.Route{{
			Name: "book", Host: "booking.example", Prefix: "/book/", Kind: routing.KindOnce, Timeout: time.Minute,
			Objective: time.Minute, Priority: 1, MaxAttempts: 1, Split: []routing.Share{{Service: "booking", Weight: 1}}, Public: true,
		}},
	})
	store.PublishTarget(roster.Target{
		ID: "t1", Service: "booking", Address: target.Listener.Addr().String(), Zone: "zone-a", SoftwareVersion: "v1",
		Slots: 3, State: roster.StateReady, StartedAt: time.Now(),
	})
	server := httptest.NewServer(store)
	p.t.Cleanup(server.CloseClientConnections) // ends the daemon's watches
	return server.Listener.Addr().String()
}

// serveTarget answers a request once release is closed or its connection has ended.
func (p *frontProcess) serveTarget(w http.ResponseWriter, r *http.Request) {
	attempt := platform.Headers{}.ReadAttempt(r.Header)
	if attempt.AttemptID == "" {
		return // a health check
	}
	_, _ = io.Copy(io.Discard, r.Body) // the context ends with the connection only once the body is read
	p.arrived <- struct{}{}
	select {
	case <-p.release:
	case <-r.Context().Done():
	}
	platform.Headers{}.WriteResponse(w.Header(), dialect.ResponseMetadata{AttemptID: attempt.AttemptID, Signed: true, Load: &dialect.Load{Slots: 3}})
	_, _ = io.WriteString(w, "booked")
}

// awaitEvent reads the process's log up to an event.
func (p *frontProcess) awaitEvent(event int) {
	p.t.Helper()
	var read []string
	for line := range p.lines {
		read = append(read, line)
		if slices.Contains(strings.Fields(line), fmt.Sprintf("event=%d", event)) {
			return
		}
	}
	p.t.Fatalf("the daemon's log ended without event %d:\n%s", event, strings.Join(read, "\n"))
}

func (p *frontProcess) signal(number syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(number); err != nil {
		p.t.Fatalf("%v: %v", number, err)
	}
}

// book sends one request and returns its status, or 0 if the connection ends without a response.
func (p *frontProcess) book() int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+p.settings.Listen.Callers+"/book/1", strings.NewReader("slot"))
	if err != nil {
		p.t.Error(err)
		return 0
	}
	request.Host = "booking.example"
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: "a1", Remaining: time.Minute})
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// startBooking sends one request, returns once its target works on it, and delivers its status later.
func (p *frontProcess) startBooking() <-chan int {
	p.t.Helper()
	status := make(chan int, 1)
	go func() { status <- p.book() }()
	select {
	case <-p.arrived:
	case got := <-status:
		p.t.Fatalf("the request was answered with status %d without its target", got)
	case <-p.ctx.Done():
		p.t.Fatal("the request did not reach its target")
	}
	return status
}

// end waits until the process has ended and returns how.
func (p *frontProcess) end() syscall.WaitStatus {
	for range p.lines { // the output ends with the process
	}
	_ = p.command.Wait()
	return p.command.ProcessState.Sys().(syscall.WaitStatus)
}

// TestSignalsDuringAStopCutNoRequest guards against a stop that a repeated signal ends at once, with
// all requests in progress: the platform may send SIGTERM again during the grace period.
func TestSignalsDuringAStopCutNoRequest(t *testing.T) {
	const term, interrupt, hangUp = syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP
	for _, c := range []struct {
		name  string
		first syscall.Signal
		later []syscall.Signal
	}{
		{"SIGTERM again", term, []syscall.Signal{term, term}},
		{"SIGINT after SIGTERM, twice", term, []syscall.Signal{interrupt, interrupt}},
		{"SIGHUP after SIGTERM", term, []syscall.Signal{hangUp, hangUp}},
		{"SIGTERM after SIGINT", interrupt, []syscall.Signal{term, interrupt}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startFront(t, true)
			p.awaitReady()
			status := p.startBooking()
			p.signal(c.first)
			p.awaitEvent(1103)
			for _, later := range c.later {
				p.signal(later)
				p.awaitEvent(1007)
			}
			close(p.release)
			if got := <-status; got != http.StatusOK {
				t.Errorf("the request in progress got status %d, want 200", got)
			}
			if got := p.end(); got.ExitStatus() != 0 {
				t.Errorf("the process ended with %v (signal %v), want exit code 0", got.ExitStatus(), got.Signal())
			}
		})
	}
}

// TestSecondInterruptEndsTheDaemonAtOnce guards against a daemon that can't be ended from a terminal
// while a request is in progress.
func TestSecondInterruptEndsTheDaemonAtOnce(t *testing.T) {
	p := startFront(t, true)
	p.awaitReady()
	status := p.startBooking()
	p.signal(syscall.SIGINT)
	p.awaitEvent(1103)
	p.signal(syscall.SIGINT)
	if got := p.end(); !got.Signaled() || got.Signal() != syscall.SIGINT {
		t.Errorf("the process ended with status %#x, want the end by SIGINT", int(got))
	}
	if got := <-status; got != 0 {
		t.Errorf("the request in progress got status %d, want a closed connection", got)
	}
}

// TestSignalsBeforeTheVMIsReady guards against a daemon that a signal ends by its default action, or
// that fails, while it has no routes yet.
func TestSignalsBeforeTheVMIsReady(t *testing.T) {
	p := startFront(t, false)
	p.awaitEvent(1101)
	p.signal(syscall.SIGHUP)
	p.awaitEvent(1105)
	p.signal(syscall.SIGTERM)
	p.awaitEvent(1104)
	if got := p.end(); got.ExitStatus() != 0 {
		t.Errorf("the process ended with %v (signal %v), want exit code 0", got.ExitStatus(), got.Signal())
	}
}

// TestStopBeforeTheStartIsAProperEnd guards against a failure of a daemon that gets SIGTERM before its
// listeners are open.
func TestStopBeforeTheStartIsAProperEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := front(ctx, filepath.Join(t.TempDir(), "none.json"), frontSettings(freeAddress()), &signals.Handler{}); err != nil {
		t.Error(err)
	}
}

// awaitReady waits until the process accepts callers.
func (p *frontProcess) awaitReady() {
	p.t.Helper()
	for p.ctx.Err() == nil {
		response, err := http.Get("http://" + p.settings.Listen.Readiness + platform.DirectoryPages{}.ReadinessPath())
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	var read []string
	for line := range p.lines { // the context has ended the process
		read = append(read, line)
	}
	p.t.Fatalf("the daemon did not get ready:\n%s", strings.Join(read, "\n"))
}
