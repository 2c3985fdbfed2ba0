package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/entry/frontend"
	"github.com/primroseloom/primroseloom/entry/logsink"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/entry/signals"
	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/platform"
)

func newFront() *cobra.Command {
	var file, variable string
	command := &cobra.Command{
		Use:   "front",
		Short: "Serve callers with the routes and targets that a store publishes",
		Long: "Serve callers with the routes and targets that a store publishes, until a signal\nstops the daemon.\n\n" +
			"SIGTERM or SIGINT begins a planned stop, SIGHUP reads the settings file again.\n" +
			signalsDuringStop,
		Example: "  primroseloomd front --settings vm-1.json\n  primroseloomd front --settings-variable PRIMROSELOOM_NODE_FILE",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if variable != "" {
				file = os.Getenv(variable)
			}
			received := signals.RegisterWithReloads()
			vmSettings, err := frontend.ReadSettings(file)
			if err != nil {
				return err
			}
			return front(command.Context(), file, vmSettings, received)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of this VM (JSON)")
	command.Flags().StringVar(&variable, "settings-variable", "", "environment variable that holds the path of the settings file")
	command.MarkFlagsOneRequired("settings", "settings-variable")
	command.MarkFlagsMutuallyExclusive("settings", "settings-variable")
	return command
}

// front runs the instance until a signal ends it.
func front(ctx context.Context, file string, vmSettings settings.Frontend, received *signals.Handler) error {
	level, err := log.ParseLevel(vmSettings.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	registry := metrics.New()
	logger, stopLog := startLog(ctx, os.Stdout, level, registry)
	defer stopLog()
	packets, err := net.ListenPacket("udp4", vmSettings.Listen.Evidence)
	if err != nil {
		return fmt.Errorf("listen for evidence on %s: %w", vmSettings.Listen.Evidence, err)
	}
	frontend.LimitMemory(vmSettings.Machine)
	sockets := network.OS{Source: net.ParseIP(vmSettings.SourceAddress)}
	callers, targets := sockets, sockets.With(network.Targets)
	if vmSettings.Machine.MemoryMB > 0 {
		callers, targets = callers.WithBuffers(network.CallersBuffers), targets.WithBuffers(network.TargetsBuffers)
	}
	instance, err := frontend.New(frontend.Options{
		Settings: vmSettings,
		Adapter: frontend.Adapter{
			Store:     platform.NewStore(vmSettings.Store, sockets.With(network.Store).DialContext),
			Decoder:   platform.Decoder{},
			Dialect:   platform.Headers{},
			Directory: platform.DirectoryPages{},
		},
		Network: callers,
		Targets: targets,
		VMs:     sockets.With(network.VMs),
		Packets: packets,
		Logger:  logger,
		Metrics: registry,
	})
	if err != nil {
		return err
	}
	ctx = received.StopContext(ctx, logger)
	go instance.FollowSettings(ctx, file, received.Reloads())
	if err := instance.Run(ctx); err != nil {
		return exit.Failuref("front: %w", err)
	}
	return nil
}

// startLog returns a logger that never blocks and writes a bounded number of lines, whatever callers do. The
// returned function writes what is left.
func startLog(ctx context.Context, out io.Writer, level log.Level, registry *metrics.Metrics) (logger *log.Logger, stop func()) {
	sink := logsink.New(out, logsink.DefaultLimits(), func() { registry.Scope().Counter("log_lines_dropped").Inc(1) })
	logger = newLogger(sink, level)
	logsink.CaptureStandardLog(logger)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		sink.Run(ctx)
	}()
	return logger, func() {
		cancel()
		<-done
	}
}

func newLogger(out io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(out, log.Options{Level: level, ReportTimestamp: true, Formatter: log.LogfmtFormatter})
}
