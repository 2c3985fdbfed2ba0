package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/load"
)

func newLoad() *cobra.Command {
	var options load.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "load --entrance IP:PORT --service NAME --host HOST --customer NAME --credential SECRET",
		Short: "Generate load on a fleet and measure what callers get",
		Long:  "Generate load on a fleet at a fixed rate and measure what callers get. With --direct,\nthe same requests also go straight to a target, so that the latency added by the\nfleet is measured in the same run.",
		Example: "  primroseloom load --entrance 127.0.0.1:8001 --service booking --host booking.soojavee.example \\\n" +
			"    --customer portal --credential example-portal --rate 200 --duration 30s\n" +
			"  primroseloom load --entrance 127.0.0.1:8001 --service booking --host booking.soojavee.example \\\n" +
			"    --customer portal --credential example-portal --direct 127.0.0.1:7001 --json",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if bar := newProgress(asJSON); bar != nil {
				options.Progress = func(done, total int) { _ = bar.Set(done * 100 / total) }
			}
			report, err := load.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), report)
			}
			return writeLoad(command.OutOrStdout(), report)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.Caller.Entrances, "entrance", nil, "callers' address of an entry VM; may be repeated")
	flags.StringVar(&options.Caller.Service, "service", "", "service to look up in the directory")
	flags.StringVar(&options.Caller.Customer, "customer", "", "customer to send requests as")
	flags.StringVar(&options.Caller.Credential, "credential", "", "the customer's secret")
	flags.StringVar(&options.Caller.Host, "host", "", "host name that routes to the service")
	flags.DurationVar(&options.Caller.Timeout, "timeout", 2*time.Second, "time each request may take")
	flags.IntVar(&options.Caller.Resends, "resends", 0, "times a request with an Idempotency-Key may be sent again")
	flags.Float64Var(&options.Rate, "rate", 100, "requests a second")
	flags.DurationVar(&options.Duration, "duration", 10*time.Second, "time under load")
	flags.StringVar(&options.Method, "method", "GET", "method of each request")
	flags.StringVar(&options.Path, "path", "/", "path of each request")
	flags.IntVar(&options.BodyBytes, "body-bytes", 0, "size of each request's body")
	flags.BoolVar(&options.AtMostOnce, "at-most-once", false, "send an Idempotency-Key with each request")
	flags.StringVar(&options.DirectTarget, "direct", "", "address of a target to compare with")
	flags.BoolVar(&asJSON, "json", false, "print the result as JSON")
	for _, name := range []string{"entrance", "service", "customer", "credential", "host"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}

// newProgress returns a progress bar, or nil if quiet is set or standard error is
// not a terminal.
func newProgress(quiet bool) *progressbar.ProgressBar {
	const percent = 100
	if quiet || !isatty.IsTerminal(os.Stderr.Fd()) {
		return nil
	}
	return progressbar.NewOptions(percent, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish())
}

// startSpinner shows a spinner until stop is called. It shows nothing if quiet is
// set or standard error is not a terminal.
func startSpinner(quiet bool, description string) (stop func()) {
	if quiet || !isatty.IsTerminal(os.Stderr.Fd()) {
		return func() {}
	}
	const interval = 100 * time.Millisecond
	spinner := progressbar.NewOptions(-1, progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetDescription(description), progressbar.OptionClearOnFinish())
	ticker := time.NewTicker(interval)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				_ = spinner.Add(1)
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
		_ = spinner.Finish()
	}
}

func writeLoad(out io.Writer, report load.Report) error {
	_, err := fmt.Fprintf(out, "requests %d: %d answered, %d not run, %d may have run\n",
		report.Requests, report.Answered, report.NotRun, report.MayHaveRun)
	if err != nil {
		return err
	}
	reasons := make([]string, 0, len(report.Reasons))
	for reason := range report.Reasons {
		reasons = append(reasons, reason)
	}
	slices.Sort(reasons)
	for _, reason := range reasons {
		_, _ = fmt.Fprintf(out, "  %s: %d\n", reason, report.Reasons[reason])
	}
	writePercentiles(out, "through the fleet", &report.FleetMs)
	writePercentiles(out, "direct", report.DirectMs)
	writePercentiles(out, "added", report.AddedMs)
	return nil
}

func writePercentiles(out io.Writer, name string, p *load.Percentiles) {
	if p == nil {
		return
	}
	_, _ = fmt.Fprintf(out, "%-18s p50 %.2f ms, p99 %.2f ms, max %.2f ms\n", name, p.P50, p.P99, p.Max)
}
