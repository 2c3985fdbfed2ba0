package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/operator/fleetview"
)

func newExplain() *cobra.Command {
	var address string
	var asJSON bool
	command := &cobra.Command{
		Use:   "explain --admin IP:PORT SUBJECT",
		Short: "Explain why a target is out of service or a customer is refused",
		Long:  "Explain a decision: what was observed, by which VMs, the rule, since when and what\nhappens next.\nA subject is \"target SERVICE/TARGET\", \"customer NAME\" or \"service NAME\".",
		Example: "  primroseloom explain --admin 127.0.0.1:9001 target booking/booking-07\n" +
			"  primroseloom explain --admin 127.0.0.1:9001 customer portal --json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, words []string) error {
			findings, err := fleetview.Explain(command.Context(), address, strings.Join(words, " "))
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), findings)
			}
			return writeFindings(command.OutOrStdout(), findings)
		},
	}
	command.Flags().StringVar(&address, "admin", "", "admin address of any VM")
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	_ = command.MarkFlagRequired("admin")
	return command
}

func writeFindings(out io.Writer, findings []contract.Finding) error {
	if len(findings) == 0 {
		_, err := fmt.Fprintln(out, "no findings: no decision restricts this subject")
		return err
	}
	for _, finding := range findings {
		_, err := fmt.Fprintf(out, "%s: %s\n  rule:     %s\n  since:    %s\n  seen by:  %s\n  evidence: %s\n  next:     %s\n",
			finding.Subject, finding.Decision, finding.Rule, finding.Since.Format("15:04:05.000"),
			strings.Join(finding.SeenBy, ", "), strings.Join(finding.Evidence, "; "), finding.Next)
		if err != nil {
			return err
		}
	}
	return nil
}
