package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/primroseloom/primroseloom/config/routing"
)

// The machine of the VMs of these tests. A crowd must leave them within it.
const (
	// crowdMemoryMB is the machine's memory in megabytes, the bytes in its sockets included.
	crowdMemoryMB = 100
	// crowdDescriptors is the number of descriptors of the VM's process, of which
	// reservedDescriptors are for files.
	crowdDescriptors, reservedDescriptors = 700, 200
	// crowdBodyBytes and crowdHeaderBytes are the routes' limits on a request.
	crowdBodyBytes, crowdHeaderBytes = 1 << 20, 16 << 10
	// crowdGrace is the grace period of a planned stop.
	crowdGrace = 6 * time.Second
	// crowdRouteTimeout is the timeout of the routes.
	crowdRouteTimeout = 10 * time.Second
	// descriptorsVariable is the number of descriptors of a daemon's process.
	descriptorsVariable = "PRIMROSELOOMD_TEST_DESCRIPTORS"
	// measurePause is the time between two measurements of a VM.
	measurePause = 20 * time.Millisecond
	// answerTimeout bounds the wait for an ordinary request that is not answered at all.
	answerTimeout = 20 * time.Second
	// slowPath is the part of a path that makes a target of the tests work until its caller leaves.
	slowPath = "slow"
)

// limitDescriptors bounds the descriptors of this process, if a number is given.
func limitDescriptors(number string) {
	if number == "" {
		return
	}
	limit, err := strconv.ParseUint(number, 10, 64)
	if err == nil {
		err = unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit})
	}
	if err != nil {
		panic(fmt.Sprintf("descriptors %q: %v", number, err))
	}
}

// endpoint is one way to reach a VM from outside.
type endpoint struct {
	name string
	// address is where the endpoint listens.
	address string
	// host, path and header are those of a request at this endpoint; header holds whole lines.
	host, path, header string
	// status is the one that an ordinary request at this endpoint gets.
	status int
}

// head returns the beginning of a request at the endpoint, without the end of its head.
func (d endpoint) head(method, path string) string {
	return method + " " + d.path + path + " HTTP/1.1\r\nHost: " + d.host + "\r\n" + d.header
}

// crowdVM is a real process of one of the daemon's commands, on a small machine.
type crowdVM struct {
	t         *testing.T
	command   *exec.Cmd
	endpoints []endpoint
	// peers are the addresses that the VM connects to.
	peers []string
	ended chan struct{}
	// publish publishes a further version of a front-end VM's routes, with limits on requests.
	publish func(limits routing.Limits)

	mu   sync.Mutex
	tail []string
	// lines is the number of lines that the process has logged.
	lines int
	// peakBytes and peakDescriptors are the most that were measured; peakSockets is the most that the sockets
	// held.
	peakBytes, peakSockets int64
	peakDescriptors        int
}

// startCrowdVM starts a command with settings and measures its process until the test ends.
func startCrowdVM(t *testing.T, command string, set any, endpoints []endpoint, peers ...string) *crowdVM {
	t.Helper()
	content, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "vm-1.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	vm := &crowdVM{t: t, endpoints: endpoints, peers: peers, ended: make(chan struct{})}
	vm.command = exec.CommandContext(t.Context(), os.Args[0], command, "--settings", file)
	vm.command.Env = append(os.Environ(), commandVariable+"=1", descriptorsVariable+"="+strconv.Itoa(crowdDescriptors))
	out, err := vm.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	vm.command.Stderr = vm.command.Stdout
	if err := vm.command.Start(); err != nil {
		t.Fatal(err)
	}
	go vm.follow(out)
	go vm.measure(t.Context())
	t.Cleanup(func() {
		_ = vm.command.Process.Kill()
		<-vm.ended
	})
	return vm
}

// follow keeps the last lines that the process logs, until it ends.
func (vm *crowdVM) follow(out io.Reader) {
	const kept = 30
	defer close(vm.ended)
	for scanner := bufio.NewScanner(out); scanner.Scan(); {
		vm.mu.Lock()
		vm.tail = append(vm.tail[max(0, len(vm.tail)+1-kept):], scanner.Text())
		vm.lines++
		vm.mu.Unlock()
	}
	_ = vm.command.Wait()
}

// measure records what the process and its sockets hold until the context ends.
func (vm *crowdVM) measure(ctx context.Context) {
	for ctx.Err() == nil && vm.isAlive() {
		resident, sockets := vm.residentBytes(), vm.socketBytes()
		entries, _ := os.ReadDir(vm.proc("fd")) // none once the process has ended
		vm.mu.Lock()
		vm.peakBytes, vm.peakDescriptors = max(vm.peakBytes, resident+sockets), max(vm.peakDescriptors, len(entries))
		vm.peakSockets = max(vm.peakSockets, sockets)
		vm.mu.Unlock()
		time.Sleep(measurePause)
	}
}

func (vm *crowdVM) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(vm.command.Process.Pid), file)
}

// residentBytes returns the memory that the process has resident, 0 once it has ended.
func (vm *crowdVM) residentBytes() int64 {
	content, err := os.ReadFile(vm.proc("statm"))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64) // always a number
	return pages * int64(os.Getpagesize())
}

// States of sockets in /proc/net/tcp. The queues of one that listens are numbers of connections; those of one
// that connects may be any numbers for a moment, as the kernel sets the numbers of the first byte and of the
// first one that is not acknowledged one after the other. It holds no bytes yet.
const kernelListening, kernelConnecting = "0A", "02"

// socketBytes returns the bytes in the VM's sockets: received and not read, or written and not
// delivered.
func (vm *crowdVM) socketBytes() int64 {
	local, remote := make(map[string]bool), make(map[string]bool)
	for _, d := range vm.endpoints {
		local[kernelAddress(d.address)] = true
	}
	for _, peer := range vm.peers {
		remote[kernelAddress(peer)] = true
	}
	content, _ := os.ReadFile("/proc/net/tcp") // always there on Linux
	sum := int64(0)
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] && !remote[fields[2]] || fields[3] == kernelListening || fields[3] == kernelConnecting {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			bytes, _ := strconv.ParseInt(queue, 16, 64) // always a number
			sum += bytes
		}
	}
	return sum
}

// kernelAddress returns an address as /proc/net/tcp writes it.
func kernelAddress(address string) string {
	at := netip.MustParseAddrPort(address)
	ip := at.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], at.Port())
}

func (vm *crowdVM) isAlive() bool {
	select {
	case <-vm.ended:
		return false
	default:
		return true
	}
}

// endpoint returns the endpoint with a name.
func (vm *crowdVM) endpoint(name string) endpoint {
	for _, d := range vm.endpoints {
		if d.name == name {
			return d
		}
	}
	vm.t.Fatalf("no endpoint %q", name)
	return endpoint{}
}

// check fails the test if the process has ended, or held more than its machine has.
func (vm *crowdVM) check() {
	vm.t.Helper()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.t.Logf("peak of memory and sockets %.1f MB of %d (sockets %.1f); %d descriptors of %d; %d log lines", float64(vm.peakBytes)/1e6, crowdMemoryMB, float64(vm.peakSockets)/1e6, vm.peakDescriptors, crowdDescriptors-reservedDescriptors, vm.lines)
	if !vm.isAlive() {
		vm.t.Errorf("the process has ended:\n%s", strings.Join(vm.tail, "\n"))
	}
	if vm.peakBytes >= crowdMemoryMB*1e6 {
		vm.t.Errorf("the process and its sockets held %d bytes, want less than %d MB", vm.peakBytes, crowdMemoryMB)
	}
	if vm.peakDescriptors >= crowdDescriptors-reservedDescriptors {
		vm.t.Errorf("the process had %d descriptors, want less than %d", vm.peakDescriptors, crowdDescriptors-reservedDescriptors)
	}
}

// checkAnswers fails the test unless one ordinary request is answered at each endpoint.
func (vm *crowdVM) checkAnswers(when string) {
	vm.t.Helper()
	for _, d := range vm.endpoints {
		if err := vm.awaitAnswer(d, answerTimeout); err != nil {
			vm.t.Errorf("%s: an ordinary request at %s was not answered: %v", when, d.name, err)
		}
	}
}

// awaitAnswer sends an ordinary request, again as often as it is not served, as callers do.
func (vm *crowdVM) awaitAnswer(d endpoint, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(vm.t.Context(), timeout)
	defer cancel()
	for {
		status, err := ask(ctx, d)
		if err == nil && status == d.status {
			return nil
		}
		if ctx.Err() != nil || !vm.isAlive() {
			return fmt.Errorf("status %d, want %d: %w", status, d.status, errors.Join(err, ctx.Err()))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// ask sends one ordinary request on a connection of its own.
func ask(ctx context.Context, d endpoint) (status int, err error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // then it is asked again
	if _, err := io.WriteString(conn, d.head(http.MethodGet, "1")+"Connection: close\r\n\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// keepAsking sends ordinary requests to an endpoint, one at a time, until the test ends.
func (vm *crowdVM) keepAsking(name string) {
	d := vm.endpoint(name)
	go func() {
		for vm.t.Context().Err() == nil && vm.isAlive() {
			_, _ = ask(vm.t.Context(), d) // those of the test itself are checked
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// headerLines returns header fields as lines.
func headerLines(header http.Header) string {
	var lines strings.Builder
	_ = header.Write(&lines) // never fails
	return lines.String()
}

// awaitServing waits until an ordinary request is answered at each endpoint.
func (vm *crowdVM) awaitServing() {
	vm.t.Helper()
	for _, d := range vm.endpoints {
		if err := vm.awaitAnswer(d, signalTestTimeout); err != nil {
			vm.mu.Lock()
			defer vm.mu.Unlock()
			vm.t.Fatalf("the VM does not serve at %s: %v\n%s", d.name, err, strings.Join(vm.tail, "\n"))
		}
	}
}

// endsOnSignal sends SIGTERM and reports whether the process ends by itself within its grace period.
func (vm *crowdVM) endsOnSignal() bool {
	_ = vm.command.Process.Signal(syscall.SIGTERM) // fails only when the process has ended
	select {
	case <-vm.ended:
		return vm.command.ProcessState.Exited()
	case <-time.After(crowdGrace):
		return false
	}
}
