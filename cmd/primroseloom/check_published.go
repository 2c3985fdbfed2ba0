package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/config/routing/review"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/platform"
)

// bytesPerMegabyte converts machine.memory_mb.
const bytesPerMegabyte = 1_000_000

// publishedOptions are the flags of a check of published routes.
type publishedOptions struct {
	// file holds the version to check, against the one in force; against may be empty.
	file, against string
	// targets and capacity state the number of targets, and requests a second, by service.
	targets, capacity map[string]int
}

// publishedResult is the machine-readable result for published routes.
type publishedResult struct {
	File string `json:"file"`
	// OK is true when there are no errors; there may be warnings.
	OK bool `json:"ok"`
	review.Report
}

func addPublishedFlags(command *cobra.Command, options *publishedOptions) {
	flags := command.Flags()
	flags.StringVar(&options.file, "published", "", "check the routes in the form in which the platform publishes them")
	flags.StringVar(&options.against, "against", "", "with --published: the version in force, to print what differs")
	flags.StringToIntVar(&options.targets, "targets", nil, "with --published: number of targets, SERVICE=COUNT,...")
	flags.StringToIntVar(&options.capacity, "capacity", nil, "with --published: requests a second that a service can serve, SERVICE=RATE,...")
}

// validate checks the flags against one another and against the files that are named beside
// them.
func (o *publishedOptions) validate(files []string, asSettings bool) error {
	switch {
	case o.file == "" && (o.against != "" || len(o.targets) > 0 || len(o.capacity) > 0):
		return errors.New("--against, --targets and --capacity need --published")
	case o.file == "" && len(files) == 0:
		return errors.New("requires a FILE argument or --published")
	case o.file != "" && asSettings && len(files) != 1:
		return errors.New("--published with --settings takes exactly one settings file")
	case o.file != "" && !asSettings && len(files) > 0:
		return fmt.Errorf("unexpected argument %s: settings need --settings", files[0])
	}
	return nil
}

// checkPublished checks published routes; settingsFiles is empty or holds the settings of a
// VM.
func checkPublished(command *cobra.Command, options *publishedOptions, settingsFiles []string, asJSON bool) error {
	result, err := reviewPublished(options, settingsFiles)
	if err != nil {
		return err
	}
	if asJSON {
		err = writeJSON(command.OutOrStdout(), result)
	} else {
		err = writePublishedResult(command.OutOrStdout(), result)
	}
	if err != nil {
		return err
	}
	if !result.OK {
		return exit.Failuref("%s did not pass the check", options.file)
	}
	return nil
}

func reviewPublished(options *publishedOptions, settingsFiles []string) (publishedResult, error) {
	result := publishedResult{File: options.file}
	content, err := os.ReadFile(options.file)
	if err != nil {
		return result, fmt.Errorf("read %s: %w", options.file, err)
	}
	input := review.Input{Targets: options.targets, Capacity: options.capacity}
	if input.InForce, err = readInForce(options.against); err != nil {
		return result, err
	}
	var findings []review.Finding
	if len(settingsFiles) > 0 {
		if input.Settings, findings, err = readReviewSettings(settingsFiles[0]); err != nil {
			return result, err
		}
	}
	document, problems := platform.DecodeRoutes(content)
	severity := review.SeverityWarning
	result.Report = review.Report{Findings: []review.Finding{}, Changes: []review.Change{}, Bounds: []string{}}
	if document == nil {
		severity = review.SeverityError
	} else {
		input.Document = *document
		result.Report = review.Review(input)
	}
	for _, problem := range problems {
		findings = append(findings, review.Finding{Severity: severity, Kind: review.KindInvalid, Path: problem.Path, Reason: problem.Reason})
	}
	result.Findings = append(findings, result.Findings...)
	result.OK = !result.HasErrors()
	return result, nil
}

// readInForce reads the version in force; it is nil when no file is named.
func readInForce(file string) (*routing.Document, error) {
	if file == "" {
		return nil, nil
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	document, problems := platform.DecodeRoutes(content)
	if document == nil {
		return nil, fmt.Errorf("decode %s: %s: %s", file, problems[0].Path, problems[0].Reason)
	}
	return document, nil
}

// readReviewSettings reads the settings of a VM of `primroseloomd front`. Invalid ones are
// findings.
func readReviewSettings(file string) (*review.Settings, []review.Finding, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("read %s: %w", file, err)
	}
	set, err := settings.ParseFrontend(content)
	var problems settings.Problems
	if errors.As(err, &problems) {
		var findings []review.Finding
		for _, problem := range problems {
			findings = append(findings, review.Finding{
				Severity: review.SeverityError, Kind: review.KindInvalid, Path: "settings." + problem.Path,
				Reason: fmt.Sprintf("value %s: %s", problem.Value, problem.Allowed),
			})
		}
		return nil, findings, nil
	}
	if err != nil {
		return nil, nil, fmt.Errorf("read %s: %w", file, err)
	}
	return convertSettings(set), nil, nil
}

func convertSettings(set settings.Frontend) *review.Settings {
	return &review.Settings{
		MemoryBytes:    int64(set.Machine.MemoryMB * bytesPerMegabyte),
		RevokedWithin:  set.Keys.RevokedWithin.Std(),
		QuotaWindow:    set.Quotas.Window.Std(),
		QuotaOverrun:   set.Quotas.Overrun,
		QuotaSlack:     set.Quotas.Slack,
		RetryRatio:     set.Retries.Ratio,
		RetryAllowance: set.Retries.Allowance,
		HedgingRatio:   set.Hedging.Ratio,
	}
}

func writePublishedResult(out io.Writer, result publishedResult) error {
	var lines []string
	for _, finding := range result.Findings {
		lines = append(lines, finding.String())
	}
	if len(result.Findings) == 0 {
		lines = append(lines, "ok")
	}
	for _, change := range result.Changes {
		lines = append(lines, "change: "+change.String())
	}
	for _, bound := range result.Bounds {
		lines = append(lines, "bound: "+bound)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintf(out, "%s: %s\n", result.File, line); err != nil {
			return err
		}
	}
	return nil
}
