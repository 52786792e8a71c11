// Command hoist-edge serves callers on one VM of the operators' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/edge"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/platform"
)

// settingsCheckInterval is the time between two checks of the settings file, which the platform may
// change without a signal.
const settingsCheckInterval = time.Second

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
	// Without a handler, a SIGHUP would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	file, settings, err := platform.OpenSettings(command.String("settings"))
	if err != nil || command.Bool("check") {
		return err
	}
	setMemoryLimit(&settings)
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
		Settings: settings, Source: platform.NewStore(settings.Store, client), Decode: platform.NewDecoder().Decode, Dialect: platform.Dialect{},
		Client: client, Now: bootclock.Now, Logger: logger, Failures: failures, Registry: registry,
	})
	if err != nil {
		return err
	}
	go (&reloader{file: file, server: server, logger: logger}).run(ctx, hangups)
	return server.Run(ctx)
}

// reloader applies changes of the settings file.
type reloader struct {
	file   *platform.SettingsFile
	server *edge.Server
	logger *zap.Logger
}

// run checks the settings file regularly and on each SIGHUP until the context ends.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			if !r.check() {
				r.logger.Info("SIGHUP without a change of the settings file since the last check")
			}
		case <-ticker.C:
			r.check()
		}
	}
}

// check applies the settings file if it changed, and reports whether it did.
func (r *reloader) check() bool {
	next, changed, err := r.file.Check()
	if err == nil && !changed {
		return false
	}
	if err != nil {
		r.logger.Error("settings file ignored", obs.ErrorField(err))
		return true
	}
	settings, err := r.server.Reload(next)
	if err != nil {
		r.logger.Error("settings file ignored", obs.ErrorField(err))
		return true
	}
	setMemoryLimit(&settings)
	return true
}

// setMemoryLimit derives the limit of the Go runtime from the memory of the VM, if that is known.
func setMemoryLimit(settings *edge.Settings) {
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}
