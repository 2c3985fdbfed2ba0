package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/entry/frontend"
	"github.com/primroseloom/primroseloom/entry/logsink"
	"github.com/primroseloom/primroseloom/entry/metrics"
	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/entry/settings"
	"github.com/primroseloom/primroseloom/operator/exit"
	"github.com/primroseloom/primroseloom/platform"
)

func newFront() *cobra.Command {
	var file, variable string
	command := &cobra.Command{
		Use:   "front",
		Short: "Serve callers by the routes and targets that a store publishes",
		Long: "Serve callers by the routes and targets that a store publishes, until told to stop.\n\n" +
			"SIGTERM or SIGINT begins a planned stop, SIGHUP reads the settings file again.",
		Example: "  primroseloomd front --settings vm-1.json\n  primroseloomd front --settings-variable PRIMROSELOOM_NODE_FILE",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if variable != "" {
				file = os.Getenv(variable)
			}
			set, err := frontend.ReadSettings(file)
			if err != nil {
				return err
			}
			return front(command.Context(), file, set)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file of this VM (JSON)")
	command.Flags().StringVar(&variable, "settings-variable", "", "environment variable that holds the path of the settings file")
	command.MarkFlagsOneRequired("settings", "settings-variable")
	command.MarkFlagsMutuallyExclusive("settings", "settings-variable")
	return command
}

// front runs the instance until a signal stops it; a second one ends the
// process at once.
func front(ctx context.Context, file string, set settings.Frontend) error {
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	measured := metrics.New()
	sink := logsink.New(os.Stdout, logsink.DefaultLimits(), func() { measured.Scope().Counter("log_lines_dropped").Inc(1) })
	logger := newLogger(sink, level)
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		sink.Run(logging)
	}()
	defer func() {
		stopLogging()
		<-logged
	}()
	packets, err := net.ListenPacket("udp4", set.Listen.Evidence)
	if err != nil {
		return fmt.Errorf("listen for evidence on %s: %w", set.Listen.Evidence, err)
	}
	sockets := network.OS{}
	instance, err := frontend.New(frontend.Options{
		Settings: set,
		Adapter: frontend.Adapter{
			Store:   platform.NewStore(set.Store, sockets.DialContext),
			Decoder: platform.Decoder{},
			Dialect: platform.Headers{},
			Pages:   platform.DirectoryPages{},
		},
		Network: sockets,
		Packets: packets,
		Logger:  logger,
		Metrics: measured,
	})
	if err != nil {
		return err
	}
	ctx = untilSignal(ctx)
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	go instance.FollowSettings(ctx, file, hangUps)
	if err := instance.Run(ctx); err != nil {
		return exit.FellShort("front: %w", err)
	}
	return nil
}

func newLogger(out io.Writer, level log.Level) *log.Logger {
	return log.NewWithOptions(out, log.Options{Level: level, ReportTimestamp: true, Formatter: log.LogfmtFormatter})
}
