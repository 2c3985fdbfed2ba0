package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/settings"
)

const (
	// startupTime is how long a restarted daemon may take until it serves.
	startupTime = 1500 * time.Millisecond
	// exitSlack is how long after a planned exit failures still count against the
	// planned stop, since callers notice the exit late. After it, the daemon counts
	// as disturbed.
	exitSlack = 300 * time.Millisecond
	// shutdownTimeout is how long a daemon may take to exit when the run is over; then it
	// is killed.
	shutdownTimeout = 8 * time.Second
)

// vm is one daemon with its links.
type vm struct {
	index int
	// callersLink connects callers to the daemon, storeLink connects the daemon to
	// the store.
	callersLink, storeLink *link
	settingsFile, logFile  string

	// processFault is held during a fault of the process, so that such faults of one
	// daemon do not overlap.
	processFault sync.Mutex

	mu       sync.Mutex
	settings settings.Frontend
	process  *exec.Cmd
	// starts counts the starts of the daemon.
	starts int
	// exitExpected is true once the process was sent SIGTERM or SIGKILL.
	exitExpected bool
	exited       chan struct{}
}

// fleet is the set of daemons of a run.
type fleet struct {
	binary string
	// otherBinary is the daemon of another build, which runs on half of the VMs and changes
	// places with binary at each restart; empty for none.
	otherBinary string
	checker     *checker
	vms         []*vm
}

// address returns a loopback address for a run. The kind distinguishes daemons and
// the kinds of links; base separates concurrent runs on one machine.
func address(base, kind, index, port int) string {
	return fmt.Sprintf("%s:%d", addressIP(base, kind, index), port)
}

func addressIP(base, kind, index int) string { return fmt.Sprintf("127.%d.%d.%d", base, kind, index+1) }

// vmAt returns the index of the daemon at a loopback address.
func vmAt(ip string) int {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return -1 // the connection ended before the request was looked at
	}
	octets := address.As4()
	return int(octets[len(octets)-1]) - 1
}

// The kinds of loopback addresses.
const (
	kindDaemon = iota + 1
	kindCallersLink
	kindStoreLink
	kindTargetLink
	kindCaller
)

// Ports of the daemons, the same on all addresses.
const (
	portCallers = iota + 18140
	portReadiness
	portDirectory
	portPeers
	portEvidence
	portAdmin
)

// newFleet starts the links and then the daemons.
func newFleet(ctx context.Context, options Options, storeAddress string, checker *checker) (*fleet, error) {
	f := &fleet{binary: options.DaemonPath, otherBinary: options.OtherDaemonPath, checker: checker}
	for i := range options.VMs {
		v := &vm{
			index:        i,
			settingsFile: filepath.Join(options.Directory, "vm-"+strconv.Itoa(i)+".json"),
			logFile:      filepath.Join(options.Directory, "vm-"+strconv.Itoa(i)+".log"),
			settings:     daemonSettingsFor(options, i),
		}
		var err error
		if v.callersLink, err = newLink(ctx, address(options.AddressBase, kindCallersLink, i, portCallers), v.settings.Listen.Callers); err != nil {
			return nil, err
		}
		if v.storeLink, err = newLink(ctx, v.settings.Store, storeAddress); err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		if err := v.writeSettings(); err != nil {
			return nil, err
		}
		if err := f.start(v); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func daemonSettings(base, i int) settings.Frontend {
	at := func(port int) string { return address(base, kindDaemon, i, port) }
	set := settings.DefaultFrontend()
	set.VM, set.Zone, set.Region = "vm-"+strconv.Itoa(i), zoneOf(i), "local"
	set.Store = address(base, kindStoreLink, i, portCallers)
	set.Listen = settings.FrontendListen{
		Callers: at(portCallers), Readiness: at(portReadiness), Directory: at(portDirectory),
		Peers: at(portPeers), Evidence: at(portEvidence), Admin: at(portAdmin),
	}
	set.Keys.RevokedWithin = document.Duration(keysRevokedWithin)
	set.Quotas = settings.Quotas{Window: document.Duration(quotaWindow), Overrun: quotaOverrun, Slack: quotaSlack}
	set.SourceAddress = addressIP(base, kindDaemon, i)
	set.FirstPeers = []string{address(base, kindDaemon, 0, portPeers), address(base, kindDaemon, 1, portPeers)}
	return set
}

// daemonSettingsFor returns a daemon's settings. Builds from before customers had keys refuse
// settings that they don't know, so these are left out beside another build.
func daemonSettingsFor(options Options, i int) settings.Frontend {
	set := daemonSettings(options.AddressBase, i)
	if options.OtherDaemonPath != "" {
		set.Keys, set.Quotas, set.Hedging = settings.Keys{}, settings.Quotas{}, settings.Hedging{}
	}
	return set
}

// zoneOf spreads VMs and targets over two availability zones.
func zoneOf(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

// writeSettings replaces the settings file by a rename, so that a reader never sees
// a partly written file.
func (v *vm) writeSettings() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	content, err := json.Marshal(v.settings)
	if err != nil {
		return fmt.Errorf("settings of VM %d: %w", v.index, err)
	}
	fresh := v.settingsFile + ".new"
	if err := os.WriteFile(fresh, content, 0o600); err != nil {
		return fmt.Errorf("settings of VM %d: %w", v.index, err)
	}
	return os.Rename(fresh, v.settingsFile)
}

// nextBinary returns the build that the daemon's next start runs.
func (f *fleet) nextBinary(v *vm) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	turn := v.index/2 + v.starts // neighbours of an index are in different zones
	v.starts++
	if f.otherBinary != "" && turn%2 == 1 {
		return f.otherBinary
	}
	return f.binary
}

// start starts the process of a daemon and watches for its exit.
func (f *fleet) start(v *vm) error {
	out, err := os.OpenFile(v.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of VM %d: %w", v.index, err)
	}
	command := exec.Command(f.nextBinary(v), "front", "--settings", v.settingsFile)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start VM %d: %w", v.index, err)
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exitExpected, v.exited = command, false, exited
	v.mu.Unlock()
	go func() {
		defer close(exited)
		exitErr := command.Wait()
		_ = out.Close()
		v.mu.Lock()
		expected := v.exitExpected
		v.mu.Unlock()
		if !expected {
			f.checker.recordUnexpectedExit(v.index, time.Now(), exitErr)
		}
	}()
	return nil
}

// signal sends a signal to the daemon's process.
func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		v.exitExpected = true
	}
	_ = v.process.Process.Signal(signal) // fails only if the process has exited
}

// waitForExit waits until the daemon's process has exited.
func (v *vm) waitForExit() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	<-exited
}

// exitedWithin waits for a while and reports whether the daemon's process has exited.
func (v *vm) exitedWithin(wait time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(wait):
		return false
	}
}

// restart waits until the daemon's process has exited and starts it again after
// the downtime.
func (f *fleet) restart(v *vm, downtime time.Duration) {
	v.waitForExit()
	exitedAt := time.Now()
	time.Sleep(downtime)
	if err := f.start(v); err != nil {
		f.checker.recordUnexpectedExit(v.index, time.Now(), err)
	}
	f.checker.recordInterruption(v.index, exitedAt.Add(exitSlack), time.Now().Add(startupTime))
}

// vmsAt returns the indexes of the daemons at the addresses that the directory
// returned.
func (f *fleet) vmsAt(addresses []string) []int {
	var vms []int
	for i, v := range f.vms {
		if slices.Contains(addresses, v.settings.Listen.Callers) {
			vms = append(vms, i)
		}
	}
	return vms
}

// stopAll stops all daemons, by SIGKILL those that outlast shutdownTimeout.
func (f *fleet) stopAll() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGTERM)
	}
	timer := time.AfterFunc(shutdownTimeout, func() {
		for _, v := range f.vms {
			v.signal(syscall.SIGKILL)
		}
	})
	defer timer.Stop()
	for _, v := range f.vms {
		v.waitForExit()
	}
}
