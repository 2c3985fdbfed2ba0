package propagation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/platform"
)

// host is the host of all routes.
const host = "propagation.example"

// zones is the number of availability zones.
const zones = 3

// Ports of the daemons, the same on all addresses.
const (
	portCallers = iota + 17140
	portReadiness
	portDirectory
	portPeers
	portEvidence
	portAdmin
)

func addressIP(base, index int) string { return fmt.Sprintf("127.%d.0.%d", base, index+1) }

// indexOf returns the index of the daemon at a loopback address.
func indexOf(ip string) int {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return 0
	}
	octets := address.As4()
	return int(octets[len(octets)-1]) - 1
}

// vm is one daemon.
type vm struct {
	callers, settingsFile, logFile string

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	startedAt time.Time
}

type fleet struct {
	daemon string
	vms    []*vm
}

// newFleet writes the settings of the daemons.
func newFleet(options Options, store string) (*fleet, error) {
	f := &fleet{daemon: options.DaemonPath}
	for i := range options.VMs {
		at := func(index, port int) string { return fmt.Sprintf("%s:%d", addressIP(options.AddressBase, index), port) }
		set := settings.DefaultFrontend()
		set.VM, set.Zone, set.Region, set.Store = "vm-"+strconv.Itoa(i), "zone-"+strconv.Itoa(i%zones), "local", store
		set.Listen = settings.FrontendListen{
			Callers: at(i, portCallers), Readiness: at(i, portReadiness), Directory: at(i, portDirectory),
			Peers: at(i, portPeers), Evidence: at(i, portEvidence), Admin: at(i, portAdmin),
		}
		set.Machine.MemoryMB = options.MemoryMB
		set.SourceAddress = addressIP(options.AddressBase, i)
		set.FirstPeers = []string{at(0, portPeers), at(1, portPeers)}
		content, err := json.Marshal(set)
		if err != nil {
			return nil, fmt.Errorf("settings of VM %d: %w", i, err)
		}
		v := &vm{callers: set.Listen.Callers, settingsFile: filepath.Join(options.Directory, set.VM+".json"), logFile: filepath.Join(options.Directory, set.VM+".log")}
		if err := os.WriteFile(v.settingsFile, content, 0o600); err != nil {
			return nil, fmt.Errorf("settings of VM %d: %w", i, err)
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// start starts a daemon; one that can't be started never has a version, which the result shows.
func (f *fleet) start(v *vm) {
	out, err := os.OpenFile(v.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	command := exec.Command(f.daemon, "front", "--settings", v.settingsFile)
	command.Stdout, command.Stderr = out, out
	v.mu.Lock()
	defer v.mu.Unlock()
	if command.Start() != nil {
		_ = out.Close()
		return
	}
	exited := make(chan struct{})
	v.process, v.exited, v.startedAt = command, exited, time.Now()
	go func() {
		_ = command.Wait() // it is killed
		_ = out.Close()
		close(exited)
	}()
}

// kill ends the daemon and waits until it has ended.
func (v *vm) kill() {
	v.mu.Lock()
	process, exited := v.process, v.exited
	v.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill() // fails only if the process has exited
	<-exited
}

// pause stops the daemon's process for a time.
func (v *vm) pause(length time.Duration) {
	v.mu.Lock()
	process := v.process.Process
	v.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP)                                    // fails only if the process has exited
	time.AfterFunc(length, func() { _ = process.Signal(syscall.SIGCONT) }) // as above
}

func (f *fleet) end() {
	for _, v := range f.vms {
		v.kill()
	}
}

// pollInterval is the time between two questions to a daemon, askTimeout that of one.
const pollInterval, askTimeout = 50 * time.Millisecond, time.Second

// await waits until a version is in force on all daemons but those exempt, and returns the times since now, or
// since a later start of the daemon, and on how many it isn't after waitTime.
func (f *fleet) await(ctx context.Context, version uint64, exempt []int) (times []time.Duration, missing int) {
	begun := time.Now()
	limit := waitTime
	if version == 1 {
		limit = startTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var mu sync.Mutex
	var waiting sync.WaitGroup
	for i, v := range f.vms {
		if slices.Contains(exempt, i) {
			continue
		}
		waiting.Go(func() {
			took, ok := v.await(ctx, version, begun)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				missing++
				return
			}
			times = append(times, took)
		})
	}
	waiting.Wait()
	return times, missing
}

// await asks a daemon until it knows the path that a version adds.
func (v *vm) await(ctx context.Context, version uint64, begun time.Time) (took time.Duration, ok bool) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		if v.knows(ctx, transport, version) {
			return time.Since(begun), true
		}
		time.Sleep(pollInterval)
	}
	return 0, false
}

// knows reports whether a daemon answers 404 on a path that no version has, which it does once it knows any,
// and not on that of a version.
func (v *vm) knows(ctx context.Context, transport *http.Transport, version uint64) bool {
	status := v.ask(ctx, transport, path(version))
	return status != 0 && status != http.StatusNotFound && v.ask(ctx, transport, path(0)) == http.StatusNotFound
}

// ask returns the status of a daemon's answer on a path; 0 for none.
func (v *vm) ask(ctx context.Context, transport *http.Transport, path string) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.callers+path, nil)
	if err != nil {
		return 0
	}
	request.Host = host
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: fmt.Sprintf("%016x", rand.Uint64()), Remaining: askTimeout})
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
