package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/config/check"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/operator/exit"
)

// fileResult is the machine-readable result for one file.
type fileResult struct {
	File     string          `json:"file"`
	OK       bool            `json:"ok"`
	Problems []check.Problem `json:"problems"`
	// Warnings do not make the check fail.
	Warnings []check.Problem `json:"warnings,omitempty"`
}

func newCheck() *cobra.Command {
	var asJSON, asSettings bool
	var published publishedOptions
	command := &cobra.Command{
		Use:   "check FILE... | check --published FILE [--against FILE] [--settings FILE]",
		Short: "Check deployments, published routes or VM settings before they are published",
		Long: "Check deployments (services, routes, templates and customers), or with\n--settings the settings of VMs. All problems are reported at once; exits with 1 if there are any.\n\n" +
			"With --published, check routes in the platform's form; --against prints what\ndiffers from the version in force, and --settings names the settings of a VM of\n`primroseloomd front`. Exits with 1 if there are errors; warnings do not count.",
		Example: "  primroseloom check deployment.json\n" +
			"  primroseloom check --settings vm-1.json vm-2.json --json\n" +
			"  primroseloom check --published new.json\n" +
			"  primroseloom check --published new.json --against in-force.json --settings vm-1.json\n" +
			"  primroseloom check --published new.json --targets berth=190,manifest=20 --capacity berth=900,manifest=90",
		RunE: func(command *cobra.Command, files []string) error {
			if err := published.validate(files, asSettings); err != nil {
				return err
			}
			if published.file != "" {
				return checkPublished(command, &published, files, asJSON)
			}
			failed := 0
			for _, file := range files {
				result, err := checkFile(file, asSettings)
				if err != nil {
					return err
				}
				if !result.OK {
					failed++
				}
				if err := writeFileResult(command, result, asJSON); err != nil {
					return err
				}
			}
			if failed > 0 {
				return exit.Failuref("%d of %d files did not pass the check", failed, len(files))
			}
			return nil
		},
	}
	command.Flags().BoolVar(&asJSON, "json", false, "print one line of JSON per file")
	command.Flags().BoolVar(&asSettings, "settings", false, "the files are VM settings")
	addPublishedFlags(command, &published)
	return command
}

func checkFile(file string, asSettings bool) (fileResult, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return fileResult{}, fmt.Errorf("read %s: %w", file, err)
	}
	result := fileResult{File: file, Problems: []check.Problem{}}
	if asSettings {
		result.Problems = append(result.Problems, settingsProblems(content)...)
	} else {
		deployment, problems := check.Parse(content)
		result.Problems = append(result.Problems, problems...)
		if len(problems) == 0 {
			result.Warnings = check.Warnings(deployment)
		}
	}
	result.OK = len(result.Problems) == 0
	return result, nil
}

// settingsProblems returns the problems found in a settings file.
func settingsProblems(content []byte) []check.Problem {
	_, err := settings.Parse(content)
	if err == nil {
		return nil
	}
	problems, ok := err.(settings.Problems)
	if !ok {
		return []check.Problem{{Path: "", Value: "", Allowed: err.Error()}}
	}
	return problems
}

func writeFileResult(command *cobra.Command, result fileResult, asJSON bool) error {
	out := command.OutOrStdout()
	if asJSON {
		return writeJSON(out, result)
	}
	if result.OK {
		if _, err := fmt.Fprintf(out, "%s: ok\n", result.File); err != nil {
			return err
		}
	}
	for _, warning := range result.Warnings {
		if _, err := fmt.Fprintf(out, "%s: warning: %v\n", result.File, warning); err != nil {
			return err
		}
	}
	for _, problem := range result.Problems {
		if _, err := fmt.Fprintf(out, "%s: %v\n", result.File, problem); err != nil {
			return err
		}
	}
	return nil
}
