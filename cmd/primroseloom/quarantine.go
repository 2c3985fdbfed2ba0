package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/entry/admin"
	"github.com/primroseloom/primroseloom/operator/fleetview"
)

func newQuarantine() *cobra.Command {
	command := &cobra.Command{
		Use:     "quarantine",
		Short:   "List and lift quarantines of requests that crash targets",
		Example: "  primroseloom quarantine list --admin 127.0.0.1:9001\n  primroseloom quarantine lift --admin 127.0.0.1:9001 1f3a",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newQuarantineList(), newQuarantineLift())
	return command
}

func newQuarantineList() *cobra.Command {
	var address string
	var asJSON bool
	command := &cobra.Command{
		Use:     "list --admin IP:PORT",
		Short:   "List quarantined and suspect requests",
		Example: "  primroseloom quarantine list --admin 127.0.0.1:9001 --json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			rows, err := fleetview.Quarantines(command.Context(), address)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), rows)
			}
			return writeQuarantines(command.OutOrStdout(), rows)
		},
	}
	command.Flags().StringVar(&address, "admin", "", "admin address of any VM")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	_ = command.MarkFlagRequired("admin")
	return command
}

func newQuarantineLift() *cobra.Command {
	var address string
	var asJSON bool
	command := &cobra.Command{
		Use:     "lift --admin IP:PORT FINGERPRINT",
		Short:   "Let a quarantined request run again, on every VM",
		Example: "  primroseloom quarantine lift --admin 127.0.0.1:9001 1f3a",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, fingerprints []string) error {
			if err := fleetview.LiftQuarantine(command.Context(), address, fingerprints[0]); err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), map[string]string{"lifted": fingerprints[0]})
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), "lifted", fingerprints[0])
			return err
		},
	}
	command.Flags().StringVar(&address, "admin", "", "admin address of any VM")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	_ = command.MarkFlagRequired("admin")
	return command
}

func writeQuarantines(out io.Writer, rows []admin.Quarantine) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(out, "no request is quarantined or suspect")
		return err
	}
	for _, row := range rows {
		state := "suspect, one attempt at a time"
		if row.Refused {
			state = "refused"
		}
		if row.AnyCaller {
			state += ", from any caller"
		}
		if row.AnyQuery {
			state += ", with any query"
		}
		ends := time.Duration(row.EndsInMs) * time.Millisecond
		_, err := fmt.Fprintf(out, "%s  %s: %s; crashed %s; ends in %v\n", row.Fingerprint, row.Service, state, strings.Join(row.Targets, ", "), ends.Round(time.Second))
		if err != nil {
			return err
		}
	}
	return nil
}
