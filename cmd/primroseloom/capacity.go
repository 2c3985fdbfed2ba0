package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/capacity"
)

func newCapacity() *cobra.Command {
	var options capacity.Options
	var asJSON bool
	command := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the control overhead per VM and extrapolate it to a larger fleet",
		Long:  "Measure the control overhead per VM in idle fleets of several sizes, each in this\nprocess on loopback sockets, and extrapolate from the last two sizes to a larger\none. These are the measurements behind docs/CAPACITY.md.",
		Example: "  primroseloom capacity\n" +
			"  primroseloom capacity --instances 12,36 --duration 10s --json",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if !asJSON {
				options.Progress = func(size int) {
					_, _ = fmt.Fprintf(command.ErrOrStderr(), "measuring %d instances\n", size)
				}
			}
			report, err := capacity.Run(command.Context(), options)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), report)
			}
			return writeCapacity(command.OutOrStdout(), report)
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&options.Instances, "instances", []int{12, 36, 100, 200}, "fleet sizes to measure")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "duration of the measurement at each size")
	flags.IntVar(&options.ExtrapolatedSize, "at", 840, "fleet size to extrapolate to")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return command
}

func writeCapacity(out io.Writer, report capacity.Report) error {
	const columnGap = 2
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "instances\t% of a core\tmemory MB\tpeers B/s\tplatform B/s\tprobes B/s\tplatform calls/s\tin force ms\t")
	for _, cost := range append(report.Measured, report.Extrapolated) {
		_, _ = fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t\n", cost.Instances, cost.CorePercent, cost.MemoryMB,
			cost.PeerBytesPerS, cost.PlatformBytesPerS, cost.TargetBytesPerS, cost.PlatformCallsPerS, cost.InForceMs)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, "the last row is extrapolated from the two before it")
	return err
}
