package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/standin/target"
)

// burstGap is the time without requests that ends the gray target's first burst of
// requests.
const burstGap = time.Second

// changedRate is the value that the demo sets for a customer's rate parameter.
const changedRate = "600"

// publishChange publishes a change of one customer's parameters and returns how long
// it took to come into force on all VMs.
func (d *demoRun) publishChange(ctx context.Context) (time.Duration, error) {
	customer := &d.Deployment.Customers[0]
	customer.Parameters = map[string]json.RawMessage{"rate": json.RawMessage(changedRate)}
	published := time.Now()
	if err := d.Publish(); err != nil {
		return 0, err
	}
	d.observer.logf("published generation %d: rate of customer %s is now %s", d.Generation(), customer.Name, changedRate)
	if err := d.AwaitGeneration(ctx, readyTimeout); err != nil {
		return 0, err
	}
	elapsed := time.Since(published)
	d.observer.logf("generation %d is in force on all VMs after %v", d.Generation(), elapsed.Round(time.Millisecond))
	return elapsed, nil
}

// turnGray makes one target slow and erroneous while its health endpoint reports healthy.
func (d *demoRun) turnGray() {
	d.mu.Lock()
	d.grayAt = time.Now()
	d.mu.Unlock()
	d.Targets[grayTarget].SetFaults(target.Faults{
		SlowFactor: graySlowFactor,
		ErrorShare: 0.2,
		Health:     target.HealthAlwaysHealthy,
	})
	d.observer.logf("target %s turned gray: %dx slow, 20%% errors, its health endpoint reports healthy", grayTarget, graySlowFactor)
}

// replaceVM starts a new VM and then makes a planned stop of an old one.
func (d *demoRun) replaceVM(ctx context.Context) error {
	running := d.VMs()
	leaving := running[len(running)/2]
	joining := fmt.Sprintf("vm-%d", vmCount+1)
	d.observer.logf("%s replaces %s", joining, leaving.Settings.VM)
	if err := d.StartVM(ctx, joining, leaving.Settings.Zone); err != nil {
		return err
	}
	if err := d.AwaitGeneration(ctx, readyTimeout); err != nil {
		return err
	}
	err := d.StopVM(leaving)
	d.observer.logf("%s stopped", leaving.Settings.VM)
	return err
}

// detection returns the time from the start of the gray failure to the last request
// of the first burst at the gray target; zero if there was no such request.
func (d *demoRun) detection() time.Duration {
	d.mu.Lock()
	grayAt := d.grayAt
	d.mu.Unlock()
	last := grayAt
	for _, arrival := range d.Targets[grayTarget].Arrivals() {
		if arrival.Before(grayAt) {
			continue
		}
		if arrival.Sub(last) > burstGap {
			break
		}
		last = arrival
	}
	return last.Sub(grayAt)
}
