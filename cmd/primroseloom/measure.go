package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/operator/measure"
)

func newMeasure() *cobra.Command {
	var files []string
	var all, quick, asJSON bool
	var options measure.Options
	command := &cobra.Command{
		Use:   "measure [--quick | --all | --scenario FILE]",
		Short: "Measure the policies and baselines in fault scenarios",
		Long:  "Measure the policies and two baselines in fault scenarios, in virtual time. Exits\nwith 1 when a stated bound is missed. The scenario format is in docs/SCENARIOS.md.",
		Example: "  primroseloom measure --quick\n" +
			"  primroseloom measure --all --json\n" +
			"  primroseloom measure --scenario my-fault.json",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			scenarios, err := readScenarios(files)
			if err != nil {
				return err
			}
			options.Scenarios = scenarios
			options.Quick = quick || (!all && len(files) == 0)
			stop := startSpinner(asJSON, "measuring")
			report, err := measure.Run(command.Context(), options)
			stop()
			if err != nil {
				return err
			}
			if err := writeMeasure(command, report, asJSON); err != nil {
				return err
			}
			if missed := report.MissedBounds(); len(missed) > 0 {
				return exit.Failuref("%d bounds missed:\n%s", len(missed), strings.Join(missed, "\n"))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&files, "scenario", nil, "scenario file to run instead of the shipped ones; may be repeated")
	flags.BoolVar(&quick, "quick", false, "run each shipped scenario briefly, under a minute in total (the default)")
	flags.BoolVar(&all, "all", false, "run every shipped scenario in full")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.Uint64Var(&options.Seed, "seed", 0, "number added to the seeds of the runs")
	flags.IntVar(&options.Parallel, "parallel", 0, "number of concurrent runs; 0 for the number of processors")
	command.MarkFlagsMutuallyExclusive("quick", "all", "scenario")
	return command
}

func readScenarios(files []string) ([]*measure.Scenario, error) {
	var scenarios []*measure.Scenario
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", file, err)
		}
		scenario, err := measure.ParseScenario(content)
		if err != nil {
			return nil, fmt.Errorf("scenario %s: %w", file, err)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

func writeMeasure(command *cobra.Command, report measure.Report, asJSON bool) error {
	if !asJSON {
		return report.WriteTable(command.OutOrStdout())
	}
	content, err := report.JSON()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), string(content))
	return err
}
