// Package agent runs the control plane of one VM. It connects the core in pkg/control with the
// platform, the peers and the gateway.
package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/control"
)

// tickInterval is the time between two ticks of the core.
const tickInterval = 100 * time.Millisecond

// Agent is the control plane of one VM.
type Agent struct {
	hoistv1.UnimplementedAgentServer

	options              Options
	logger               *zap.Logger
	pool                 *peer.Pool
	client               *peer.Client
	metrics              *metrics
	serviceRegistrations []func(grpc.ServiceRegistrar)
	listCallbacks        []ListFunc

	// ctx is cancelled when Run returns, which cancels pending calls.
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	core *control.Core
	// stateVersion counts changes of the tables, the VM list and the members, reportsVersion
	// those of warmth and suspects. On each change, changed is closed and replaced.
	stateVersion   uint64
	reportsVersion uint64
	changed        chan struct{}
	// pendingProbes holds the response channels of peers' probes that await a response.
	pendingProbes map[probeKey]chan control.Ack

	listMu       sync.Mutex
	listRevision uint64

	poolsCache poolsCache
}

// New returns an agent that is started by Run.
func New(options Options, extra ...Option) *Agent {
	pool := peer.NewPool(options.Transport)
	ctx, cancel := context.WithCancel(context.Background())
	a := &Agent{
		options: options,
		logger:  options.Logger,
		pool:    pool,
		client:  peer.NewClient(options.Settings.VM, pool),
		ctx:     ctx,
		cancel:  cancel,
		core: control.New(bootclock.Now(), control.Options{
			Self:        options.Settings.VM,
			Zone:        options.Settings.Zone,
			Address:     options.Settings.Listen,
			Incarnation: options.Incarnation,
			Seed:        options.Seed,
			Configuration: configuration.Options{
				StartupWait:      options.Settings.StartupWait,
				PollInterval:     options.Settings.OwnReadInterval,
				UnconfirmedAfter: options.Settings.UnconfirmedAfter,
			},
		}),
		changed:       make(chan struct{}),
		pendingProbes: map[probeKey]chan control.Ack{},
	}
	a.metrics = newMetrics(options.Registry, a)
	for _, option := range extra {
		option(a)
	}
	return a
}

// Run serves peers, the gateway and operators until ctx is done. It returns an error if it
// cannot listen on an address or a server fails.
func (a *Agent) Run(ctx context.Context) error {
	defer a.pool.Close()
	defer a.cancel()
	listener, err := a.options.Transport.Listen(a.options.Settings.Listen)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", a.options.Settings.AdminListen)
	if err != nil {
		_ = listener.Close()
		return errors.Wrap(err, "listen on the admin address")
	}
	server := a.newGRPCServer()
	admin := a.newAdminServer()
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- server.Serve(listener) }()
	go func() { serveErrors <- admin.Serve(adminListener) }()
	defer func() {
		a.cancel()
		server.Stop()
		_ = admin.Shutdown()
	}()
	return a.runEventLoop(ctx, serveErrors)
}

func (a *Agent) newGRPCServer() *grpc.Server {
	server := grpc.NewServer(a.options.Transport.ServerOptions()...)
	hoistv1.RegisterAgentServer(server, a)
	hoistv1.RegisterPeerServer(server, peer.NewServer(a.options.Settings.VM, &handler{a}))
	for _, register := range a.serviceRegistrations {
		register(server)
	}
	return server
}

func (a *Agent) newAdminServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: a.handleAdmin, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, ReadBufferSize: adminBufferBytes, WriteBufferSize: adminBufferBytes,
	}
}

func (a *Agent) runEventLoop(ctx context.Context, serveErrors <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.handleEvent(a.core.Tick)
		case err := <-serveErrors:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// handleEvent passes an event to the core and executes the resulting actions.
func (a *Agent) handleEvent(event func(now clock.Instant) []control.Action) {
	a.mu.Lock()
	actions := event(bootclock.Now())
	a.recordChanges(actions)
	a.mu.Unlock()
	for _, action := range actions {
		a.execute(action)
	}
}

// recordChanges wakes up the snapshot streams if the actions report changes. The caller must
// hold mu.
func (a *Agent) recordChanges(actions []control.Action) {
	anyChange := false
	for _, action := range actions {
		changed, ok := action.(control.Changed)
		if !ok {
			continue
		}
		anyChange = true
		if changed.Change&^control.ChangedReports != 0 {
			a.stateVersion++
		} else {
			a.reportsVersion++
		}
	}
	if anyChange {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}
