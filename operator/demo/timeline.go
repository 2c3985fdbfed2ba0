package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/standin/target"
)

// burstGap is the pause that ends the gray target's first burst of requests.
const burstGap = time.Second

// changedRate is the rate parameter that the demo's change gives a customer.
const changedRate = "600"

// publishChange publishes a change of one customer and returns how long it took
// until every VM had it in force.
func (s *scene) publishChange(ctx context.Context) (time.Duration, error) {
	customer := &s.Deployment.Customers[0]
	customer.Parameters = map[string]json.RawMessage{"rate": json.RawMessage(changedRate)}
	published := time.Now()
	if err := s.Publish(); err != nil {
		return 0, err
	}
	s.observer.say("published generation %d: rate of customer %s is now %s", s.Generation(), customer.Name, changedRate)
	if err := s.AwaitGeneration(ctx, readyTimeout); err != nil {
		return 0, err
	}
	took := time.Since(published)
	s.observer.say("generation %d is in force on all VMs after %v", s.Generation(), took.Round(time.Millisecond))
	return took, nil
}

// turnGray makes one target slow while its health endpoint says that it is well.
func (s *scene) turnGray() {
	s.mu.Lock()
	s.gray = time.Now()
	s.mu.Unlock()
	s.Targets[grayTarget].SetFaults(target.Faults{
		SlowFactor: graySlowing,
		ErrorShare: 0.2,
		Health:     target.HealthAlwaysHealthy,
	})
	s.observer.say("target %s turned gray: %dx slow, 20%% errors, its health endpoint says well", grayTarget, graySlowing)
}

// replaceVM starts a new VM and then stops an old one as planned.
func (s *scene) replaceVM(ctx context.Context) error {
	running := s.VMs()
	leaving := running[len(running)/2]
	joining := fmt.Sprintf("vm-%d", vmCount+1)
	s.observer.say("%s replaces %s", joining, leaving.Settings.VM)
	if err := s.StartVM(ctx, joining, leaving.Settings.Zone); err != nil {
		return err
	}
	if err := s.AwaitGeneration(ctx, readyTimeout); err != nil {
		return err
	}
	err := s.StopVM(leaving)
	s.observer.say("%s stopped", leaving.Settings.VM)
	return err
}

// detection returns the time from the fault to the last request of the first
// burst that the gray target got; zero when it got none.
func (s *scene) detection() time.Duration {
	s.mu.Lock()
	fault := s.gray
	s.mu.Unlock()
	last := fault
	for _, arrival := range s.Targets[grayTarget].Arrivals() {
		if arrival.Before(fault) {
			continue
		}
		if arrival.Sub(last) > burstGap {
			break
		}
		last = arrival
	}
	return last.Sub(fault)
}
