package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/operator/fleetview"
	"github.com/primroseloom/primroseloom/policy/generation"
)

func newStatus() *cobra.Command {
	var address string
	var asJSON, configOnly bool
	command := &cobra.Command{
		Use:   "status --admin IP:PORT",
		Short: "Show the fleet as one VM sees it",
		Long:  "Show the fleet as one VM sees it. With --config, name each VM that is not yet on\nthe newest generation and why; exits with 1 while there is one.",
		Example: "  primroseloom status --admin 127.0.0.1:9001\n" +
			"  primroseloom status --admin 127.0.0.1:9001 --config --json",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := fleetview.Status(command.Context(), address)
			if err != nil {
				return err
			}
			if configOnly {
				return writeRollout(command.OutOrStdout(), status, asJSON)
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), status)
			}
			return writeStatus(command.OutOrStdout(), status)
		},
	}
	command.Flags().StringVar(&address, "admin", "", "admin address of any VM")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.Flags().BoolVar(&configOnly, "config", false, "show whether the newest configuration is in force everywhere")
	_ = command.MarkFlagRequired("admin")
	return command
}

func writeStatus(out io.Writer, status admin.Status) error {
	const columnGap = 2
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(table, "VM\tREGION\tZONE\tSTATUS\tCALLERS\tGENERATION\tREJECTED\tPROBLEM")
	for _, member := range status.Members {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", member.VM, member.Region, member.Zone,
			member.Status, member.CallersAddress, member.Generation, member.RejectedCount, member.ConfigProblem)
	}
	return table.Flush()
}

// rolloutResult is the machine-readable result of status --config.
type rolloutResult struct {
	generation.Rollout
	Everywhere bool `json:"everywhere"`
	// Rejections are those of the queried VM only.
	Rejections []snapshot.Rejection `json:"rejections"`
}

func writeRollout(out io.Writer, status admin.Status, asJSON bool) error {
	rollout := fleetview.Rollout(status)
	result := rolloutResult{Rollout: rollout, Everywhere: len(rollout.Behind) == 0, Rejections: status.Rejections}
	if asJSON {
		if err := writeJSON(out, result); err != nil {
			return err
		}
	} else {
		printRollout(out, result)
	}
	if !result.Everywhere {
		return exit.Failuref("%d VMs are not on generation %d", len(rollout.Behind), rollout.Generation)
	}
	return nil
}

func printRollout(out io.Writer, result rolloutResult) {
	_, _ = fmt.Fprintf(out, "generation %d on %d of %d VMs\n", result.Generation, result.Current, result.Members)
	for _, member := range result.Behind {
		_, _ = fmt.Fprintf(out, "%s has generation %d: %s\n", member.VM, member.Generation, member.Reason)
	}
	for _, member := range result.Rejecting {
		_, _ = fmt.Fprintf(out, "%s rejects %d definitions\n", member.VM, member.Rejected)
	}
	for _, rejection := range result.Rejections {
		_, _ = fmt.Fprintf(out, "rejected %s: %s\n", rejection.Path, rejection.Reason)
	}
}
