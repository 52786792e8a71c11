package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	hoistv1 "github.com/hornbeamhoist/hornbeamhoist/api/hoist/v1"
	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

const (
	// headerTimeout bounds reading the head of a request, and idleTimeout an idle connection
	// of a caller. Both are above what the tables allow callers.
	headerTimeout = 15 * time.Second
	idleTimeout   = 120 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// balancerDelay is how long a VM that shuts down takes new requests: the balancer needs
	// two readiness checks, a second apart, to notice.
	balancerDelay = 3300 * time.Millisecond
	// stopMargin is kept from the grace period for the end of the process.
	stopMargin = 700 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
)

// Options configures a Server.
type Options struct {
	Settings Settings
	Source   Source
	Decode   Decoder
	Dialect  Dialect
	Client   *outbound.Client
	Now      func() clock.Instant
	// Logger writes decisions, Failures the lines of failed requests, which are not sampled.
	Logger   *zap.Logger
	Failures *zap.Logger
	Registry *prometheus.Registry
}

// Server is the edge process of one VM.
type Server struct {
	settings Settings
	dialect  Dialect
	client   *outbound.Client
	now      func() clock.Instant
	logger   *zap.Logger
	failures *zap.Logger
	registry *prometheus.Registry
	metrics  *metrics
	random   *rand.Rand

	follower  *follower
	gossip    *gossip
	peers     *peers
	upstreams *upstreams
	begun     clock.Instant
	// balancerDelay is how long new requests are taken after a stop signal.
	balancerDelay time.Duration
	// turnOffset spreads the VMs over the readers of the store.
	turnOffset int
	view       atomic.Pointer[View]
	fleetSize  atomic.Int64
	inFlight   atomic.Int64
	stopping   atomic.Bool

	ownersMu sync.Mutex
	owners   map[string]*owner

	poisonMu sync.Mutex
	poison   *poison.Table
}

// New returns a Server that has not begun.
func New(o Options) (*Server, error) {
	s := &Server{
		settings: o.Settings, dialect: o.Dialect, client: o.Client, now: o.Now, logger: o.Logger, failures: o.Failures,
		registry: o.Registry, metrics: newMetrics(o.Registry), owners: map[string]*owner{}, poison: poison.New(), balancerDelay: balancerDelay,
		upstreams: newUpstreams(o.Now), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peers: newPeers(peer.Transport{Source: net.ParseIP(o.Settings.IP), PrivateNetwork: true}),
	}
	s.begun, s.turnOffset = o.Now(), s.random.IntN(storeReaders)
	s.fleetSize.Store(1)
	s.follower = newFollower(o.Source, o.Decode, o.Now, o.Logger, s.apply)
	var err error
	s.gossip, err = newGossip(&s.settings, o.Now, o.Logger, s.fleetChanged, s.settlePools)
	return s, err
}

// apply takes over a new view.
func (s *Server) apply(view *View) {
	s.view.Store(view)
	s.upstreams.apply(view, &s.settings, s.gossip.names())
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	for pool, o := range s.owners {
		if batch, ok := view.stagePool(pool); ok {
			o.configure(batch, view.InService[pool])
		}
	}
}

// fleetChanged adapts the shares of limits to the number of VMs.
func (s *Server) fleetChanged() {
	names := s.gossip.names()
	s.fleetSize.Store(int64(len(names)))
	if view := s.view.Load(); view != nil {
		s.upstreams.apply(view, &s.settings, names)
	}
	s.settlePools()
}

// owner returns this VM's owner of a pool.
func (s *Server) owner(pool string) *owner {
	s.ownersMu.Lock()
	defer s.ownersMu.Unlock()
	o := s.owners[pool]
	if o == nil {
		o = newOwner(pool, s)
		s.owners[pool] = o
		if view := s.view.Load(); view != nil {
			if batch, ok := view.stagePool(pool); ok {
				o.configure(batch, view.InService[pool])
			}
		}
	}
	return o
}

// Run serves until the context ends, and then until the requests under way have ended or
// the grace period is over.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	callers, ready, peerServer, err := s.listen(background)
	if err != nil {
		return err
	}
	go s.gossip.run(background)
	go s.followTables(background)
	go s.rescueTables(background)
	go s.sweepLoop(background)
	s.logger.Info("started", zap.String("listen", s.settings.Listen), zap.String("peers", s.settings.PeerListen),
		zap.Strings("seeds", s.settings.Seeds))
	<-ctx.Done()
	s.stop(callers)
	peerServer.Stop()
	_ = ready.Close()
	return nil
}

// listen opens all listeners and serves them.
func (s *Server) listen(ctx context.Context) (*http.Server, *http.Server, *grpc.Server, error) {
	peerListener, err := s.peers.transport.Listen(s.settings.PeerListen)
	if err != nil {
		return nil, nil, nil, err
	}
	peerServer := grpc.NewServer(s.peers.transport.ServerOptions()...)
	hoistv1.RegisterFleetServer(peerServer, fleetServer{s: s})
	go s.watchServer("peers", func() error { return peerServer.Serve(peerListener) })
	callers := &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		BaseContext: func(net.Listener) context.Context { return ctx }, ErrorLog: zap.NewStdLog(s.logger),
	}
	ready := &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout}
	for _, server := range []struct {
		name, address string
		server        *http.Server
	}{{"callers", s.settings.Listen, callers}, {"readiness", s.settings.ReadyListen, ready}} {
		listener, err := net.Listen("tcp4", server.address)
		if err != nil {
			peerServer.Stop()
			return nil, nil, nil, errors.Wrapf(err, "listen for %s", server.name)
		}
		go s.watchServer(server.name, func() error { return server.server.Serve(listener) })
	}
	if s.settings.MetricsPort > 0 {
		s.serveMetrics()
	}
	return callers, ready, peerServer, nil
}

func (s *Server) watchServer(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.logger.Error("server ended", zap.String("server", name), obs.Reason(err))
	}
}

func (s *Server) serveMetrics() {
	listener, err := net.Listen("tcp4", portOf(s.settings.IP, s.settings.MetricsPort))
	if err != nil {
		// A process without metrics still serves.
		s.logger.Error("metrics not served", obs.Reason(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", obs.MetricsHandler(s.registry))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go s.watchServer("metrics", func() error { return server.Serve(listener) })
}

// serveReady answers the balancer.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns why callers should not be sent here, or "".
func (s *Server) notReady() string {
	view := s.view.Load()
	switch {
	case s.stopping.Load():
		return "stopping"
	case view == nil || view.Catalog == nil:
		return "no configuration"
	}
	if age, _ := s.follower.age(); s.keysOutdated(age) {
		return "the tables are out of date"
	}
	return ""
}

func (s *Server) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, sweepInterval)
		s.client.CloseExpired()
	}
}

// stop shuts down: the balancer is told first, then idle connections are closed, and
// requests under way end.
func (s *Server) stop(callers *http.Server) {
	begun := s.now()
	s.stopping.Store(true)
	s.gossip.leave()
	s.settlePools()
	s.logger.Info("stopping", zap.Int64("in_flight", s.inFlight.Load()))
	pause(context.Background(), min(s.balancerDelay, s.settings.GracePeriod/2))
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.GracePeriod-stopMargin-s.now().Sub(begun))
	defer cancel()
	err := callers.Shutdown(ctx)
	s.logger.Info("stopped", zap.Int64("in_flight", s.inFlight.Load()), zap.Duration("took", s.now().Sub(begun)), obs.Reason(err))
}
