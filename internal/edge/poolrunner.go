package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// stageResult is the outcome of a stage at the owner of its pool.
type stageResult struct {
	handles []string
	refusal stagepool.Refusal
	// retryAfter is the time by which the expected end of a refused job exceeds its deadline.
	retryAfter time.Duration
	// pausedUntil is when an upstream accepts traffic again, if the job is refused as Paused; 0 if
	// unknown.
	pausedUntil clock.Instant
	// owner is the VM that owns the pool now if the owner has changed; its name is empty if it is
	// not known.
	owner fleet.Entry
	// memoryShort is set if the pool needs the memory of the results back as soon as possible.
	memoryShort bool
}

// setPause sets the end of the pause because of which the job is refused; 0 if it has ended. VMs of
// versions that do not know of pauses read the time to retry.
func (r *stageResult) setPause(now, until clock.Instant) {
	if until != 0 {
		r.pausedUntil, r.retryAfter = until, pauseLeft(now, until)
	}
}

// stageWaiter is notified when a job ends.
type stageWaiter struct {
	done chan stageResult
	// onInputsRead is called once the upstreams have read the inputs of the job; it may be nil.
	onInputsRead func()
	// suspect is the request of the job, if its VM has sent it.
	suspect    suspect
	hasSuspect bool
}

// poolRunner runs the stages of one shard of a pool on the VM that owns the shard. It performs the
// calls that its scheduler decides on.
type poolRunner struct {
	pool    string
	dialect Dialect
	client  *outbound.Client
	// releases is used for releases alone.
	releases *outbound.Client
	now      func() clock.Instant
	logger   *zap.Logger
	metrics  *metrics
	contain  *containment
	handles  *recentHandles
	signals  *upstreamSignals
	// view returns the current view, and recentTables makes calls wait for newer tables.
	view         func() *View
	recentTables *recentTables
	// checkCrash checks whether an upstream crashed during a call with pieces of the requests.
	checkCrash func(entry *registry.Entry, suspects []suspect)

	mu sync.Mutex
	// batch and entries are the configuration that was last applied.
	batch   catalog.Batch
	entries []*registry.Entry
	// newOwner is the VM to which the pool was last handed over.
	newOwner        fleet.Entry
	scheduler       *stagepool.Pool
	suspectZones    map[string]bool
	waiters         map[stagepool.JobID]*stageWaiter
	addresses       map[string]string
	pendingReleases map[string][]string
	dispatchTimer   *time.Timer
}

func newPoolRunner(pool string, s *Server) *poolRunner {
	r := &poolRunner{
		pool: pool, dialect: s.dialect, client: s.client, releases: s.releases, now: s.now, logger: s.logger, metrics: s.metrics, contain: s.contain,
		handles: &s.recentHandles, signals: s.signals, view: s.view.Load, recentTables: s.recentTables,
		scheduler: stagepool.New(s.now()), waiters: map[stagepool.JobID]*stageWaiter{},
		addresses: map[string]string{}, pendingReleases: map[string][]string{},
	}
	r.checkCrash = func(entry *registry.Entry, suspects []suspect) { s.checkStageCrash(pool, entry, suspects) }
	r.dispatchTimer = time.AfterFunc(time.Hour, r.onDispatchTimer)
	return r
}

// update runs f, which changes the scheduler, and performs what the scheduler then decides.
func (r *poolRunner) update(f func()) {
	r.locked(func() {
		f()
		r.applyDecisions()
	})
}

// locked runs f under the lock. If an invariant of the scheduler turns out to be broken, which it
// reports by a panic, its jobs fail and a new scheduler takes its place.
func (r *poolRunner) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.SetBlocks(r.signals.blocks(r.entries))
	if r.contain.run("pool "+r.pool, f) {
		r.reset()
	}
}

// reset fails all jobs and starts over with a new scheduler. The caller holds the lock.
func (r *poolRunner) reset() {
	for _, waiter := range r.waiters {
		waiter.done <- stageResult{refusal: stagepool.Failed}
	}
	r.waiters = map[stagepool.JobID]*stageWaiter{}
	r.scheduler = stagepool.New(r.now())
	r.applyConfiguration()
}

// configure applies the batch settings of the pool and its upstreams in service.
func (r *poolRunner) configure(batch catalog.Batch, entries []*registry.Entry) {
	r.update(func() {
		r.batch, r.entries = batch, entries
		r.applyConfiguration()
	})
}

// setSuspectZones sets the zones that are probably cut off.
func (r *poolRunner) setSuspectZones(zones map[string]bool) {
	r.update(func() {
		r.suspectZones = zones
		r.scheduler.SetSuspectZones(zones)
	})
}

// applyConfiguration passes the configuration to the scheduler. The caller holds the lock.
func (r *poolRunner) applyConfiguration() {
	upstreams := make([]stagepool.Upstream, 0, len(r.entries))
	for _, entry := range r.entries {
		upstreams = append(upstreams, stagepool.Upstream{ID: entry.ID, Zone: entry.Zone})
		r.addresses[entry.ID] = entry.Address
	}
	r.scheduler.Configure(r.now(), r.batch, upstreams)
	// An upstream may be known to leave before it is registered.
	r.scheduler.SetBlocks(r.signals.blocks(r.entries))
	r.scheduler.SetSuspectZones(r.suspectZones)
}

// runJob runs a job to its end. If the context ends first, the job is cancelled. onInputsRead, if
// not nil, is called once the upstreams have read the inputs.
func (r *poolRunner) runJob(ctx context.Context, job stagepool.Job, onInputsRead func()) stageResult {
	waiter := &stageWaiter{done: make(chan stageResult, 1), onInputsRead: onInputsRead}
	waiter.suspect, waiter.hasSuspect = suspectOf(ctx)
	id := r.submit(job, waiter)
	select {
	case result := <-waiter.done:
		return result
	case <-ctx.Done():
	}
	r.update(func() {
		// A new scheduler after a broken invariant has other jobs under the same IDs.
		if r.waiters[id] == waiter {
			delete(r.waiters, id)
			r.scheduler.Cancel(id)
		}
	})
	select {
	case result := <-waiter.done:
		// The job ended in the meantime; nothing else releases its results.
		r.update(func() { r.scheduler.Release(result.handles) })
	default:
	}
	return stageResult{refusal: stagepool.Overloaded}
}

// submit adds a job and notifies the waiter if the job is refused.
func (r *poolRunner) submit(job stagepool.Job, waiter *stageWaiter) (id stagepool.JobID) {
	r.update(func() {
		now := r.now()
		var expectedEnd clock.Instant
		var refusal stagepool.Refusal
		id, expectedEnd, refusal = r.scheduler.Submit(now, job)
		if refusal == stagepool.NoRefusal {
			r.waiters[id] = waiter
			return
		}
		r.metrics.stageRefused.WithLabelValues(r.pool).Inc()
		r.logger.Info("stage refused", zap.String("request", job.Request), zap.String("pool", r.pool), zap.Int("stage", job.Stage),
			zap.Int("pieces", job.Pieces), zap.Int("waiting", r.scheduler.WaitingPieces()), zap.Duration("expected", expectedEnd.Sub(now)),
			zap.Duration("limit", job.Deadline.Sub(now)))
		result := stageResult{refusal: refusal, retryAfter: expectedEnd.Sub(job.Deadline)}
		if refusal == stagepool.Paused {
			result.setPause(now, expectedEnd)
		}
		waiter.done <- result
	})
	return id
}

// release releases results. Results unknown to the scheduler, which a previous owner created, are
// released at their upstreams directly.
func (r *poolRunner) release(handles []string) {
	r.update(func() {
		byAddress := map[string][]string{}
		for _, handle := range r.scheduler.Release(handles) {
			address := r.dialect.HandleAddress(handle)
			byAddress[address] = append(byAddress[address], handle)
		}
		for address, unknown := range byAddress {
			go r.sendRelease(address, unknown)
		}
	})
}

func (r *poolRunner) onDispatchTimer() { r.update(func() {}) }

// applyDecisions performs what the scheduler decided. The caller holds the lock.
func (r *poolRunner) applyDecisions() {
	now := r.now()
	for _, call := range r.scheduler.Dispatch(now) {
		go r.executeCall(call, r.addresses[call.Upstream])
	}
	for _, upstream := range r.scheduler.MemoryQueries() {
		go r.queryMemory(upstream, r.addresses[upstream])
	}
	for _, id := range r.scheduler.InputsRead() {
		if waiter := r.waiters[id]; waiter != nil && waiter.onInputsRead != nil {
			go waiter.onInputsRead()
		}
	}
	for _, outcome := range r.scheduler.Outcomes() {
		if waiter := r.waiters[outcome.Job]; waiter != nil {
			delete(r.waiters, outcome.Job)
			result := stageResult{handles: outcome.Handles, refusal: outcome.Refusal, memoryShort: outcome.MemoryShort}
			if outcome.Refusal == stagepool.OwnerChanged {
				result.owner = r.newOwner
			}
			if outcome.Refusal == stagepool.Paused {
				until, _ := r.signals.poolBlock(now, r.entries)
				result.setPause(now, until)
			}
			waiter.done <- result
		}
	}
	for _, request := range r.scheduler.ReleaseRequests() {
		if len(r.pendingReleases[request.Upstream]) == 0 {
			upstream := request.Upstream
			time.AfterFunc(releaseBatchDelay, func() { r.flushReleases(upstream) })
		}
		r.pendingReleases[request.Upstream] = append(r.pendingReleases[request.Upstream], request.Handles...)
	}
	if at, ok := r.scheduler.NextDispatch(now); ok {
		r.dispatchTimer.Reset(at.Sub(now))
	}
}
