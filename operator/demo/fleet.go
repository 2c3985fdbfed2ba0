package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/operator/localfleet"
)

const (
	vmCount = 6
	// readyTimeout limits how long the fleet may take to have a generation in force.
	readyTimeout = 20 * time.Second
)

// demoRun is the state of one demo run.
type demoRun struct {
	*localfleet.Fleet
	observer *observer

	mu     sync.Mutex
	grayAt time.Time
}

// start starts the stand-ins and the entry VMs and waits until the configuration is
// in force on all VMs.
func start(ctx context.Context, observer *observer) (*demoRun, error) {
	logs := func(vm string) io.Writer { return vmLog{observer: observer, vm: vm} }
	fleet, err := localfleet.Start(ctx, localfleet.Options{Logs: logs})
	if err != nil {
		return nil, err
	}
	zones := localfleet.Zones()
	for i := range vmCount {
		if err := fleet.StartVM(ctx, fmt.Sprintf("vm-%d", i+1), zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	return &demoRun{Fleet: fleet, observer: observer}, fleet.AwaitGeneration(ctx, readyTimeout)
}
