// Command hoist-edge serves callers on one VM of the operators' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/edge"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name: "hoist-edge", Usage: "serve callers on one VM of the operators' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the platform (JSON)", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.StringFlag{Name: "log-level", Usage: "lowest log level that is written: debug, info, warn or error", Value: obs.DefaultLevel},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hoist-edge:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, command *cli.Command) error {
	settings, err := platform.LoadSettings(command.String("settings"))
	if err != nil || command.Bool("check") {
		return err
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	registry := obs.NewRegistry()
	dropped := obs.NewDropCounter(registry)
	out := obs.NewAsyncWriter(os.Stdout, dropped)
	options := []obs.LogOption{
		obs.WithZone(settings.Zone), obs.WithLevel(command.String("log-level")), obs.WithOutput(out), obs.WithDropCounter(dropped),
	}
	logger, err := obs.NewLogger("hoist-edge", settings.VM, options...)
	if err != nil {
		return err
	}
	defer func() { _ = out.Sync() }() // Sync of an AsyncWriter never fails.
	failures, err := obs.NewLogger("hoist-edge", settings.VM, append(options, obs.WithoutSampling())...)
	if err != nil {
		return err
	}
	client := outbound.NewClient(settings.IP)
	server, err := edge.New(edge.Options{
		Settings: settings, Source: platform.NewStore(settings.Store, client), Decode: platform.Decode, Dialect: platform.Dialect{},
		Client: client, Now: bootclock.Now, Logger: logger, Failures: failures, Registry: registry,
	})
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go checkSettingsOnReload(hangups, command.String("settings"), logger)
	return server.Run(ctx)
}

// checkSettingsOnReload validates the settings file on each SIGHUP. Changed settings take
// effect only at the next start.
func checkSettingsOnReload(hangups <-chan os.Signal, path string, logger *zap.Logger) {
	for range hangups {
		_, err := platform.LoadSettings(path)
		logger.Info("settings file changed; it takes effect at the next start", obs.ErrorField(err))
	}
}
