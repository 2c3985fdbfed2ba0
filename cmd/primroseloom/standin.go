package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/primroseloom/primroseloom/standin/platform"
	"github.com/primroseloom/primroseloom/standin/publisher"
	"github.com/primroseloom/primroseloom/standin/target"
)

func newStandin() *cobra.Command {
	command := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in of the platform or of targets",
		Example: "  primroseloom standin platform --help\n  primroseloom standin target --help",
		Args:    cobra.NoArgs,
		RunE:    func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(newStandinPlatform(), newStandinTarget())
	return command
}

func newStandinPlatform() *cobra.Command {
	var file, control string
	var listen []string
	command := &cobra.Command{
		Use:   "platform --listen IP:PORT --deployment FILE",
		Short: "Serve a deployment for reading and watching",
		Long:  "Serve a deployment for reading and watching. The file is published again, as\nthe next generation, whenever it changes; a deployment that does not pass check\nis not published.",
		Example: "  primroseloom standin platform --listen 127.0.0.1:7000 --deployment deployment.json\n" +
			"  primroseloom standin platform --listen 127.0.0.1:7000,127.0.0.1:7001 --control 127.0.0.1:7002 --deployment deployment.json\n" +
			"  curl -X PUT 'http://127.0.0.1:7002/faults?replica=1' -d '{\"frozen\":true}'",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := untilSignal(command.Context())
			defer stop()
			store := platform.NewReplicated(len(listen))
			go publisher.New(store, file, command.ErrOrStderr()).Run(ctx)
			return servePlatform(ctx, store, listen, control)
		},
	}
	command.Flags().StringSliceVar(&listen, "listen", nil, "address of one replica; may be repeated")
	command.Flags().StringVar(&control, "control", "", "address of the control interface: faults, the VM list and the count of calls")
	command.Flags().StringVar(&file, "deployment", "", "deployment file to publish")
	_ = command.MarkFlagRequired("listen")
	_ = command.MarkFlagRequired("deployment")
	return command
}

// servePlatform serves each replica and the control address until one ends.
func servePlatform(ctx context.Context, store *platform.Platform, listen []string, control string) error {
	group, ctx := errgroup.WithContext(ctx)
	for i, address := range listen {
		group.Go(func() error { return listenAndServe(ctx, address, store.Replica(i).Handler()) })
	}
	if control != "" {
		group.Go(func() error { return listenAndServe(ctx, control, store.ControlHandler()) })
	}
	return group.Wait()
}

func newStandinTarget() *cobra.Command {
	var listen []string
	var name, control string
	var options target.Options
	var serviceTime time.Duration
	command := &cobra.Command{
		Use:   "target --listen IP:PORT...",
		Short: "Run stand-ins of targets, with faults on demand",
		Long:  "Run one stand-in of a target for each address. Faults are read and set with GET\nand PUT of /faults on the control address; see docs/STANDINS.md.",
		Example: "  primroseloom standin target --listen 127.0.0.1:7101 --listen 127.0.0.1:7102 --control 127.0.0.1:7100\n" +
			"  curl -X PUT 'http://127.0.0.1:7100/faults?target=target-1' -d '{\"slow_factor\":10}'",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := untilSignal(command.Context())
			defer stop()
			options.ServiceTime = func() time.Duration { return serviceTime }
			group := target.NewGroup()
			for i, address := range listen {
				targetOptions := options
				targetOptions.Name = fmt.Sprintf("%s-%d", name, i+1)
				if err := group.Start(ctx, targetOptions, address); err != nil {
					return err
				}
			}
			if control == "" {
				<-ctx.Done()
				return nil
			}
			return listenAndServe(ctx, control, group.Handler())
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&listen, "listen", nil, "address of one target; may be repeated")
	flags.StringVar(&control, "control", "", "address of the control interface: faults and records")
	flags.StringVar(&name, "name", "target", "prefix of the targets' names")
	flags.IntVar(&options.Slots, "slots", 3, "number of requests that a target runs concurrently")
	flags.IntVar(&options.Queue, "queue", 3, "requests that may wait at a target")
	flags.IntVar(&options.MaxConnections, "max-connections", 330, "connections a target accepts")
	flags.DurationVar(&serviceTime, "service-time", 5*time.Millisecond, "service time of a request")
	flags.DurationVar(&options.ColdFor, "cold-for", 0, "time after the start during which a target is slow")
	flags.Float64Var(&options.ColdFactor, "cold-factor", 1, "factor on the service time of a cold target")
	_ = command.MarkFlagRequired("listen")
	return command
}

// untilSignal returns a context that SIGTERM or SIGINT cancels.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

// listenAndServe serves a handler until the context ends.
func listenAndServe(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); ctx.Err() == nil {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return nil
}
