package measure

import (
	"context"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// measuresSmallAlone reports whether a second run measures the small customers
// without the others.
func (c *cell) measuresSmallAlone() bool { return c.scenario.Bounds.SmallP99Ratio > 0 }

// runSmallAlone repeats a run with only the small customers and without the
// faults of kinds that concern customers, and stores its figures in into.alone.
func (c *cell) runSmallAlone(ctx context.Context, into *recorder, seed uint64) error {
	scenario := c.scenario
	scenario.Customers = slices.DeleteFunc(slices.Clone(scenario.Customers), func(customer Customer) bool { return !customer.Small })
	scenario.Faults = slices.DeleteFunc(slices.Clone(scenario.Faults), func(fault Fault) bool {
		return fault.Kind == FaultCustomerSurge || fault.Kind == FaultCustomerErrors || fault.Kind == FaultReconfigure
	})
	e := newEngine(&scenario, c.policy, seed, c.duration)
	if err := e.run(ctx); err != nil {
		return err
	}
	into.alone = e.record
	return nil
}

// summarizeSmallAlone fills in the figures of the runs with only the small customers.
func (r *Result) summarizeSmallAlone(records []*recorder) {
	alone := hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	for _, record := range records {
		if record.alone != nil {
			alone.Merge(record.alone.small)
			r.SmallRefusedAlone += record.alone.smallRefused
		}
	}
	r.SmallP99Alone = quantile(alone, 99)
}

// checkSmall compares the small customers' figures with those of the runs that
// have no other customers.
func (r *Result) checkSmall(bounds *Bounds) {
	if bounds.SmallP99Ratio <= 0 {
		return
	}
	if times := ratio(r.SmallP99, r.SmallP99Alone); times > bounds.SmallP99Ratio {
		r.addMissed("small customers' p99 %.2f times alone, bound %.2f", times, bounds.SmallP99Ratio)
	}
	if r.SmallRefused > r.SmallRefusedAlone {
		r.addMissed("%d refusals of small customers, %d alone", r.SmallRefused, r.SmallRefusedAlone)
	}
}
