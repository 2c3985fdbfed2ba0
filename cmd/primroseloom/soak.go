package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/operator/soak"
)

// maxShownPerPromise limits the violations printed as text for each promise.
const maxShownPerPromise = 5

func newSoak() *cobra.Command {
	options := soak.Options{VMs: 12, Targets: 12, Callers: 36, CrashingRequests: 3, SilentCrashShare: 0.3, WorkerCrashShare: 0.2, AddressBase: 77}
	var seeds int
	var asJSON, untimed, regressions bool
	command := &cobra.Command{
		Use:   "soak --daemon PATH",
		Short: "Run real daemons under random faults and check the promises",
		Long:  "Run real daemons as separate processes on loopback addresses, inject faults from\noutside by a random schedule that the seed determines, and check the promises by\nwhat callers and targets observe. The daemons' logs are kept in the directory of a\nrun that broke a promise.",
		Example: "  primroseloom soak --daemon bin/primroseloomd --seed 1 --duration 30s\n" +
			"  primroseloom soak --daemon bin/primroseloomd --seed 1 --seeds 50 --json",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.CheckTimeBounds = !untimed
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop() // a signal cancels the run, which stops its daemons
			if regressions {
				return runRegressions(ctx, command.OutOrStdout(), options, asJSON)
			}
			return runSoaks(ctx, command.OutOrStdout(), options, seeds, asJSON)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.DaemonPath, "daemon", "", "path of the daemon binary")
	flags.StringVar(&options.OtherDaemonPath, "other-daemon", "", "path of the daemon binary of another build, which half of the VMs run; each restart changes a VM's build")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the first run's fault schedule")
	flags.IntVar(&seeds, "seeds", 1, "number of runs, each with the next seed")
	flags.DurationVar(&options.Duration, "duration", 20*time.Second, "duration of fault injection in each run")
	flags.IntVar(&options.VMs, "vms", options.VMs, "number of daemons")
	flags.IntVar(&options.Targets, "targets", options.Targets, "number of targets")
	flags.IntVar(&options.Callers, "callers", options.Callers, "number of callers")
	flags.IntVar(&options.CrashingRequests, "crashing", options.CrashingRequests, "number of different requests that crash each target that begins to run them")
	flags.Float64Var(&options.SilentCrashShare, "silent-crashes", options.SilentCrashShare, "share of these crashes in which the target falls silent instead of closing its connections")
	flags.Float64Var(&options.WorkerCrashShare, "worker-crashes", options.WorkerCrashShare, "share of these crashes in which only a worker process of the target ends")
	flags.BoolVar(&options.VaryCrashing, "vary-crashing", true, "make the caller's address, the query or the spelling of these requests change, and send sound requests on their paths")
	flags.BoolVar(&options.PartitionsOnly, "partitions-only", false, "inject no other fault than partitions of daemons from all targets")
	flags.BoolVar(&options.StopsOnly, "stops-only", false, "inject no other fault than planned stops of daemons")
	flags.IntVar(&options.AddressBase, "base", options.AddressBase, "second byte of the loopback addresses; runs at the same time need different ones")
	flags.BoolVar(&regressions, "regressions", false, "run the seeds that failed before, each with its own duration and numbers of VMs, targets and callers")
	flags.BoolVar(&untimed, "untimed", false, "skip the promises that depend on the machine's speed")
	flags.BoolVar(&asJSON, "json", false, "print each result as JSON")
	_ = command.MarkFlagRequired("daemon")
	return command
}

// runSoaks performs one run per seed; the error reports how many runs broke a promise.
func runSoaks(ctx context.Context, out io.Writer, options soak.Options, seeds int, asJSON bool) error {
	broken := 0
	for range seeds {
		report, err := soakOnce(ctx, options)
		if err != nil {
			return fmt.Errorf("soak with seed %d: %w", options.Seed, err)
		}
		if len(report.Violations) > 0 {
			broken++
		}
		if err := writeSoak(out, report, asJSON); err != nil {
			return err
		}
		options.Seed++
	}
	if broken > 0 {
		return exit.Failuref("%d of %d runs broke a promise", broken, seeds)
	}
	return nil
}

// runRegressions repeats the runs that failed before.
func runRegressions(ctx context.Context, out io.Writer, options soak.Options, asJSON bool) error {
	for _, regression := range soak.Regressions() {
		regression.Apply(&options)
		if err := runSoaks(ctx, out, options, 1, asJSON); err != nil {
			return fmt.Errorf("%w (failed before: %s)", err, regression.Cause)
		}
	}
	return nil
}

// soakOnce performs one run in a directory of its own, which is kept when the run
// fails or breaks a promise.
func soakOnce(ctx context.Context, options soak.Options) (*soak.Report, error) {
	directory, err := os.MkdirTemp("", fmt.Sprintf("primroseloom-soak-%d-", options.Seed))
	if err != nil {
		return nil, err
	}
	if options.DaemonPath, err = filepath.Abs(options.DaemonPath); err != nil {
		return nil, err
	}
	options.Directory = directory
	report, err := soak.Run(ctx, options)
	if err == nil && len(report.Violations) == 0 {
		return report, os.RemoveAll(directory)
	}
	return report, err
}

func writeSoak(out io.Writer, report *soak.Report, asJSON bool) error {
	if asJSON {
		return writeJSON(out, report)
	}
	_, err := fmt.Fprintf(out, "seed %d: %d of %d served, %d executions across stops, faults %v, %d violations\n", report.Seed, report.Served, report.Requests, report.AcrossStops, report.Faults, len(report.Violations))
	shown := make(map[soak.Promise]int)
	for _, v := range report.Violations {
		if shown[v.Promise]++; shown[v.Promise] > maxShownPerPromise || err != nil {
			continue
		}
		_, err = fmt.Fprintf(out, "  %6.2f s  %s: %s\n", v.At, v.Promise, v.Detail)
	}
	return err
}
