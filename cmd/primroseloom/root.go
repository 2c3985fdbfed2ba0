package main

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"
)

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "primroseloom",
		Short:         "Publish, watch and measure a primroseloom fleet",
		Long:          "Publish, watch and measure a primroseloom fleet.\n\nExit codes: 0 done, 1 a check or measurement fell short, 2 wrong use.",
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
