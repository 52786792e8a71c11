package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// engineReportTimeout bounds the query for the load of an engine.
const engineReportTimeout = 200 * time.Millisecond

// maxCopyTimePerToken bounds the time to copy a token, in nanoseconds. Reading one takes some microseconds.
const maxCopyTimePerToken = 1e7

// engineRunner places requests on the engines of one shard on the VM that owns the shard.
type engineRunner struct {
	pool    string
	dialect Dialect
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics
	contain *containment
	signals *upstreamSignals
	// query is Server.queryEngine.
	query func(ctx context.Context, entry *registry.Entry, request *outbound.Request, limit int64) ([]byte, error)

	mu      sync.Mutex
	placer  *enginepool.Pool
	entries map[string]*registry.Entry
	// reportIDs is reused between calls.
	reportIDs []string
}

func newEngineRunner(pool string, s *Server) *engineRunner {
	return &engineRunner{
		pool: pool, dialect: s.dialect, now: s.now, logger: s.logger, metrics: s.metrics, contain: s.contain, signals: s.signals, query: s.queryEngine,
		placer: enginepool.New(), entries: map[string]*registry.Entry{},
	}
}

// engineLimits returns the limits of the engines of a pool.
func engineLimits(e *catalog.Engine) enginepool.Limits {
	limits := enginepool.Limits{Concurrency: e.Concurrency, CacheTokens: e.CacheTokens}
	if e.LinkBytesPerSecond > 0 && e.CacheBytesPerToken > 0 {
		limits.CopyTimePerToken = e.CacheBytesPerToken / e.LinkBytesPerSecond * float64(time.Second)
	}
	if limits.CopyTimePerToken > maxCopyTimePerToken {
		// A copy would take longer than reading, and the times of many tokens would overflow.
		limits.CopyTimePerToken = 0
	}
	return limits
}

// configure applies the limits of the pool and the engines of the shard.
func (r *engineRunner) configure(view *View, shard *poolShard) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.entries)
	engines := make([]enginepool.Engine, 0, len(shard.members))
	for _, entry := range shard.members {
		engines = append(engines, enginepool.Engine{
			ID: entry.ID, Zone: entry.Zone, Start: entry.StartID, ColdUntil: entry.ColdUntil, OutOfService: !view.takesWork(entry),
		})
		r.entries[entry.ID] = entry
	}
	r.placer.Configure(engineLimits(shard.engine), engines)
}

// place chooses the engine for a request.
func (r *engineRunner) place(request *enginepool.Request) (placed enginepool.Placement, ok bool) {
	r.contain.run("placement", func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.now()
		placed, ok = r.placer.Place(now, request)
		r.queryReports(now)
	})
	return placed, ok
}

// locate returns the engine that has read the longest beginning of a prompt, and its size in tokens.
func (r *engineRunner) locate(parts []enginepool.Part) (engine string, tokens int) {
	r.contain.run("placement", func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		engine, tokens = r.placer.Locate(r.now(), parts)
	})
	return engine, tokens
}

// end records the end of a request.
func (r *engineRunner) end(id string, outcome enginepool.Outcome, cold time.Duration) {
	r.contain.run("placement", func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.now()
		r.placer.End(now, id, outcome)
		if cold > 0 {
			r.placer.RecordColdStart(now, outcome.Engine, outcome.Start, cold)
		}
	})
}

// queryReports asks the engines for their load of which the owner knows too little. The caller holds
// the lock.
func (r *engineRunner) queryReports(now clock.Instant) {
	r.reportIDs = r.placer.ReportsWanted(now, r.reportIDs[:0])
	for _, id := range r.reportIDs {
		if entry := r.entries[id]; entry != nil {
			go r.contain.run("engine report", func() { r.queryReport(entry) })
		}
	}
}

// queryReport asks one engine for its load.
func (r *engineRunner) queryReport(entry *registry.Entry) {
	if !r.signals.mayCall(instanceOf(entry), "engine_report") {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineReportTimeout)
	defer cancel()
	report, err := r.fetchReport(ctx, entry)
	if err != nil || !r.recordReport(entry, report) {
		r.metrics.engineReports.WithLabelValues("ignored").Inc()
		r.logger.Info("load of an engine not available", zap.String("pool", r.pool), zap.String("upstream", entry.ID), obs.ErrorField(err))
		return
	}
	r.metrics.engineReports.WithLabelValues("used").Inc()
}

// recordReport applies a report, and reports whether it is valid.
func (r *engineRunner) recordReport(entry *registry.Entry, report enginepool.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placer.RecordReport(r.now(), entry.ID, entry.StartID, report)
}

func (r *engineRunner) fetchReport(ctx context.Context, entry *registry.Entry) (enginepool.Report, error) {
	body, err := r.query(ctx, entry, r.dialect.EncodeMemoryQuery(entry.Address), maxStageResponseBytes)
	if err != nil {
		return enginepool.Report{}, err
	}
	return r.dialect.DecodeEngineReport(body)
}
