package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/platform"
)

// vm is one process of the fleet, started with the command of the deploy file.
type vm struct {
	name, settings string
	ip             string
	callers, ready string
	directory      string
	peers          string
	command        *exec.Cmd
	log            *os.File
	ended          chan struct{}
	content        map[string]any
}

func ipOfVM(i int) string { return fmt.Sprintf("127.0.0.%d", 10+i) }

// commonPorts returns six ports that are free on the addresses of all VMs, over TCP and UDP: ports are the same
// on all machines.
func commonPorts(number int) []int {
	var ports []int
	for port := 15000 + rand.IntN(15000); len(ports) < 6; port++ {
		isFree := true
		for i := range number {
			address := fmt.Sprintf("%s:%d", ipOfVM(i), port)
			listener, err := net.Listen("tcp", address)
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
			packets, err := net.ListenPacket("udp4", address)
			if err != nil {
				isFree = false
				break
			}
			_ = packets.Close()
		}
		if isFree {
			ports = append(ports, port)
		}
	}
	return ports
}

// newFleet writes the settings of VMs, as deploy/settings.json.tmpl renders them, and starts them.
func newFleet(dir string, number int, s *store) []*vm {
	var vms []*vm
	var seeds []string
	ports := commonPorts(number)
	for i := range number {
		at := func(port int) string { return fmt.Sprintf("%s:%d", ipOfVM(i), ports[port]) }
		v := &vm{
			name: fmt.Sprintf("front-a-%d", i+1), settings: filepath.Join(dir, fmt.Sprintf("settings-%d.json", i+1)),
			ip: ipOfVM(i), callers: at(0), ready: at(1), directory: at(2), peers: at(3),
		}
		if i < 3 {
			seeds = append(seeds, v.peers)
		}
		v.content = map[string]any{
			"fleet": "primroseloom", "vm": v.name, "zone": "zone-a", "region": "region-a",
			"listen": map[string]any{
				"callers": v.callers, "readiness": v.ready, "directory": v.directory, "peers": v.peers,
				"evidence": at(4), "admin": at(5),
			},
			"store":   s.address,
			"machine": map[string]any{"cpu_share": 0.32, "cores": 1, "link_mbps": 1000.0, "memory_mb": 284, "descriptors": 4100},
			"repeats": map[string]any{"ratio": 0.2, "allowance": 56},
			"stop":    map[string]any{"grace": "6s"},
		}
		vms = append(vms, v)
	}
	for _, v := range vms {
		v.content["first_peers"] = seeds
		v.writeSettings()
		v.start(dir)
	}
	for _, v := range vms {
		v.awaitReady()
		go v.checkReadiness()
	}
	return vms
}

func (v *vm) writeSettings() {
	content, err := json.MarshalIndent(v.content, "", "  ")
	must(err)
	must(os.WriteFile(v.settings, content, 0o600))
}

func (v *vm) start(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	v.log = log
	v.command = exec.Command("target/primroseloomd", "front", "--settings-variable", "PRIMROSELOOM_NODE_FILE")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "PRIMROSELOOM_NODE_FILE=" + v.settings}
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(v.command.Start())
	v.ended = make(chan struct{})
	command, ended := v.command, v.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	startedMu.Lock()
	defer startedMu.Unlock()
	if !slices.Contains(started, v) {
		started = append(started, v)
	}
}

// awaitReady waits until the VM says that it is ready.
func (v *vm) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + v.ready + platform.DirectoryPages{}.ReadinessPath())
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	fail("%s isn't ready", v.name)
}

// checkReadiness asks once a second whether the VM is ready, as the platform does, and notes each other answer.
func (v *vm) checkReadiness() {
	client := &http.Client{Timeout: time.Second}
	for !v.hasEnded() {
		time.Sleep(time.Second)
		response, err := client.Get("http://" + v.ready + platform.DirectoryPages{}.ReadinessPath())
		switch {
		case v.hasEnded():
		case err != nil:
			note("%s: readiness: %v", v.name, err)
		default:
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				note("%s: readiness: %d", v.name, response.StatusCode)
			}
		}
	}
}

func (v *vm) signal(number syscall.Signal) { _ = v.command.Process.Signal(number) }

// hasEnded reports whether the process has ended.
func (v *vm) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// started are the processes that this program has started.
var (
	startedMu sync.Mutex
	started   []*vm
)

func endAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, v := range started {
		if !v.hasEnded() {
			v.signal(syscall.SIGCONT)
			v.signal(syscall.SIGKILL)
			<-v.ended
		}
	}
}

// resolve returns the addresses that a VM shows a caller, which may be kept for keepFor.
func resolve(v *vm) []string {
	client := &http.Client{Timeout: time.Second}
	pages := platform.DirectoryPages{}
	response, err := client.Get("http://" + v.directory + pages.DirectoryPath() + "?name=" + callerHost + "&region=region-a&zone=zone-a")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return nil
	}
	var body struct{ Addresses []string }
	must(json.Unmarshal(content, &body))
	expected, err := pages.RenderDirectoryResponse(body.Addresses, keepFor)
	must(err)
	if !bytes.Equal(bytes.TrimSpace(content), expected) {
		fail("%s answers %s, want %s", v.name, content, expected)
	}
	return body.Addresses
}

const (
	// keepFor is how long a caller may keep a response of the directory, as each response says; resolve checks that.
	// Some callers keep it keptTimes as long.
	keepFor   = 500 * time.Millisecond
	keptTimes = 3
)

// directory keeps responses as callers do: half of the callers keep one for its time, the others for keptTimes as long.
type directory struct {
	vms []*vm

	mu    sync.Mutex
	kept  [2][]string
	until [2]time.Time
	asked int
}

// pick returns the address for a caller's new connection, of the n-th caller; empty for none.
func (d *directory) pick(n int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := n % 2
	if time.Now().After(d.until[i]) {
		for range 3 { // up to three machines are asked
			d.asked++
			if shown := resolve(d.vms[d.asked%len(d.vms)]); len(shown) > 0 {
				d.kept[i], d.until[i] = shown, time.Now().Add(time.Duration(1+i*(keptTimes-1))*keepFor)
				note("callers of kind %d are shown %v", i, shown)
				break
			}
		}
	}
	if len(d.kept[i]) == 0 {
		return ""
	}
	return d.kept[i][rand.IntN(len(d.kept[i]))]
}
