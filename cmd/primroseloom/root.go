package main

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"
)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "primroseloom",
		Short:         "Configure, inspect and measure a primroseloom fleet",
		Long:          "Configure, inspect and measure a primroseloom fleet.\n\nExit codes: 0 success, 1 a check or measurement failed, 2 wrong usage or another error.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newCapacity(),
		newCheck(),
		newRender(),
		newStatus(),
		newExplain(),
		newLoad(),
		newMeasure(),
		newStandin(),
		newDemo(),
		newSoak(),
		newPropagation(),
		newTrace(),
		newQuarantine(),
		newVersion(),
	)
	return root
}

// writeJSON prints a value as one line of JSON.
func writeJSON(out io.Writer, value any) error {
	return json.NewEncoder(out).Encode(value)
}
