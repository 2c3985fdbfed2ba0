package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionInfo is the machine-readable version.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func newVersion() *cobra.Command {
	var asJSON bool
	command := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  primroseloom version\n  primroseloom version --json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			info := versionInfo{Version: "unknown"}
			if build, ok := debug.ReadBuildInfo(); ok {
				info = versionInfo{Version: build.Main.Version, Go: build.GoVersion}
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), info)
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), "primroseloom", info.Version, info.Go)
			return err
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return command
}
