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
	// owner is the VM that owns the pool now if the owner has changed; empty if it is not known.
	owner string
}

// stageWaiter is notified when a job ends.
type stageWaiter struct {
	done chan stageResult
	// onInputsRead is called once the upstreams have read the inputs of the job; it may be nil.
	onInputsRead func()
}

// poolRunner runs the stages of one pool on the VM that owns the pool. It performs the calls that
// its scheduler decides on.
type poolRunner struct {
	pool    string
	dialect Dialect
	client  *outbound.Client
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics

	mu sync.Mutex
	// newOwner is the VM to which the pool was last handed over.
	newOwner        string
	scheduler       *stagepool.Pool
	waiters         map[stagepool.JobID]*stageWaiter
	addresses       map[string]string
	pendingReleases map[string][]string
	dispatchTimer   *time.Timer
}

func newPoolRunner(pool string, s *Server) *poolRunner {
	r := &poolRunner{
		pool: pool, dialect: s.dialect, client: s.client, now: s.now, logger: s.logger, metrics: s.metrics,
		scheduler: stagepool.New(s.now()), waiters: map[stagepool.JobID]*stageWaiter{},
		addresses: map[string]string{}, pendingReleases: map[string][]string{},
	}
	r.dispatchTimer = time.AfterFunc(time.Hour, r.onDispatchTimer)
	return r
}

// configure applies the batch settings of the pool and its upstreams in service.
func (r *poolRunner) configure(batch catalog.Batch, entries []registry.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	upstreams := make([]stagepool.Upstream, 0, len(entries))
	for _, entry := range entries {
		upstreams = append(upstreams, stagepool.Upstream{ID: entry.ID, Zone: entry.Zone})
		r.addresses[entry.ID] = entry.Address
	}
	r.scheduler.Configure(r.now(), batch, upstreams)
	r.applyDecisions()
}

// runJob runs a job to its end. If the context ends first, the job is cancelled. onInputsRead, if
// not nil, is called once the upstreams have read the inputs.
func (r *poolRunner) runJob(ctx context.Context, job stagepool.Job, onInputsRead func()) stageResult {
	r.mu.Lock()
	now := r.now()
	id, expectedEnd, refusal := r.scheduler.Submit(now, job)
	if refusal != stagepool.NoRefusal {
		waiting := r.scheduler.WaitingPieces()
		r.mu.Unlock()
		r.metrics.stageRefused.WithLabelValues(r.pool).Inc()
		r.logger.Info("stage refused", zap.String("request", job.Request), zap.String("pool", r.pool), zap.Int("stage", job.Stage),
			zap.Int("pieces", job.Pieces), zap.Int("waiting", waiting), zap.Duration("expected", expectedEnd.Sub(now)),
			zap.Duration("limit", job.Deadline.Sub(now)))
		return stageResult{refusal: refusal, retryAfter: expectedEnd.Sub(job.Deadline)}
	}
	done := make(chan stageResult, 1)
	r.waiters[id] = &stageWaiter{done: done, onInputsRead: onInputsRead}
	r.applyDecisions()
	r.mu.Unlock()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, id)
	r.scheduler.Cancel(id)
	r.applyDecisions()
	select {
	case result := <-done:
		// The job ended in the meantime; nothing else releases its results.
		r.scheduler.Release(result.handles)
		r.applyDecisions()
	default:
	}
	return stageResult{refusal: stagepool.Overloaded}
}

// release releases results. Results unknown to the scheduler, which a previous owner created, are
// released at their upstreams directly.
func (r *poolRunner) release(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byAddress := map[string][]string{}
	for _, handle := range r.scheduler.Release(handles) {
		address := r.dialect.HandleAddress(handle)
		byAddress[address] = append(byAddress[address], handle)
	}
	for address, unknown := range byAddress {
		go r.sendRelease(address, unknown)
	}
	r.applyDecisions()
}

func (r *poolRunner) onDispatchTimer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyDecisions()
}

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
			result := stageResult{handles: outcome.Handles, refusal: outcome.Refusal}
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
	outcome, results, load, err := r.sendCall(call, address)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.FinishCall(now, call.Upstream, call.ID, outcome, results, load)
	r.applyDecisions()
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
	case response.Status != http.StatusOK:
		return stagepool.CallFailed, nil, nil, errors.Newf("status %d", response.Status)
	}
	results, err := r.dialect.DecodeStageResults(response.Body)
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	if len(results) != len(call.Pieces) {
		return stagepool.CallFailed, nil, nil, errors.Newf("%d results for %d pieces", len(results), len(call.Pieces))
	}
	return stagepool.CallAnswered, results, info.Load, nil
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.ReportFreeMemory(r.now(), upstream, freeBytes)
	r.applyDecisions()
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
	r.mu.Lock()
	handles, address := r.pendingReleases[upstream], r.addresses[upstream]
	delete(r.pendingReleases, upstream)
	r.mu.Unlock()
	if !r.sendRelease(address, handles) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduler.ConfirmReleased(handles)
	r.applyDecisions()
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
