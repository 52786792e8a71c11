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

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/internal/peer"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
)

const (
	// headerTimeout bounds reading the header of a request, and idleTimeout an idle connection of
	// a caller, while no configuration sets these limits.
	headerTimeout = 15 * time.Second
	idleTimeout   = 120 * time.Second
	// maxHeaderBytes bounds the header of a request while no configuration does.
	maxHeaderBytes = 64 << 10
	// sweepInterval is the time between two checks for connections to upstreams that were idle
	// for too long.
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
	// Logger logs decisions. Failures logs failed requests and is not sampled.
	Logger   *zap.Logger
	Failures *zap.Logger
	Registry *prometheus.Registry
}

// Server is the edge process of one VM.
type Server struct {
	// settings are those of the start; inForce has later changes.
	settings Settings
	inForce  atomic.Pointer[Settings]
	reloadMu sync.Mutex
	dialect  Dialect
	client   *outbound.Client
	// releases sends releases of results. Their responses do not say which request they belong to, so
	// no other request may use the same connections.
	releases *outbound.Client
	now      func() clock.Instant
	logger   *zap.Logger
	failures *zap.Logger
	registry *prometheus.Registry
	metrics  *metrics
	contain  *containment
	// partition tells whether this VM is partitioned from all upstreams.
	partition *partitionMonitor

	follower  *follower
	gossip    *gossip
	peers     *peers
	path      *upstreamPath
	tunnels   *tunnelServer
	upstreams *upstreams
	signals   *upstreamSignals
	// requestMemory and responseMemory bound the memory for bodies.
	requestMemory  *bodyMemory
	responseMemory *responseMemory
	// guards bound what clients of the ports of this VM hold.
	guards       *guards
	startedAt    clock.Instant
	startup      *startup
	packedTables packedTables
	recentTables *recentTables
	recentPeers  recentPeers
	// tableTransfers is the number of transfers of packed tables to this VM.
	tableTransfers atomic.Int64
	startupWait    time.Duration
	// readerOffset spreads the pulls of the VMs over those VMs that read the store.
	readerOffset int
	// maxDirectFollowers is the number of VMs that pull from one reader up to which there are no
	// relays.
	maxDirectFollowers int
	// wrapPeers wraps the listener for other VMs. Tests limit the bandwidth with it.
	wrapPeers func(net.Listener) net.Listener
	view      atomic.Pointer[View]
	// viewMu is held while view and upstreams change. Upstreams that are in view can be chosen.
	viewMu sync.Mutex
	// unreachableZones holds the zones that this VM cannot reach by the membership protocol, and
	// suspectZones those that it probably cannot reach.
	unreachableZones atomic.Pointer[map[string]bool]
	suspectZones     atomic.Pointer[map[string]bool]
	// stageResponses and reservationResponses show which zones' owners do not respond, sooner than
	// membership does. Reservations time out early, so they do not decide which shards this VM may
	// own.
	stageResponses       zoneResponses
	reservationResponses zoneResponses
	// fleetSize is the number of known VMs, and connectionDivisor the number of VMs that share
	// the connections to an upstream.
	fleetSize         atomic.Int64
	connectionDivisor atomic.Int64
	inFlight          atomic.Int64
	// peerStages is the number of stages that this VM runs for other VMs.
	peerStages atomic.Int64
	stop       *plannedStop
	// durations estimates how long requests take.
	durations durations

	// recentHandles finds second copies of responses to stage calls.
	recentHandles recentHandles

	poolRunnersMu sync.Mutex
	poolRunners   map[string]*poolRunner

	engineRunnersMu sync.Mutex
	engineRunners   map[string]*engineRunner
	engineOwners    engineOwners
	// maxDecidingAlone is the fleet size up to which each VM chooses engines by itself.
	maxDecidingAlone int64
	// placementCount numbers the questions to the owners of engines.
	placementCount atomic.Int64

	// parts tracks the requests, and the parts of prompts, that crash upstreams.
	parts *partGuard
	// origins holds the software versions at which streams began.
	origins *streamOrigins
	// cacheLists holds what engines cache, of those whose shard this VM owns.
	cacheLists cacheLists
	// crashReports holds the crashes that are not reported to the other VMs yet.
	crashReports crashReports
}

// New returns a Server that is not running yet.
func New(options Options) (*Server, error) {
	s := &Server{
		settings: options.Settings, dialect: options.Dialect, client: options.Client, releases: outbound.NewClient(options.Settings.IP), now: options.Now, logger: options.Logger, failures: options.Failures,
		registry: options.Registry, metrics: newMetrics(options.Registry), poolRunners: map[string]*poolRunner{}, engineRunners: map[string]*engineRunner{}, maxDecidingAlone: smallFleetSize, stop: newPlannedStop(), maxDirectFollowers: maxDirectFollowers,
		startup: newStartup(), startupWait: startupWait, origins: newStreamOrigins(), wrapPeers: func(l net.Listener) net.Listener { return l },
		peers: newPeers(peer.Transport{SourceIP: net.ParseIP(options.Settings.IP), PrivateNetwork: true}),
	}
	s.path, s.tunnels = newUpstreamPath(s, s.peers.transport), newTunnelServer(s)
	s.client.Dialer, s.releases.Dialer = s.path, s.path
	s.upstreams = newUpstreams(options.Now, s.isZoneSuspect)
	s.signals = newUpstreamSignals(options.Now, options.Logger, s.metrics, options.Settings.DrainTime, s.reportLeaving)
	s.upstreams.askHealth = func(q healthQuestion) {
		go s.contain.run("health query", func() { s.askHealth(q) })
	}
	s.parts = newPartGuard(options.Now, options.Logger, s.sendClears)
	s.contain = &containment{logger: options.Logger, metrics: s.metrics}
	s.partition = newPartitionMonitor(s)
	s.path.partition = s.partition
	s.client.Observer, s.releases.Observer = s.partition, s.partition
	s.requestMemory, s.responseMemory = newRequestMemory(s.settings.memoryBytes()), newResponseMemory(s.settings.memoryBytes())
	s.guards = newGuards(s)
	s.startedAt, s.readerOffset = options.Now(), rand.IntN(fleet.StoreReaderCount)
	s.fleetSize.Store(1)
	s.inForce.Store(&options.Settings)
	var err error
	s.gossip, err = newGossip(&s.settings, options.Now, options.Logger, s.contain, s.parts, s.onFleetChange, s.updatePoolClaims)
	if err != nil {
		return nil, err
	}
	s.gossip.onSizeChange, s.gossip.onOrigins = s.updateShares, s.recordRemoteOrigins
	s.connectionDivisor.Store(int64(s.gossip.size().connections))
	s.follower = newFollower(options.Source, s.contain.decode(options.Decode), options.Now, options.Logger, s.applyView, s.gossip.isClaimed)
	s.follower.onGap = s.origins.interrupt
	s.recentTables = newRecentTables(s)
	s.observeEra()
	return s, nil
}

// applyView makes a view current and updates the upstreams and pools from it.
func (s *Server) applyView(view *View) {
	s.origins.observe(s.now(), view.ByID)
	s.setView(view)
	if view.Catalog != nil {
		s.startup.setConfigured()
	}
	s.configureEngineRunners()
	s.poolRunnersMu.Lock()
	defer s.poolRunnersMu.Unlock()
	for name, runner := range s.poolRunners {
		if shard := view.Shards[name]; shard != nil && shard.engine == nil {
			runner.configure(shard.batch, shard.entries)
			continue
		}
		// The pool is divided in another way now, or was removed. Jobs that have not begun go to
		// the owners of the new shards; the others end here.
		runner.handOverTo(fleet.Entry{})
		delete(s.poolRunners, name)
	}
}

// setView updates the upstreams from a view and makes it current. The upstreams come first, since a
// request that finds none of those in service is refused.
func (s *Server) setView(view *View) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	s.upstreams.update(view, s.inForce.Load(), s.gossip.vmNames(), s.gossip.size().rates)
	s.view.Store(view)
}

// updateShares updates the shares of limits of this VM.
func (s *Server) updateShares() {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	names, size := s.gossip.vmNames(), s.gossip.size()
	s.fleetSize.Store(int64(len(names)))
	s.connectionDivisor.Store(int64(size.connections))
	if view := s.view.Load(); view != nil {
		s.upstreams.update(view, s.inForce.Load(), names, size.rates)
	}
}

// onFleetChange updates the shares of limits and the pool claims after the set of VMs changed.
func (s *Server) onFleetChange() {
	s.updateShares()
	s.updatePoolClaims()
}

// poolRunner returns the runner of a shard on this VM. It creates the runner if there is none, and
// returns nil if the shard does not exist.
func (s *Server) poolRunner(name string) *poolRunner {
	s.poolRunnersMu.Lock()
	defer s.poolRunnersMu.Unlock()
	runner := s.poolRunners[name]
	if runner != nil {
		return runner
	}
	view := s.view.Load()
	if view == nil || view.Shards[name] == nil || view.Shards[name].engine != nil {
		return nil
	}
	shard := view.Shards[name]
	runner = newPoolRunner(shard.pool, s)
	runner.configure(shard.batch, shard.entries)
	if suspect := s.suspectZones.Load(); suspect != nil {
		runner.setSuspectZones(*suspect)
	}
	s.poolRunners[name] = runner
	return runner
}

// Run serves until the context ends, and then until the running requests have ended or the grace
// period is over.
func (s *Server) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	var gossip sync.WaitGroup
	defer gossip.Wait() // The socket of the membership protocol is closed then.
	defer stopBackground()
	servers, err := s.listen(background)
	if err != nil {
		return err
	}
	gossip.Go(func() { s.gossip.run(background) })
	go s.partition.run(background)
	go s.followTables(background)
	go s.fetchValues(background)
	go s.refreshStaleTables(background)
	go s.sweepLoop(background)
	s.logger.Info("started", zap.String("listen", s.settings.Listen), zap.String("peers", s.settings.PeerListen),
		zap.Strings("seeds", s.settings.Seeds))
	<-ctx.Done()
	s.shutDown(servers)
	flushTime := peerFlushTime
	if s.stop.isCut() {
		flushTime = 0 // The grace period is over.
	}
	servers.stopPeers(flushTime)
	_ = servers.readiness.Close()
	return nil
}

// runServer runs a server and logs an unexpected end.
func (s *Server) runServer(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.logger.Error("server stopped unexpectedly", zap.String("server", name), obs.ErrorField(err))
	}
}

func (s *Server) serveMetrics() {
	listener, err := listenGuarded(joinHostPort(s.settings.IP, s.settings.MetricsPort), s.guards.metrics)
	if err != nil {
		// Callers can be served without metrics.
		s.logger.Error("failed to listen for metrics", obs.ErrorField(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", obs.MetricsHandler(s.registry))
	server := newAuxiliaryServer(mux)
	go s.runServer("metrics", func() error { return server.Serve(listener) })
}

// serveReady answers the readiness checks of the load balancer.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why this VM should receive no requests, or "" if it is ready.
func (s *Server) notReadyReason() string {
	view := s.view.Load()
	switch {
	case s.stop.isStopping():
		return "stopping"
	case view == nil || view.Catalog == nil:
		return "no configuration"
	}
	if s.keysOutdated(s.follower.configurationAge()) {
		return "the tables are out of date"
	}
	return ""
}

// sweepLoop closes connections to upstreams that were idle for too long, and drops signals of
// upstreams that have no effect any more and old records of streams.
func (s *Server) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		s.client.CloseExpired()
		s.releases.CloseExpired()
		s.signals.retain(s.view.Load())
		s.origins.expire(s.now())
		s.cacheLists.expire(s.now())
	}
}
