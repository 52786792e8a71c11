// Package agent runs the control path of one VM: it connects the decisions of
// pkg/control with the platform, the peers and the gateway.
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

// tickInterval is the time between two ticks of the decisions.
const tickInterval = 100 * time.Millisecond

// Agent is the control path of one VM.
type Agent struct {
	hoistv1.UnimplementedAgentServer

	options     Options
	logger      *zap.Logger
	pool        *peer.Pool
	client      *peer.Client
	metrics     *metrics
	services    []func(grpc.ServiceRegistrar)
	listChanged []ListFunc

	// ctx ends with Run; calls under way end with it.
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	core *control.Core
	// urgent counts changes of tables, list and members, evidence those of warmth and
	// suspects; changed is closed and replaced at each.
	urgent   uint64
	evidence uint64
	changed  chan struct{}
	// pending holds the probes of peers that wait for an answer.
	pending map[pendingKey]chan control.Ack

	listMu       sync.Mutex
	listRevision uint64

	poolsCache poolsCache
}

// New returns an agent that does nothing until Run.
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
		changed: make(chan struct{}),
		pending: map[pendingKey]chan control.Ack{},
	}
	a.metrics = newMetrics(options.Registry, a)
	for _, option := range extra {
		option(a)
	}
	return a
}

// Run serves peers, the gateway and operators until ctx ends. It fails if an address
// cannot be opened.
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
		return errors.Wrap(err, "listen for operators")
	}
	server := a.newServer()
	admin := a.newAdmin()
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(listener) }()
	go func() { failed <- admin.Serve(adminListener) }()
	defer func() {
		a.cancel()
		server.Stop()
		_ = admin.Shutdown()
	}()
	return a.loop(ctx, failed)
}

func (a *Agent) newServer() *grpc.Server {
	server := grpc.NewServer(a.options.Transport.ServerOptions()...)
	hoistv1.RegisterAgentServer(server, a)
	hoistv1.RegisterPeerServer(server, peer.NewServer(a.options.Settings.VM, &handler{a}))
	for _, register := range a.services {
		register(server)
	}
	return server
}

func (a *Agent) newAdmin() *fasthttp.Server {
	return &fasthttp.Server{
		Handler: a.handleAdmin, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, ReadBufferSize: adminBufferBytes, WriteBufferSize: adminBufferBytes,
	}
}

func (a *Agent) loop(ctx context.Context, failed <-chan error) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.do(a.core.Tick)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// do passes one event to the decisions and carries out what follows.
func (a *Agent) do(event func(now clock.Instant) []control.Action) {
	a.mu.Lock()
	actions := event(bootclock.Now())
	a.note(actions)
	a.mu.Unlock()
	for _, action := range actions {
		a.carryOut(action)
	}
}

// note records changes for the snapshot streams. The caller holds mu.
func (a *Agent) note(actions []control.Action) {
	found := false
	for _, action := range actions {
		changed, ok := action.(control.Changed)
		if !ok {
			continue
		}
		found = true
		if changed.Change&^control.ChangedReports != 0 {
			a.urgent++
		} else {
			a.evidence++
		}
	}
	if found {
		close(a.changed)
		a.changed = make(chan struct{})
	}
}
