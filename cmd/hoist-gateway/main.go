// Command hoist-gateway serves callers' requests through pipelines of stages.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/claim"
	"github.com/hornbeamhoist/hornbeamhoist/internal/gateway"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/internal/settings"
	"github.com/hornbeamhoist/hornbeamhoist/internal/upstream"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := settings.Command("hoist-gateway", "serve callers' requests through pipelines of stages", settings.DefaultGateway(), run)
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hoist-gateway:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, config settings.Gateway) error {
	logger, err := obs.NewLogger("hoist-gateway", config.VM, obs.WithZone(config.Zone), obs.WithLevel(config.LogLevel))
	if err != nil {
		return err
	}
	key, err := peer.LoadKey(config.KeyFile)
	if err != nil {
		return err
	}
	transport := peer.Transport{Key: key, SourceIP: peer.SourceIPFor(config.PeerListen)}
	conn, err := transport.Dial(config.Agent)
	if err != nil {
		return err
	}
	defer conn.Close()
	agent := hoistv1.NewAgentClient(conn)
	peerListener, err := transport.Listen(config.PeerListen)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	claims := claim.New(claim.Options{
		VM: config.VM, Incarnation: uint64(time.Now().UnixNano()), Seed: rand.Uint64(), Now: bootclock.Now,
		Transport: transport, Registry: registry, Logger: logger,
		ClaimRetention: config.ClaimRetention, LeaseDuration: keeper.DefaultLeaseDuration,
		ResultTTL: config.ResultTTL, MaxResultBytes: config.MaxResultBytes,
	})
	defer claims.Close()
	peerServer := grpc.NewServer(transport.ServerOptions()...)
	defer peerServer.Stop()
	claims.Register(peerServer)
	upstreamOptions := upstream.DefaultOptions()
	upstreamOptions.MaxResponseMemory = gateway.MemoryShare()
	g := gateway.New(gateway.Options{
		VM: config.VM, Zone: config.Zone, Seed: xxhash.Sum64String(config.VM), Now: bootclock.Now, Logger: logger,
		UpstreamOptions: upstreamOptions, BalancerDelay: config.BalancerDelay,
		Claimer: claims, Leaser: claims, OnVMList: claims.ApplyList, Registry: registry,
	})
	loopCtx, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	go g.Follow(loopCtx, agent, func(address string) (hoistv1.AgentClient, func(), error) {
		conn, err := transport.Dial(address)
		if err != nil {
			return nil, nil, err
		}
		return hoistv1.NewAgentClient(conn), func() { _ = conn.Close() }, nil
	})
	go g.Run(loopCtx, agent)
	server := g.NewServer(gateway.Limits{
		MaxBodyBytes: config.MaxBodyBytes, MaxConnections: config.MaxConnections,
		ReadTimeout: config.ReadTimeout, WriteTimeout: config.WriteTimeout,
	})
	callerListener, err := net.Listen("tcp4", config.Listen)
	if err != nil {
		return err
	}
	callers := gateway.NewGuard(bootclock.Now, config.MaxConnections)
	registry.MustRegister(callers)
	go callers.Run(loopCtx)
	adminListener, err := net.Listen("tcp", config.AdminListen)
	if err != nil {
		return err
	}
	serveErrors := make(chan error, 3)
	go func() { serveErrors <- peerServer.Serve(peerListener) }()
	go func() { serveErrors <- g.ServeAdmin(loopCtx, adminListener) }()
	go func() { serveErrors <- server.Serve(callers.Listener(callerListener)) }()
	select {
	case err := <-serveErrors:
		return err
	case <-ctx.Done():
		return g.Stop(server)
	}
}
