// Package localfleet runs a whole fleet in one process on loopback sockets:
// entry VMs and the stand-ins of the platform and of the Sooja Vee example's
// targets. The demo and the capacity measurement use it.
package localfleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/daemon"
	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/operator/fleetview"
	"github.com/primroseloom/primroseloom/standin/platform"
	"github.com/primroseloom/primroseloom/standin/target"
)

const (
	fleetName  = "local"
	regionName = "ee"
	// targetQueue is the number of requests that may wait at a target.
	targetQueue  = 3
	pollInterval = 5 * time.Millisecond
	// firstPeerCount is the number of other VMs that a VM's settings name as first peers.
	firstPeerCount = 3
	// minServiceTime and meanExtraServiceTime describe a shifted exponential distribution.
	minServiceTime       = 4 * time.Millisecond
	meanExtraServiceTime = 2 * time.Millisecond
	// linger is how long a stopping VM still accepts new connections.
	linger = time.Second
)

// Options describe a fleet.
type Options struct {
	// Logs returns the writer for a VM's structured log; nil discards all.
	Logs func(vm string) io.Writer
	// Network opens the VMs' sockets; nil means the operating system's.
	Network contract.Network
}

// VM is one running instance.
type VM struct {
	Settings settings.Settings
	cancel   context.CancelFunc
	done     chan error
}

// Target is a running target that records the arrival times of its requests.
type Target struct {
	*target.Target
	Address string

	mu       sync.Mutex
	arrivals []time.Time
}

// Fleet is a running fleet with its stand-ins.
type Fleet struct {
	Deployment document.Deployment
	Platform   *platform.Platform
	// PlatformAddress is "IP:port".
	PlatformAddress string
	// Targets holds the targets by name.
	Targets map[string]*Target

	options    Options
	generation uint64
	servers    []*http.Server

	mu  sync.Mutex
	vms []*VM
}

// Zones returns the availability zones of the example.
func Zones() []string { return []string{"ee-a", "ee-b", "ee-c"} }

// Start starts the stand-ins and publishes the first generation.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Network == nil {
		options.Network = network.OS{}
	}
	f := &Fleet{
		Deployment: examples.SoojaVee(),
		Platform:   platform.New(),
		Targets:    make(map[string]*Target),
		options:    options,
	}
	if err := f.startTargets(ctx); err != nil {
		return nil, err
	}
	address, err := f.serve(f.Platform.Handler())
	if err != nil {
		return nil, fmt.Errorf("start platform stand-in: %w", err)
	}
	f.PlatformAddress = address
	return f, f.Publish()
}

func (f *Fleet) startTargets(ctx context.Context) error {
	for i := range f.Deployment.Services {
		service := &f.Deployment.Services[i]
		for j := range service.Targets {
			address, err := f.startTarget(ctx, service, service.Targets[j].Name)
			if err != nil {
				return err
			}
			service.Targets[j].Address = address
		}
	}
	return nil
}

func (f *Fleet) startTarget(ctx context.Context, service *document.Service, name string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("start target %s: %w", name, err)
	}
	running := &Target{Target: target.New(target.Options{
		Name:           name,
		Slots:          service.Slots,
		Queue:          targetQueue,
		MaxConnections: service.MaxConnections,
		ServiceTime:    drawServiceTime,
	}), Address: listener.Addr().String()}
	running.OnRequest(running.recordArrival)
	f.Targets[name] = running
	go func() { _ = running.Serve(ctx, listener) }()
	return running.Address, nil
}

// recordArrival records the arrival time of a request, unless it is a trial.
func (t *Target) recordArrival(r *http.Request) {
	if r.Header.Get(target.TrialHeader) != "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, time.Now())
}

// Arrivals returns when requests other than trials arrived, oldest first.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.arrivals...)
}

func drawServiceTime() time.Duration {
	return minServiceTime + time.Duration(rand.ExpFloat64()*float64(meanExtraServiceTime))
}

func (f *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// Generation returns the newest generation published.
func (f *Fleet) Generation() uint64 { return f.generation }

// Publish publishes the deployment as the next generation.
func (f *Fleet) Publish() error {
	f.generation++
	return f.Platform.PublishDeployment(f.Deployment, f.generation)
}

// StartVM starts an instance on free loopback ports.
func (f *Fleet) StartVM(ctx context.Context, name, zone string) error {
	vmSettings, err := f.settings(name, zone)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	instance, err := daemon.New(daemon.Options{Settings: vmSettings, Network: f.options.Network, Logger: f.logger(name)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	started := &VM{Settings: vmSettings, cancel: cancel, done: make(chan error, 1)}
	go func() { started.done <- instance.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = append(f.vms, started)
	return nil
}

func (f *Fleet) settings(name, zone string) (settings.Settings, error) {
	vmSettings := settings.Default()
	addresses, err := freeAddresses(3)
	if err != nil {
		return vmSettings, err
	}
	vmSettings.Fleet, vmSettings.VM, vmSettings.Zone, vmSettings.Region = fleetName, name, zone, regionName
	vmSettings.Listen = settings.Listen{Callers: addresses[0], Peers: addresses[1], Admin: addresses[2]}
	vmSettings.Platform = []string{f.PlatformAddress}
	vmSettings.TLS.Off = true
	vmSettings.Stop.Linger = document.Duration(linger)
	for _, other := range f.VMs() {
		if len(vmSettings.FirstPeers) == firstPeerCount {
			break
		}
		vmSettings.FirstPeers = append(vmSettings.FirstPeers, other.Settings.Listen.Peers)
	}
	return vmSettings, nil
}

func (f *Fleet) logger(vm string) *log.Logger {
	if f.options.Logs == nil {
		return log.New(io.Discard)
	}
	return log.NewWithOptions(f.options.Logs(vm), log.Options{Formatter: log.JSONFormatter})
}

// freeAddresses returns loopback addresses whose ports were free during the call.
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

// VMs returns the running VMs in the order of their start.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// Entrances returns the callers' addresses of the running VMs.
func (f *Fleet) Entrances() []string {
	var addresses []string
	for _, running := range f.VMs() {
		addresses = append(addresses, running.Settings.Listen.Callers)
	}
	return addresses
}

// StopVM performs a planned stop of a VM and waits until the VM has stopped.
func (f *Fleet) StopVM(leaving *VM) error {
	f.mu.Lock()
	for i, each := range f.vms {
		if each == leaving {
			f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
			break
		}
	}
	f.mu.Unlock()
	leaving.cancel()
	return <-leaving.done
}

// AwaitGeneration waits until every VM has the newest generation in force.
func (f *Fleet) AwaitGeneration(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		behind := f.vmWithoutGeneration(ctx)
		if behind == "" {
			return nil
		}
		if !Sleep(ctx, pollInterval) {
			return fmt.Errorf("wait for generation %d: %s does not have it in force", f.generation, behind)
		}
	}
}

// vmWithoutGeneration returns the name of a VM that does not have the newest
// generation in force, or "" if there is none.
func (f *Fleet) vmWithoutGeneration(ctx context.Context) string {
	for _, each := range f.VMs() {
		status, err := fleetview.Status(ctx, each.Settings.Listen.Admin)
		if err != nil || status.Generation < f.generation {
			return each.Settings.VM
		}
	}
	return ""
}

// Stop ends the VMs and the stand-ins.
func (f *Fleet) Stop() {
	running := f.VMs()
	for _, each := range running {
		each.cancel()
	}
	for _, each := range running {
		<-each.done
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// Sleep waits for d. It returns false as soon as the context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
