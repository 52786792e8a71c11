// Command hoist-agent runs the control plane of one VM.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/internal/agent"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/engines"
	"github.com/hornbeamhoist/hornbeamhoist/internal/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/platform"
	"github.com/hornbeamhoist/hornbeamhoist/internal/settings"
	keeperrules "github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

const (
	// gcPercent lets the heap grow to five times its live size between collections. The
	// live heap is only a few megabytes, and at the default value garbage collection took a
	// sixth of the CPU time.
	gcPercent = 400
	// memoryLimitBytes makes collections more frequent well below the agent's limit of 128 MB.
	memoryLimitBytes = 96 << 20
)

func main() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := settings.Command("hoist-agent", "run the control plane of one VM", settings.DefaultAgent(), run)
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hoist-agent:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, config settings.Agent) error {
	logger, err := obs.NewLogger("hoist-agent", config.VM, obs.WithZone(config.Zone), obs.WithLevel(config.LogLevel))
	if err != nil {
		return err
	}
	key, err := peer.LoadKey(config.KeyFile)
	if err != nil {
		return err
	}
	if key == nil {
		logger.Warn("no key_file is set: only loopback peers are accepted, and they are not authenticated")
	}
	registry := prometheus.NewRegistry()
	transport := peer.Transport{Key: key, Metrics: peer.NewMetrics(registry), SourceIP: peer.SourceIPFor(config.Listen)}
	keepers := keeper.New(keeper.Options{
		Member: keeperrules.Options{
			VM: config.VM, Incarnation: uint64(time.Now().UnixNano()), StartedAt: bootclock.Now(),
			ClaimRetention: config.ClaimRetention, MaxLeaseDuration: keeperrules.DefaultLeaseDuration, LeaseGrace: config.LeaseGrace,
			BootstrapWait: config.BootstrapWait, MaxRecords: config.MaxClaims,
		},
		Now: bootclock.Now, Transport: transport, Registry: registry, Logger: logger,
	})
	a := agent.New(agent.Options{
		Settings:    config,
		Incarnation: membership.NewIncarnation(uint64(time.Now().UnixMilli())),
		Seed:        rand.Uint64(),
		Platform:    platform.NewClient(config.Platform),
		Transport:   transport,
		Registry:    registry,
		Logger:      logger,
	}, agent.WithService(keepers.Register), agent.WithListCallback(keepers.ApplyList))
	go keepers.Run(ctx)
	go engines.NewLoop(config.VM, a.AgentState, logger).Run(ctx)
	return a.Run(ctx)
}
