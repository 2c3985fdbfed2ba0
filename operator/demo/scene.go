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
	// readyTimeout bounds the start of the whole fleet.
	readyTimeout = 20 * time.Second
)

// scene is the fleet together with what the demo keeps of it.
type scene struct {
	*localfleet.Fleet
	observer *observer

	mu   sync.Mutex
	gray time.Time
}

// start brings up the stand-ins and the entry VMs and waits until all have the
// configuration in force.
func start(ctx context.Context, observer *observer) (*scene, error) {
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
	return &scene{Fleet: fleet, observer: observer}, fleet.AwaitGeneration(ctx, readyTimeout)
}
