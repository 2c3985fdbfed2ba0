package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/platform"
)

// daemonPath is the program of the deploy file, from the root of the repository.
const daemonPath = "target/primroseloomd"

// vm is one daemon, with addresses of its own.
type vm struct {
	name, zone, ip            string
	callers, ready, directory string
	settings                  map[string]any
	file                      string
	log                       *os.File
	process                   *exec.Cmd
	ended                     chan struct{}
}

// fleet is a small deployment.
type fleet struct {
	dir string
	vms []*vm
}

// ports are the ports of all daemons; each has an IP address of its own.
type ports struct{ callers, ready, directory, peers, evidence, admin int }

// Bounds of the ports that are chosen. They lie below those that the operating system gives to outgoing
// connections, which stay in use for a minute after a run.
const firstPort, lastPort = 15_000, 30_000

// freePorts returns ports that are free on all IP addresses.
func freePorts(count int, ips ...string) ([]int, error) {
	var free []int
	for tries := 0; len(free) < count; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free ports")
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !slices.Contains(free, port) && isFree(port, ips) {
			free = append(free, port)
		}
	}
	return free, nil
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newFleet writes the settings of daemons, one for each zone given.
func newFleet(dir, network, store string, zones []string) (*fleet, error) {
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("%s.%d", network, i+1))
	}
	free, err := freePorts(6, ips...)
	if err != nil {
		return nil, err
	}
	p := ports{free[0], free[1], free[2], free[3], free[4], free[5]}
	f := &fleet{dir: dir}
	var seeds []string
	for i := range zones {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, i+1, p.peers))
		}
	}
	for i, zone := range zones {
		ip := ips[i]
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, callers: at(p.callers), ready: at(p.ready), directory: at(p.directory)}
		v.settings = map[string]any{
			"fleet": "primroseloom", "vm": v.name, "zone": zone, "region": "ee-north",
			"listen": map[string]any{
				"callers": at(p.callers), "readiness": at(p.ready), "directory": at(p.directory), "peers": at(p.peers), "evidence": at(p.evidence), "admin": at(p.admin),
			},
			"store": store, "first_peers": seeds,
			"machine": map[string]any{"cpu_share": 0.32, "cores": 1, "link_mbps": 1000.0, "memory_mb": 284},
			"repeats": map[string]any{"ratio": 0.2, "allowance": 56},
			"stop":    map[string]any{"grace": "6s"},
		}
		v.file = filepath.Join(dir, v.name+".json")
		if err := v.writeSettings(); err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

func (v *vm) writeSettings() error {
	content, err := json.MarshalIndent(v.settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.file, content, 0o600)
}

// start starts the daemon with the command of the deploy file.
func (f *fleet) start(v *vm) error {
	log, err := os.OpenFile(filepath.Join(f.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.process = exec.Command(daemonPath, "front", "--settings-variable", "PRIMROSELOOM_NODE_FILE")
	v.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "PRIMROSELOOM_NODE_FILE=" + v.file}
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.process.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func(process *exec.Cmd, ended chan struct{}) {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}(v.process, v.ended)
	return nil
}

// signal sends a signal to the daemon.
func (v *vm) signal(number syscall.Signal) { _ = v.process.Process.Signal(number) }

// startAll starts all daemons and waits until each is ready.
func (f *fleet) startAll(within time.Duration) error {
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return err
		}
	}
	return f.awaitReady(within, f.vms...)
}

func (f *fleet) awaitReady(within time.Duration, vms ...*vm) error {
	end := time.Now().Add(within)
	for _, v := range vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + v.ready + platform.DirectoryPages{}.ReadinessPath())
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end kills all daemons that still run.
func (f *fleet) end() {
	for _, v := range f.vms {
		if v.process == nil {
			continue
		}
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-v.ended
	}
}
