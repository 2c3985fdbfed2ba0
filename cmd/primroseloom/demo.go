package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/demo"
	"github.com/primroseloom/primroseloom/operator/exit"
)

func newDemo() *cobra.Command {
	const defaultDuration = 20 * time.Second
	var duration time.Duration
	var asJSON bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet in one process and check its promises",
		Long:  "Run entry VMs, stand-ins and callers in one process, turn one target gray,\nreplace one entry VM, and compare the results that callers got with the requests\nthat ran on targets. Exits with 1 when a promise was broken.",
		Example: "  primroseloom demo\n" +
			"  primroseloom demo --duration 60s --json",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options := demo.Options{Duration: duration}
			if !asJSON {
				options.Progress = command.OutOrStdout()
			}
			report, err := demo.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if err := writeDemo(command.OutOrStdout(), report, asJSON); err != nil {
				return err
			}
			if len(report.BrokenPromises) > 0 {
				return exit.Failuref("broken promises: %s", strings.Join(report.BrokenPromises, "; "))
			}
			return nil
		},
	}
	command.Flags().DurationVar(&duration, "duration", defaultDuration, "time under load")
	command.Flags().BoolVar(&asJSON, "json", false, "print only the result, as one line of JSON")
	return command
}

func writeDemo(out io.Writer, report demo.Report, asJSON bool) error {
	if asJSON {
		return writeJSON(out, report)
	}
	_, err := fmt.Fprintf(out, `
requests        %d: %d answered, %d not run, %d may have run
broken          %d wrong, %d truncated, %d ran twice, %d reported as not run but ran, %d unanswered
gray target     last request of the first burst after %.0f ms, %d false ejections
added latency   p50 %.2f ms, p99 %.2f ms
configuration   in force everywhere after %.0f ms, %.1f platform calls/s
`,
		report.Requests, report.Answered, report.NotRun, report.MayHaveRun,
		report.WrongResponses, report.Truncated, report.RanTwice, report.NotRunButRan, report.Unanswered,
		report.DetectionMs, report.FalseEjections,
		report.AddedMs.P50, report.AddedMs.P99,
		report.ConfigInForceMs, report.PlatformCallsPerS)
	return err
}
