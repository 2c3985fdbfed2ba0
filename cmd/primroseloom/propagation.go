package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/propagation"
)

func newPropagation() *cobra.Command {
	options := propagation.Options{Deployment: propagation.DesignSize, AddressBase: 66}
	var sizes []int
	var asJSON bool
	command := &cobra.Command{
		Use:   "propagation --daemon PATH",
		Short: "Measure how soon what the store publishes is in force, and what that costs",
		Long: "Run real front daemons as separate processes on loopback addresses before a store of\na deployment's size, and measure how soon a version of the routes is in force on all\n" +
			"of them in calm and under trouble, with calls to the store, processor time and memory.",
		Example: "  primroseloom propagation --daemon bin/primroseloomd --vms 12,36",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop() // a signal cancels the run, which stops its daemons
			var all []propagation.Result
			for _, size := range sizes {
				options.VMs = size
				results, err := measurePropagation(ctx, options)
				all = append(all, results...)
				if err != nil {
					return err
				}
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), all)
			}
			return writePropagation(command.OutOrStdout(), all)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.DaemonPath, "daemon", "", "path of the daemon binary")
	flags.IntSliceVar(&sizes, "vms", []int{12, 36}, "fleet sizes to measure")
	flags.Float64Var(&options.MemoryMB, "memory-mb", 0, "memory of a VM; 0 sets no bound")
	flags.IntVar(&options.Deployment.Targets, "targets", options.Deployment.Targets, "number of targets")
	flags.IntVar(&options.Deployment.Services, "services", options.Deployment.Services, "number of services")
	flags.IntVar(&options.Deployment.Routes, "routes", options.Deployment.Routes, "number of routes")
	flags.IntVar(&options.Deployment.Customers, "customers", options.Deployment.Customers, "number of customers")
	flags.IntVar(&options.Deployment.PathBytes, "path-bytes", options.Deployment.PathBytes, "bytes by which the paths of the routes are longer")
	flags.IntVar(&options.AddressBase, "base", options.AddressBase, "second byte of the loopback addresses; runs at the same time need different ones")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	_ = command.MarkFlagRequired("daemon")
	return command
}

// measurePropagation measures one fleet, whose logs are kept only after an error.
func measurePropagation(ctx context.Context, options propagation.Options) ([]propagation.Result, error) {
	directory, err := os.MkdirTemp("", "propagation-")
	if err != nil {
		return nil, fmt.Errorf("directory of the logs: %w", err)
	}
	options.Directory = directory
	options.Progress = func(name string) { _, _ = fmt.Fprintf(os.Stderr, "%d VMs: %s\n", options.VMs, name) }
	results, err := propagation.Run(ctx, options)
	if err != nil {
		return results, fmt.Errorf("%d VMs, logs in %s: %w", options.VMs, directory, err)
	}
	return results, os.RemoveAll(directory)
}

func writePropagation(out io.Writer, results []propagation.Result) error {
	const columnGap = 2
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "VMs\tcase\tin force ms p50\tmax\tmissing\tstore calls\tstore MB\tcore ms a VM\tmax\tpeak MB\tmax\tduration ms\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t\n", r.VMs, r.Case, r.MedianMs, r.MaxMs, r.Missing,
			r.StoreCalls, r.StoreMB, r.CoreMs, r.CoreMsMax, r.PeakMB, r.PeakMBMax, r.DurationMs)
	}
	return table.Flush()
}
