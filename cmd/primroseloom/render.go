package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/config/check"
	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/render"
	"github.com/primroseloom/primroseloom/operator/exit"
)

// renderResult is the machine-readable result of render.
type renderResult struct {
	Generation uint64 `json:"generation"`
	Values     int    `json:"values"`
	Bytes      int    `json:"bytes"`
	Directory  string `json:"directory"`
}

func newRender() *cobra.Command {
	var generation uint64
	var directory string
	var asJSON bool
	command := &cobra.Command{
		Use:   "render --generation N --out DIR FILE",
		Short: "Render a deployment into the values to publish",
		Long:  "Render a deployment into the values to publish: one file for each key of the\nplatform, at the path that the key gives. Publish the shards first and the root\nlast.",
		Example: "  primroseloom render --generation 7 --out values deployment.json\n" +
			"  primroseloom render --generation 7 --out values --json deployment.json",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			deployment, err := readDeployment(files[0])
			if err != nil {
				return err
			}
			result, err := renderInto(directory, deployment, generation)
			if err != nil {
				return err
			}
			if asJSON {
				return writeJSON(command.OutOrStdout(), result)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "generation %d: %d values, %d bytes in %s\n", result.Generation, result.Values, result.Bytes, result.Directory)
			return err
		},
	}
	command.Flags().Uint64Var(&generation, "generation", 0, "generation of the root; larger than any published before")
	command.Flags().StringVar(&directory, "out", "", "directory to write the values to")
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	_ = command.MarkFlagRequired("generation")
	_ = command.MarkFlagRequired("out")
	return command
}

// readDeployment reads a deployment; one that does not pass check is an error.
func readDeployment(file string) (document.Deployment, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return document.Deployment{}, fmt.Errorf("read %s: %w", file, err)
	}
	deployment, problems := check.Parse(content)
	if len(problems) == 0 {
		return deployment, nil
	}
	failures := make([]error, 0, len(problems))
	for _, problem := range problems {
		failures = append(failures, problem)
	}
	return deployment, exit.Failuref("%s did not pass the check:\n%w", file, errors.Join(failures...))
}

func renderInto(directory string, deployment document.Deployment, generation uint64) (renderResult, error) {
	result := renderResult{Generation: generation, Directory: directory}
	root, shards, err := render.Render(deployment, generation)
	if err != nil {
		return result, exit.Failuref("render: %w", err)
	}
	content, err := json.Marshal(root)
	if err != nil {
		return result, fmt.Errorf("encode root: %w", err)
	}
	values := map[string][]byte{document.RootKey: content}
	for digest, shard := range shards {
		values[document.ShardKeyPrefix+digest] = shard
	}
	for key, value := range values {
		if err := writeValue(directory, key, value); err != nil {
			return result, err
		}
		result.Values++
		result.Bytes += len(value)
	}
	return result, nil
}

func writeValue(directory, key string, value []byte) error {
	const directoryMode, fileMode = 0o755, 0o644
	path := filepath.Join(directory, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(path), directoryMode); err != nil {
		return fmt.Errorf("write value %s: %w", key, err)
	}
	if err := os.WriteFile(path, value, fileMode); err != nil {
		return fmt.Errorf("write value %s: %w", key, err)
	}
	return nil
}
