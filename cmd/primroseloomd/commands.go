package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/entry/daemon"
	"github.com/primroseloom/primroseloom/entry/frontend"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/signals"
	"github.com/primroseloom/primroseloom/operator/exit"
)

// signalsDuringStop describes the signals during a planned stop, for the help texts.
const signalsDuringStop = "A signal during the stop changes nothing, except that a second SIGINT (Ctrl-C) without a\nSIGTERM ends the daemon at once."

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "primroseloomd",
		Short:         "The primroseloom daemon of one entry VM",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newFront(), newCheck(), newVersion())
	return root
}

func newServe() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Serve callers until a signal stops the daemon",
		Long:    "Serve callers until a signal stops the daemon.\n\nSIGTERM or SIGINT begins a planned stop, which finishes every request in progress.\n" + signalsDuringStop,
		Example: "  primroseloomd serve --settings vm-1.json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			received := signals.Register()
			vmSettings, err := readSettings(file)
			if err != nil {
				return err
			}
			return serve(command.Context(), vmSettings, received)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of this VM (JSON)")
	_ = command.MarkFlagRequired("settings")
	return command
}

func newCheck() *cobra.Command {
	var file string
	var asJSON bool
	command := &cobra.Command{
		Use:     "check --settings FILE",
		Short:   "Check a settings file without serving",
		Example: "  primroseloomd check --settings vm-1.json\n  primroseloomd check --settings vm-1.json --json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := readSettings(file)
			return reportCheck(command.OutOrStdout(), file, asJSON, err)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file to check (JSON)")
	command.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	_ = command.MarkFlagRequired("settings")
	return command
}

// checkResult is the machine-readable result of check.
type checkResult struct {
	File   string            `json:"file"`
	OK     bool              `json:"ok"`
	Faults settings.Problems `json:"faults"`
}

func reportCheck(out io.Writer, file string, asJSON bool, err error) error {
	if asJSON {
		result := checkResult{File: file, OK: err == nil, Faults: settings.Problems{}}
		errors.As(err, &result.Faults)
		if encodeErr := json.NewEncoder(out).Encode(result); encodeErr != nil {
			return encodeErr
		}
		return err
	}
	if err == nil {
		_, _ = fmt.Fprintf(out, "%s: ok\n", file)
	}
	return err
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			_, _ = fmt.Fprintln(command.OutOrStdout(), "primroseloomd", version())
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

func readSettings(file string) (settings.Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	vmSettings, err := settings.Parse(content)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("settings %s:\n%w", file, err)
	}
	return vmSettings, nil
}

// serve runs the instance until a signal ends it.
func serve(ctx context.Context, vmSettings settings.Settings, received *signals.Handler) error {
	level, err := log.ParseLevel(vmSettings.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	registry := metrics.New()
	logger, stopLog := startLog(ctx, os.Stderr, level, registry)
	defer stopLog()
	frontend.LimitMemory(settings.Machine{MemoryMB: vmSettings.Limits.MemoryMB})
	sockets, callers := network.OS{}, network.OS{}
	if vmSettings.Limits.MemoryMB > 0 {
		sockets, callers = sockets.WithBuffers(network.TargetsBuffers), callers.WithBuffers(network.CallersBuffers)
	}
	instance, err := daemon.New(daemon.Options{Settings: vmSettings, Network: sockets, Callers: callers, Logger: logger, Metrics: registry})
	if err != nil {
		return err
	}
	ctx = received.StopContext(ctx, logger)
	if err := instance.Run(ctx); err != nil {
		return exit.Failuref("serve: %w", err)
	}
	return nil
}
