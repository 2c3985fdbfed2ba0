package measure

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/primroseloom/primroseloom/config/document"
)

// Options say what to measure.
type Options struct {
	// Scenarios to run; the shipped ones when empty.
	Scenarios []*Scenario
	// Quick runs fewer seeds and shorter timelines.
	Quick bool
	// Seed shifts the seeds, to repeat an experiment with other ones.
	Seed uint64
	// Policies to run; Policies() when empty.
	Policies []Policy
	// Parallel is the number of runs at a time; 0 for the number of processors.
	Parallel int
	// Series keeps each run's series for the plot.
	Series bool
}

// Policies are ours and the baselines; the first one is held to the bounds.
func Policies() []Policy {
	return []Policy{
		PrimroseloomPolicy(),
		{Name: "naive", Chooser: NewRoundRobin, Health: NewNaiveHealth, Admission: NewOpenAdmission, Retrier: NewBudgetRetrier, learnsNothing: true},
		{Name: "outlier", Chooser: NewTwoChoices, Health: NewOutlierHealth, Admission: NewOpenAdmission, Retrier: NewBudgetRetrier, learnsNothing: true},
	}
}

// baselineWarmup is enough for the baselines, which learn nothing.
const baselineWarmup = document.Duration(10 * time.Second)

// cell is one scenario with one service, load and policy.
type cell struct {
	scenario Scenario
	policy   Policy
	seeds    int
	duration time.Duration
}

// Run measures every scenario and returns the report.
func Run(ctx context.Context, options Options) (Report, error) {
	if len(options.Policies) == 0 {
		options.Policies = Policies()
	}
	if len(options.Scenarios) == 0 {
		scenarios, err := ShippedScenarios()
		if err != nil {
			return Report{}, err
		}
		options.Scenarios = scenarios
	}
	cells, err := cellsOf(&options)
	if err != nil {
		return Report{}, err
	}
	results, err := runCells(ctx, cells, &options)
	if err != nil {
		return Report{}, err
	}
	return newReport(cells, results), nil
}

// cellsOf multiplies scenarios by services, loads and policies.
func cellsOf(options *Options) ([]cell, error) {
	var cells []cell
	for _, scenario := range options.Scenarios {
		for _, name := range scenario.Services {
			size, err := sizeOf(name)
			if err != nil {
				return nil, fmt.Errorf("scenario %s: %w", scenario.Name, err)
			}
			for _, load := range scenario.Loads {
				cells = append(cells, cellsFor(scenario, size, load, options)...)
			}
		}
	}
	return cells, nil
}

func cellsFor(scenario *Scenario, size ServiceSize, load float64, options *Options) []cell {
	var cells []cell
	for i, policy := range options.Policies {
		if i > 0 && !scenario.Baselines {
			break
		}
		c := cell{scenario: *scenario, policy: policy, seeds: scenario.Seeds, duration: scenario.Duration.Std()}
		c.scenario.size, c.scenario.load = size, load
		if scenario.Warmup == 0 {
			c.scenario.Warmup = document.Duration(size.Warmup)
			if policy.learnsNothing {
				c.scenario.Warmup = baselineWarmup
			}
		}
		if options.Quick {
			c.seeds, c.duration = scenario.QuickSeeds, scenario.QuickDuration.Std()
		}
		cells = append(cells, c)
	}
	return cells
}

// runCells runs every seed of every cell, several at a time.
func runCells(ctx context.Context, cells []cell, options *Options) ([][]*recorder, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(options.parallel())
	results := make([][]*recorder, len(cells))
	for i := range cells {
		results[i] = make([]*recorder, cells[i].seeds)
		for seed := range cells[i].seeds {
			group.Go(func() error {
				e := newEngine(&cells[i].scenario, cells[i].policy, options.Seed+uint64(seed), cells[i].duration)
				if err := e.run(ctx); err != nil {
					return err
				}
				if !options.Series {
					e.record.series = nil
				}
				results[i][seed] = e.record
				if cells[i].comparesSmall() {
					return cells[i].runAlone(ctx, e.record, options.Seed+uint64(seed))
				}
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

func (o *Options) parallel() int {
	if o.Parallel > 0 {
		return o.Parallel
	}
	return runtime.GOMAXPROCS(0)
}
