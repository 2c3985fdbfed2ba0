package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/config/render"
	"github.com/primroseloom/primroseloom/entry/daemon"
	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/operator/fleetview"
	"github.com/primroseloom/primroseloom/standin/platform"
	"github.com/primroseloom/primroseloom/standin/target"
)

const (
	vmCount      = 6
	fleetName    = "demo"
	regionName   = "ee"
	targetQueue  = 3
	pollInterval = 5 * time.Millisecond
	// readyTimeout bounds the start of the whole fleet.
	readyTimeout = 20 * time.Second
	// medianServiceTime and serviceTimeSpread describe a log-normal distribution.
	medianServiceTime = 4 * time.Millisecond
	serviceTimeSpread = 0.5
)

var zones = []string{"ee-a", "ee-b", "ee-c"}

// vm is one running instance.
type vm struct {
	settings settings.Settings
	cancel   context.CancelFunc
	done     chan error
}

// scene is everything that runs.
type scene struct {
	observer   *observer
	deployment document.Deployment
	generation uint64
	platform   *platform.Platform
	address    string
	targets    map[string]*runningTarget
	servers    []*http.Server

	mu   sync.Mutex
	vms  []*vm
	gray time.Time
}

// runningTarget is a target with the arrival times of its requests.
type runningTarget struct {
	*target.Target
	address string

	mu       sync.Mutex
	arrivals []time.Time
}

// start brings up the stand-ins and the entry VMs and waits until all have the
// configuration in force.
func start(ctx context.Context, observer *observer) (*scene, error) {
	s := &scene{
		observer:   observer,
		deployment: examples.SoojaVee(),
		platform:   platform.New(),
		targets:    make(map[string]*runningTarget),
	}
	if err := s.startTargets(ctx); err != nil {
		return nil, err
	}
	address, err := s.serve(s.platform.Handler())
	if err != nil {
		return nil, fmt.Errorf("start platform stand-in: %w", err)
	}
	s.address = address
	if err := s.publish(); err != nil {
		return nil, err
	}
	for i := range vmCount {
		if err := s.startVM(ctx, fmt.Sprintf("vm-%d", i+1), zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	return s, s.awaitGeneration(ctx, readyTimeout)
}

func (s *scene) startTargets(ctx context.Context) error {
	for i := range s.deployment.Services {
		service := &s.deployment.Services[i]
		for j := range service.Targets {
			address, err := s.startTarget(ctx, service, service.Targets[j].Name)
			if err != nil {
				return err
			}
			service.Targets[j].Address = address
		}
	}
	return nil
}

func (s *scene) startTarget(ctx context.Context, service *document.Service, name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("start target %s: %w", name, err)
	}
	running := &runningTarget{Target: target.New(target.Options{
		Name:           name,
		Slots:          service.Slots,
		Queue:          targetQueue,
		MaxConnections: service.MaxConnections,
		ServiceTime:    drawServiceTime,
	}), address: listener.Addr().String()}
	running.OnRequest(running.arrive)
	s.targets[name] = running
	go func() { _ = running.Serve(ctx, listener) }()
	return running.address, nil
}

func (t *runningTarget) arrive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, time.Now())
}

func drawServiceTime() time.Duration {
	factor := 1 + serviceTimeSpread*rand.ExpFloat64()
	return time.Duration(float64(medianServiceTime) * factor)
}

func (s *scene) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// publish renders the deployment as the next generation.
func (s *scene) publish() error {
	s.generation++
	root, shards, err := render.Render(s.deployment, s.generation)
	if err != nil {
		return fmt.Errorf("render generation %d: %w", s.generation, err)
	}
	content, err := json.Marshal(root)
	if err != nil {
		return fmt.Errorf("write root %d: %w", s.generation, err)
	}
	s.platform.Publish(shards, content)
	return nil
}

func (s *scene) startVM(ctx context.Context, name, zone string) error {
	addresses, err := freeAddresses(3)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	set := settings.Default()
	set.Fleet, set.VM, set.Zone, set.Region = fleetName, name, zone, regionName
	set.Listen = settings.Listen{Callers: addresses[0], Peers: addresses[1], Admin: addresses[2]}
	set.Platform = []string{s.address}
	set.TLS.Off = true
	set.Stop.Linger = document.Duration(time.Second)
	s.mu.Lock()
	for _, other := range s.vms {
		set.FirstPeers = append(set.FirstPeers, other.settings.Listen.Peers)
	}
	s.mu.Unlock()
	logger := log.NewWithOptions(vmLog{observer: s.observer, vm: name}, log.Options{Formatter: log.JSONFormatter})
	instance, err := daemon.New(daemon.Options{Settings: set, Network: network.OS{}, Logger: logger})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	started := &vm{settings: set, cancel: cancel, done: make(chan error, 1)}
	go func() { started.done <- instance.Run(ctx) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, started)
	return nil
}

// freeAddresses returns loopback addresses whose ports were free just now.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// entrances returns the callers' addresses of the running VMs.
func (s *scene) entrances() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, running := range s.vms {
		addresses = append(addresses, running.settings.Listen.Callers)
	}
	return addresses
}

// awaitGeneration waits until every VM has the newest generation in force.
func (s *scene) awaitGeneration(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		missing := s.missingGeneration(ctx)
		if missing == "" {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return fmt.Errorf("wait for generation %d: %s does not have it in force", s.generation, missing)
		}
	}
}

// missingGeneration names a VM without the newest generation, or "".
func (s *scene) missingGeneration(ctx context.Context) string {
	s.mu.Lock()
	running := append([]*vm(nil), s.vms...)
	s.mu.Unlock()
	for _, each := range running {
		status, err := fleetview.Status(ctx, each.settings.Listen.Admin)
		if err != nil || status.Generation < s.generation {
			return each.settings.VM
		}
	}
	return ""
}

// stop ends the VMs and the stand-ins.
func (s *scene) stop() {
	s.mu.Lock()
	running := s.vms
	s.vms = nil
	s.mu.Unlock()
	for _, each := range running {
		each.cancel()
	}
	for _, each := range running {
		<-each.done
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
