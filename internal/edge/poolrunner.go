package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

const (
	// maxStageResponseBytes bounds the response to a stage call, a memory query or a release.
	maxStageResponseBytes = 1 << 20
	// releaseBatchDelay is how long releases for one upstream are collected into one call.
	releaseBatchDelay = 5 * time.Millisecond
	// memoryQueryTimeout bounds the query for the free memory of an upstream.
	memoryQueryTimeout = 200 * time.Millisecond
	// releaseTimeout bounds a release. If it is lost, the results use memory until they expire.
	releaseTimeout = time.Second
)

// stageResult is the outcome of a stage at the owner of its pool.
type stageResult struct {
	handles []string
	refusal stagepool.Refusal
	// retryAfter is the time by which the expected end of a refused job exceeds its deadline.
	retryAfter time.Duration
	// owner is the VM that owns the pool now if the owner has changed; its name is empty if it is
	// not known.
	owner fleet.Entry
	// memoryShort is set if the pool needs the memory of the results back as soon as possible.
	memoryShort bool
}

// stageWaiter is notified when a job ends.
type stageWaiter struct {
	done chan stageResult
	// onInputsRead is called once the upstreams have read the inputs of the job; it may be nil.
	onInputsRead func()
}

// poolRunner runs the stages of one shard of a pool on the VM that owns the shard. It performs the
// calls that its scheduler decides on.
type poolRunner struct {
	pool    string
	dialect Dialect
	client  *outbound.Client
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics
	contain *containment
	handles recentHandles

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
		pool: pool, dialect: s.dialect, client: s.client, now: s.now, logger: s.logger, metrics: s.metrics, contain: s.contain,
		scheduler: stagepool.New(s.now()), waiters: map[stagepool.JobID]*stageWaiter{},
		addresses: map[string]string{}, pendingReleases: map[string][]string{},
	}
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
	r.scheduler.SetSuspectZones(r.suspectZones)
}

// runJob runs a job to its end. If the context ends first, the job is cancelled. onInputsRead, if
// not nil, is called once the upstreams have read the inputs.
func (r *poolRunner) runJob(ctx context.Context, job stagepool.Job, onInputsRead func()) stageResult {
	waiter := &stageWaiter{done: make(chan stageResult, 1), onInputsRead: onInputsRead}
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
		waiter.done <- stageResult{refusal: refusal, retryAfter: expectedEnd.Sub(job.Deadline)}
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

// executeCall sends one batch and reports its outcome to the scheduler.
func (r *poolRunner) executeCall(call stagepool.Call, address string) {
	started := r.now()
	outcome, results, load, err := stagepool.CallFailed, []stagepool.PieceResult(nil), (*stagepool.CallLoad)(nil), errors.New("panic during the call")
	r.contain.run("stage call", func() { outcome, results, load, err = r.sendCall(call, address) })
	now := r.now()
	r.metrics.stageCalls.WithLabelValues(r.pool, callOutcomeNames[outcome]).Inc()
	r.metrics.stagePieces.WithLabelValues(r.pool).Observe(float64(len(call.Pieces)))
	if outcome == stagepool.CallAnswered {
		r.logger.Info("stage call ended", zap.String("pool", r.pool), zap.String("upstream", call.Upstream),
			zap.Int("pieces", len(call.Pieces)), zap.Int("made", countOutcome(results, stagepool.PieceSucceeded)),
			zap.Int("no_room", countOutcome(results, stagepool.PieceOutOfMemory)), zap.Int("inputs_gone", countOutcome(results, stagepool.PieceInputMissing)), zap.String("first_request", call.Pieces[0].Request),
			zap.Duration("elapsed", now.Sub(started)))
	} else {
		r.logger.Warn("stage call failed", zap.String("pool", r.pool), zap.String("upstream", call.Upstream),
			zap.String("address", address), zap.Int("pieces", len(call.Pieces)), zap.String("first_request", call.Pieces[0].Request),
			zap.String("end", callOutcomeNames[outcome]), zap.Duration("elapsed", now.Sub(started)), obs.ErrorField(err))
	}
	r.update(func() { r.scheduler.FinishCall(now, call.Upstream, call.ID, outcome, results, load) })
}

// countOutcome returns the number of pieces with the outcome.
func countOutcome(results []stagepool.PieceResult, outcome stagepool.PieceOutcome) int {
	n := 0
	for _, result := range results {
		if result.Outcome == outcome {
			n++
		}
	}
	return n
}

// callOutcomeNames are the names of call outcomes in logs and metrics.
var callOutcomeNames = [...]string{
	stagepool.CallAnswered: "answered", stagepool.CallRejected: "rejected",
	stagepool.CallMisdirected: "misdirected", stagepool.CallFailed: "broken", stagepool.CallNotSent: "unsent",
}

// sendCall sends one batch and returns its outcome, its results and the load that the upstream
// reported.
func (r *poolRunner) sendCall(call stagepool.Call, address string) (stagepool.CallOutcome, []stagepool.PieceResult, *stagepool.CallLoad, error) {
	request, err := r.dialect.EncodeStageCall(address, call)
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	var results []stagepool.PieceResult
	request.Verify = func(response *outbound.Response) (err error) {
		if response.Status == http.StatusOK {
			results, err = r.decodeResults(call, response.Body)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	response, err := r.client.Do(ctx, address, request, maxStageResponseBytes)
	if errors.Is(err, outbound.ErrNotSent) {
		return stagepool.CallNotSent, nil, nil, err
	}
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	info := r.dialect.DecodeResponse(response.Status, response.Header)
	switch {
	case info.Misdirected:
		return stagepool.CallMisdirected, nil, nil, nil
	case info.NotRun:
		return stagepool.CallRejected, nil, info.Load, nil
	case response.Status != http.StatusOK || info.Encoded:
		return stagepool.CallFailed, nil, nil, errors.Newf("status %d", response.Status)
	}
	return stagepool.CallAnswered, results, info.Load, nil
}

// decodeResults decodes the results of a batch and checks that they belong to it. A response
// names no batch, so a second copy of an earlier response shows only by its handles.
func (r *poolRunner) decodeResults(call stagepool.Call, body []byte) ([]stagepool.PieceResult, error) {
	results, err := r.dialect.DecodeStageResults(body)
	if err != nil {
		return nil, err
	}
	if len(results) != len(call.Pieces) {
		return nil, errors.Newf("%d results for %d pieces", len(results), len(call.Pieces))
	}
	if handle, seen := r.handles.addNew(results); seen {
		return nil, errors.Newf("result %s belongs to an earlier batch", handle)
	}
	return results, nil
}

// queryMemory queries an upstream for its free memory and reports it to the scheduler.
func (r *poolRunner) queryMemory(upstream, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), memoryQueryTimeout)
	defer cancel()
	freeBytes, err := r.fetchFreeMemory(ctx, address)
	if err != nil {
		// The scheduler continues without a response after a timeout of its own.
		r.logger.Info("free memory of an upstream not available", zap.String("pool", r.pool), zap.String("upstream", upstream), obs.ErrorField(err))
		return
	}
	r.logger.Info("free memory of an upstream reported", zap.String("pool", r.pool), zap.String("upstream", upstream), zap.Int64("free_bytes", freeBytes))
	r.update(func() { r.scheduler.ReportFreeMemory(r.now(), upstream, freeBytes) })
}

func (r *poolRunner) fetchFreeMemory(ctx context.Context, address string) (int64, error) {
	response, err := r.client.Do(ctx, address, r.dialect.EncodeMemoryQuery(address), maxStageResponseBytes)
	if err != nil {
		return 0, err
	}
	if response.Status != http.StatusOK {
		return 0, errors.Newf("status %d", response.Status)
	}
	return r.dialect.DecodeFreeMemory(response.Body)
}

// flushReleases sends the pending releases of an upstream.
func (r *poolRunner) flushReleases(upstream string) {
	var handles []string
	var address string
	r.locked(func() {
		handles, address = r.pendingReleases[upstream], r.addresses[upstream]
		delete(r.pendingReleases, upstream)
	})
	if !r.sendRelease(address, handles) {
		return
	}
	r.update(func() { r.scheduler.ConfirmReleased(handles) })
}

// sendRelease tells an upstream to delete results and reports whether the call succeeded.
func (r *poolRunner) sendRelease(address string, handles []string) bool {
	request, err := r.dialect.EncodeRelease(address, handles)
	if err != nil {
		r.logger.Error("failed to encode a release", obs.ErrorField(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := r.client.Do(ctx, address, request, maxStageResponseBytes); err != nil {
		r.logger.Info("release failed; the upstream keeps the results until they expire", zap.String("address", address), zap.Int("results", len(handles)), obs.ErrorField(err))
		return false
	}
	return true
}
