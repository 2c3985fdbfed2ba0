package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/platform"
)

// ports are those of all machines of a deployment.
type ports struct{ front, ready, directory, control, evidence, admin int }

// deployment is one small deployment on loopback addresses.
type deployment struct {
	record    *record
	directory string
	base      int
	ports     ports
	store     *store
	book      *book
	fronts    []*front
	upstreams []*upstream
}

// front is one machine that runs the program of the deploy file.
type front struct {
	name, zone, ip string
	d              *deployment
	memoryMB       int
	process        *exec.Cmd
	exited         chan struct{}
}

// newDeployment chooses free addresses and starts the store.
func newDeployment(r *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "primroseloom-review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, directory: directory, book: &book{}}
	for try := 0; try < 50; try++ {
		d.base = 20 + (os.Getpid()+17*try)%200
		first := 21000 + (os.Getpid()*7+131*try)%20000
		d.ports = ports{first, first + 1, first + 2, first + 3, first + 4, first + 5}
		if d.areFree(first, 6) {
			break
		}
	}
	d.store, err = newStore(fmt.Sprintf("127.%d.9.1:%d", d.base, d.ports.front))
	return d, err
}

// areFree reports whether the ports are free on the addresses of the deployment.
func (d *deployment) areFree(first, count int) bool {
	for index := 1; index <= 8; index++ {
		for port := first; port < first+count; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%d", d.base, index, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// addUpstream starts an upstream and registers it.
func (d *deployment) addUpstream(id, service, zone string, slots int, work time.Duration) (*upstream, error) {
	address := fmt.Sprintf("127.%d.2.%d:%d", d.base, len(d.upstreams)%200+1, d.ports.front+len(d.upstreams)/200)
	u, err := newUpstream(id, service, address, slots, work, d.book)
	if err != nil {
		return nil, err
	}
	d.upstreams = append(d.upstreams, u)
	d.store.publishTarget(u.entry(zone))
	return u, nil
}

// addFront starts a machine with settings as the template of the deploy file renders them.
func (d *deployment) addFront(zone string, memoryMB int) (*front, error) {
	index := len(d.fronts) + 1
	f := &front{name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone, ip: fmt.Sprintf("127.%d.1.%d", d.base, index), d: d, memoryMB: memoryMB}
	d.fronts = append(d.fronts, f)
	return f, f.start()
}

func (f *front) at(port int) string { return f.ip + ":" + strconv.Itoa(port) }

func (f *front) settings() map[string]any {
	p := f.d.ports
	var seeds []string
	for index := 1; index <= 3; index++ {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d:%d", f.d.base, index, p.control))
	}
	return map[string]any{
		"fleet": "primroseloom", "source_address": f.ip, "vm": f.name, "zone": f.zone, "region": "region-1",
		"listen": map[string]string{
			"callers": f.at(p.front), "readiness": f.at(p.ready), "directory": f.at(p.directory),
			"peers": f.at(p.control), "evidence": f.at(p.evidence), "admin": f.at(p.admin),
		},
		"store":       f.d.store.address,
		"first_peers": seeds,
		"machine":     map[string]any{"cpu_share": 0.32, "cores": 1, "link_mbps": 1000.0, "memory_mb": f.memoryMB},
		"repeats":     map[string]any{"ratio": 0.2, "allowance": 56},
		"stop":        map[string]string{"grace": "6s"},
	}
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	content, err := json.MarshalIndent(f.settings(), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.d.directory, f.name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.d.directory, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	f.process = exec.Command("target/primroseloomd", "front", "--settings-variable", "PRIMROSELOOM_NODE_FILE")
	f.process.Env = append(os.Environ(), "PRIMROSELOOM_NODE_FILE="+file)
	f.process.Stdout, f.process.Stderr = log, log
	if err := f.process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", f.name, err)
	}
	f.exited = make(chan struct{})
	go func(process *exec.Cmd, exited chan struct{}) {
		_ = process.Wait()
		close(exited)
	}(f.process, f.exited)
	f.d.record.note("front %s at %s started", f.name, f.ip)
	return nil
}

// signal sends a signal to the process.
func (f *front) signal(s syscall.Signal) {
	f.d.record.note("%s gets %v", f.name, s)
	_ = f.process.Process.Signal(s)
}

// awaitReady waits until a machine says that it is ready.
func (f *front) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		response, err := http.Get("http://" + f.at(f.d.ports.ready) + platform.DirectoryPages{}.ReadinessPath())
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s isn't ready after %v", f.name, limit)
}

// resolved is an answer of the directory; keep is how long it may be kept, as the settings say by default.
type resolved struct {
	Addresses []string
	keep      time.Duration
}

// resolve asks the directory of a machine, as a requester of the zone does.
func (f *front) resolve(host, zone string) (resolved, error) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s%s?name=%s&region=region-1&zone=%s", f.at(f.d.ports.directory), platform.DirectoryPages{}.DirectoryPath(), host, zone))
	if err != nil {
		return resolved{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return resolved{}, err
	}
	found := resolved{keep: settings.DefaultFrontend().Directory.KeepFor.Std()}
	if err := json.Unmarshal(content, &found); err != nil {
		return resolved{}, err
	}
	if len(found.Addresses) == 0 {
		return resolved{}, errors.New("no addresses")
	}
	return found, nil
}

// resolveNear asks up to three machines, those of the zone first, as requesters do.
func (d *deployment) resolveNear(zone string) (resolved, error) {
	var near, far []*front
	for _, f := range d.fronts {
		if f.zone == zone {
			near = append(near, f)
		} else {
			far = append(far, f)
		}
	}
	err := errors.New("no machine")
	for _, f := range append(near, far...)[:min(3, len(d.fronts))] {
		var found resolved
		if found, err = f.resolve(recordsHost, zone); err == nil {
			return found, nil
		}
	}
	return resolved{}, err
}

// close ends all processes.
func (d *deployment) close() {
	for _, f := range d.fronts {
		if f.process != nil && f.process.Process != nil {
			_ = f.process.Process.Kill()
			<-f.exited
		}
	}
	for _, u := range d.upstreams {
		u.stop()
	}
	_ = d.store.listener.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("logs are in", d.directory)
	}
}
