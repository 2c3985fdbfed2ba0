package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/settings"
)

const (
	// startTime is what a daemon that was started again may take until it serves.
	startTime = 1500 * time.Millisecond
	// exitSlack is how long after a process's end its callers may notice it.
	exitSlack = 300 * time.Millisecond
	// endTime is how long a daemon may take to end when the run is over.
	endTime = 8 * time.Second
)

// vm is one daemon and its links.
type vm struct {
	index int
	// callers stands between callers and the daemon, store between it and the store.
	callers, store *link
	file, log      string

	// busy is held while a fault of the process is going on.
	busy sync.Mutex

	mu      sync.Mutex
	set     settings.Frontend
	process *exec.Cmd
	// expected is true once the process was told to end.
	expected bool
	gone     chan struct{}
}

// fleet is the daemons of a run.
type fleet struct {
	binary string
	judge  *judge
	vms    []*vm
}

// address returns a loopback address of a run; kind tells VMs, links and targets
// apart, and base keeps runs on one machine apart.
func address(base, kind, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", base, kind, index+1, port)
}

// The kinds of loopback addresses.
const (
	kindDaemon = iota + 1
	kindCallersLink
	kindStoreLink
	kindTargetLink
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

// newFleet starts daemons with their links.
func newFleet(ctx context.Context, options Options, storeAddress string, judge *judge) (*fleet, error) {
	f := &fleet{binary: options.DaemonPath, judge: judge}
	for i := range options.VMs {
		v := &vm{
			index: i,
			file:  filepath.Join(options.Directory, "vm-"+strconv.Itoa(i)+".json"),
			log:   filepath.Join(options.Directory, "vm-"+strconv.Itoa(i)+".log"),
			set:   daemonSettings(options.AddressBase, i),
		}
		var err error
		if v.callers, err = newLink(ctx, address(options.AddressBase, kindCallersLink, i, portCallers), v.set.Listen.Callers); err != nil {
			return nil, err
		}
		if v.store, err = newLink(ctx, v.set.Store, storeAddress); err != nil {
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
	set.FirstPeers = []string{address(base, kindDaemon, 0, portPeers), address(base, kindDaemon, 1, portPeers)}
	return set
}

// zoneOf spreads VMs and targets over two availability zones.
func zoneOf(i int) string { return []string{"zone-a", "zone-b"}[i%2] }

// writeSettings writes the settings file; a rename keeps readers from half a file.
func (v *vm) writeSettings() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	content, err := json.Marshal(v.set)
	if err != nil {
		return fmt.Errorf("settings of VM %d: %w", v.index, err)
	}
	fresh := v.file + ".new"
	if err := os.WriteFile(fresh, content, 0o600); err != nil {
		return fmt.Errorf("settings of VM %d: %w", v.index, err)
	}
	return os.Rename(fresh, v.file)
}

// start starts a daemon's process.
func (f *fleet) start(v *vm) error {
	out, err := os.OpenFile(v.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of VM %d: %w", v.index, err)
	}
	command := exec.Command(f.binary, "front", "--settings", v.file)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return fmt.Errorf("start VM %d: %w", v.index, err)
	}
	gone := make(chan struct{})
	v.mu.Lock()
	v.process, v.expected, v.gone = command, false, gone
	v.mu.Unlock()
	go func() {
		defer close(gone)
		ended := command.Wait()
		_ = out.Close()
		v.mu.Lock()
		expected := v.expected
		v.mu.Unlock()
		if !expected {
			f.judge.exited(v.index, time.Now(), ended)
		}
	}()
	return nil
}

// signal sends a signal to the daemon's process, by its id.
func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		v.expected = true
	}
	_ = v.process.Process.Signal(signal) // a process that has ended needs none
}

// wait waits for the end of the daemon's process.
func (v *vm) wait() {
	v.mu.Lock()
	gone := v.gone
	v.mu.Unlock()
	<-gone
}

// restart starts a daemon again after its process ended.
func (f *fleet) restart(v *vm, down time.Duration) {
	v.wait()
	ended := time.Now()
	time.Sleep(down)
	if err := f.start(v); err != nil {
		f.judge.exited(v.index, time.Now(), err)
	}
	f.judge.disturb(v.index, ended.Add(exitSlack), time.Now().Add(startTime))
}

// named returns the daemons behind addresses that the directory gave.
func (f *fleet) named(addresses []string) []int {
	var vms []int
	for i, v := range f.vms {
		if slices.Contains(addresses, v.set.Listen.Callers) {
			vms = append(vms, i)
		}
	}
	return vms
}

// end ends all daemons.
func (f *fleet) end() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGTERM)
	}
	timer := time.AfterFunc(endTime, func() {
		for _, v := range f.vms {
			v.signal(syscall.SIGKILL)
		}
	})
	defer timer.Stop()
	for _, v := range f.vms {
		v.wait()
	}
}
