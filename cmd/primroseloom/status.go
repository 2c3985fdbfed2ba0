package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/operator/fleetview"
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
				return writeInForce(command.OutOrStdout(), status, asJSON)
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

// inForce is the machine-readable result of status --config.
type inForce struct {
	Generation uint64               `json:"generation"`
	Everywhere bool                 `json:"everywhere"`
	Behind     []admin.MemberStatus `json:"behind"`
}

func writeInForce(out io.Writer, status admin.Status, asJSON bool) error {
	newest, behind := fleetview.Behind(status)
	result := inForce{Generation: newest, Everywhere: len(behind) == 0, Behind: behind}
	if asJSON {
		if err := writeJSON(out, result); err != nil {
			return err
		}
	} else {
		_, _ = fmt.Fprintf(out, "generation %d on %d of %d VMs\n", newest, len(status.Members)-len(behind), len(status.Members))
		for _, member := range behind {
			_, _ = fmt.Fprintf(out, "%s has generation %d: %s\n", member.VM, member.Generation, member.ConfigProblem)
		}
	}
	if !result.Everywhere {
		return exit.FellShort("%d VMs are not on generation %d", len(behind), newest)
	}
	return nil
}
