package measure

import (
	"context"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// comparesSmall reports whether the small customers are to be measured without
// the others too.
func (c *cell) comparesSmall() bool { return c.scenario.Bounds.SmallP99Ratio > 0 }

// runAlone repeats a run with the small customers only and without the faults
// of customers.
func (c *cell) runAlone(ctx context.Context, into *recorder, seed uint64) error {
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

// compareSmall fills in the figures of the small customers alone.
func (r *Result) compareSmall(records []*recorder) {
	alone := hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	for _, record := range records {
		if record.alone != nil {
			alone.Merge(record.alone.small)
			r.SmallRefusedAlone += record.alone.smallRefused
		}
	}
	r.SmallP99Alone = quantile(alone, 99)
}

// judgeSmall compares the small customers beside the others and alone.
func (r *Result) judgeSmall(bounds *Bounds) {
	if bounds.SmallP99Ratio <= 0 {
		return
	}
	if times := ratio(r.SmallP99, r.SmallP99Alone); times > bounds.SmallP99Ratio {
		r.miss("small customers' p99 %.2f times alone, bound %.2f", times, bounds.SmallP99Ratio)
	}
	if r.SmallRefused > r.SmallRefusedAlone {
		r.miss("%d refusals of small customers, %d alone", r.SmallRefused, r.SmallRefusedAlone)
	}
}
