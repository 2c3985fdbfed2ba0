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
	// Scenarios are the scenarios to run; ShippedScenarios() when empty.
	Scenarios []*Scenario
	// Quick runs fewer seeds and shorter timelines.
	Quick bool
	// Seed is added to each run's seed, to repeat an experiment with other seeds.
	Seed uint64
	// Policies are the policies to run; Policies() when empty.
	Policies []Policy
	// Parallel is the number of concurrent runs; 0 for the number of processors.
	Parallel int
	// Series keeps each run's series for the plot.
	Series bool
}

// Policies returns the project's policy and the baselines; only the first one is
// checked against the bounds.
func Policies() []Policy {
	return []Policy{
		PrimroseloomPolicy(),
		{Name: "naive", Chooser: NewRoundRobin, Health: NewNaiveHealth, Admission: NewOpenAdmission, Retrier: NewBudgetRetrier, shortWarmup: true},
		{Name: "outlier", Chooser: NewTwoChoices, Health: NewOutlierHealth, Admission: NewOpenAdmission, Retrier: NewBudgetRetrier, shortWarmup: true},
	}
}

// baselineWarmup suffices for the baselines, which learn no service times.
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
	cells, err := buildCells(&options)
	if err != nil {
		return Report{}, err
	}
	results, err := runCells(ctx, cells, &options)
	if err != nil {
		return Report{}, err
	}
	return newReport(cells, results), nil
}

// buildCells returns a cell for each combination of scenario, service, load and policy.
func buildCells(options *Options) ([]cell, error) {
	var cells []cell
	for _, scenario := range options.Scenarios {
		for _, name := range scenario.Services {
			size, err := findServiceSize(name)
			if err != nil {
				return nil, fmt.Errorf("scenario %s: %w", scenario.Name, err)
			}
			for _, load := range scenario.Loads {
				cells = append(cells, buildPolicyCells(scenario, size, load, options)...)
			}
		}
	}
	return cells, nil
}

// buildPolicyCells returns a cell for each policy that runs the scenario.
func buildPolicyCells(scenario *Scenario, size ServiceSize, load float64, options *Options) []cell {
	var cells []cell
	for i, policy := range options.Policies {
		if i > 0 && !scenario.Baselines {
			break
		}
		c := cell{scenario: *scenario, policy: policy, seeds: scenario.Seeds, duration: scenario.Duration.Std()}
		c.scenario.size, c.scenario.load = size, load
		if scenario.Warmup == 0 {
			c.scenario.Warmup = document.Duration(size.Warmup)
			if policy.shortWarmup {
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

// runCells runs every seed of every cell, several runs concurrently.
func runCells(ctx context.Context, cells []cell, options *Options) ([][]*recorder, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(options.parallelRuns())
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
				if cells[i].measuresSmallAlone() {
					return cells[i].runSmallAlone(ctx, e.record, options.Seed+uint64(seed))
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

func (o *Options) parallelRuns() int {
	if o.Parallel > 0 {
		return o.Parallel
	}
	return runtime.GOMAXPROCS(0)
}
