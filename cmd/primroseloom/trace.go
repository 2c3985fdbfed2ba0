package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/operator/logtrace"
)

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:     "trace ID FILE...",
		Short:   "Show from the VMs' logs what happened to a request",
		Long:    "Show from the logs of one or several VMs what happened to a request: the lines that\nname it (marked with *), and what its VMs logged in the 10 s before about the\ntargets that it was sent to, the store and the routes.",
		Example: "  primroseloom trace 9c41d07be2a35f68 vm-1.log vm-2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return trace(command.OutOrStdout(), args[0], args[1:])
		},
	}
}

func trace(out io.Writer, id string, files []string) error {
	var sources []logtrace.Source
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		sources = append(sources, logtrace.Source{Name: name, Log: file})
	}
	lines, err := logtrace.Trace(id, sources)
	if err != nil {
		return err
	}
	for _, line := range lines {
		mark := " "
		if line.Direct {
			mark = "*"
		}
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", mark, line.Source, line.Text); err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return exit.Failuref("no line names request %s: its first attempt succeeded, or its log lines were dropped", id)
	}
	return nil
}
