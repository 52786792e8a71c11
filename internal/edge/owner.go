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
	// maxStageResponseBytes bounds the answer of a stage call in bytes.
	maxStageResponseBytes = 1 << 20
	// releaseBatchDelay is how long releases of one upstream are collected into one call.
	releaseBatchDelay = 5 * time.Millisecond
	// memoryQueryTimeout bounds the question for the memory of an upstream.
	memoryQueryTimeout = 200 * time.Millisecond
	// releaseTimeout bounds a release; a lost one costs only memory until it expires.
	releaseTimeout = time.Second
)

// stageResult is the end of a stage at its pool's owner.
type stageResult struct {
	handles []string
	refusal stagepool.Refusal
	// retryAfter is when an overloaded pool expects to have a place.
	retryAfter time.Duration
	// owner is the VM that owns the pool if the job has moved; empty if it is not known.
	owner string
}

// stageWaiter waits for the end of a job.
type stageWaiter struct {
	done chan stageResult
	// onInputsRead is called once the upstreams have read the inputs; it may be nil.
	onInputsRead func()
}

// poolRunner drives one pool of stages on this VM.
type poolRunner struct {
	pool    string
	dialect Dialect
	client  *outbound.Client
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics

	mu sync.Mutex
	// nextOwner is the VM to which the pool was last handed over.
	nextOwner       string
	scheduler       *stagepool.Pool
	waiters         map[stagepool.JobID]*stageWaiter
	addresses       map[string]string
	pendingReleases map[string][]string
	dispatchTimer   *time.Timer
}

func newPoolRunner(pool string, s *Server) *poolRunner {
	o := &poolRunner{
		pool: pool, dialect: s.dialect, client: s.client, now: s.now, logger: s.logger, metrics: s.metrics,
		scheduler: stagepool.New(s.now()), waiters: map[stagepool.JobID]*stageWaiter{},
		addresses: map[string]string{}, pendingReleases: map[string][]string{},
	}
	o.dispatchTimer = time.AfterFunc(time.Hour, o.onDispatchTimer)
	return o
}

// configure takes over a new view.
func (o *poolRunner) configure(batch catalog.Batch, entries []registry.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	upstreams := make([]stagepool.Upstream, 0, len(entries))
	for _, entry := range entries {
		upstreams = append(upstreams, stagepool.Upstream{ID: entry.ID, Zone: entry.Zone})
		o.addresses[entry.ID] = entry.Address
	}
	o.scheduler.Configure(o.now(), batch, upstreams)
	o.applyDecisions()
}

// runJob runs a job to its end. If the context ends first, the job is cancelled.
// InputsRead, if not nil, is called once the upstreams have read the inputs.
func (o *poolRunner) runJob(ctx context.Context, job stagepool.Job, inputsRead func()) stageResult {
	o.mu.Lock()
	now := o.now()
	id, end, refusal := o.scheduler.Submit(now, job)
	if refusal != stagepool.NoRefusal {
		waiting := o.scheduler.WaitingPieces()
		o.mu.Unlock()
		o.metrics.stageRefused.WithLabelValues(o.pool).Inc()
		o.logger.Info("stage refused", zap.String("request", job.Request), zap.String("pool", o.pool), zap.Int("stage", job.Stage),
			zap.Int("pieces", job.Pieces), zap.Int("waiting", waiting), zap.Duration("expected", end.Sub(now)),
			zap.Duration("limit", job.Deadline.Sub(now)))
		return stageResult{refusal: refusal, retryAfter: end.Sub(job.Deadline)}
	}
	done := make(chan stageResult, 1)
	o.waiters[id] = &stageWaiter{done: done, onInputsRead: inputsRead}
	o.applyDecisions()
	o.mu.Unlock()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiters, id)
	o.scheduler.Cancel(id)
	o.applyDecisions()
	select {
	case result := <-done:
		// The job ended meanwhile, so nobody else will release its results.
		o.scheduler.Release(result.handles)
		o.applyDecisions()
	default:
	}
	return stageResult{refusal: stagepool.Overloaded}
}

// release frees results.
func (o *poolRunner) release(handles []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byAddress := map[string][]string{}
	for _, handle := range o.scheduler.Release(handles) {
		address := o.dialect.HandleAddress(handle)
		byAddress[address] = append(byAddress[address], handle)
	}
	for address, unknown := range byAddress {
		go o.sendRelease(address, unknown)
	}
	o.applyDecisions()
}

func (o *poolRunner) onDispatchTimer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyDecisions()
}

// applyDecisions carries out what the core decided. The caller holds the lock.
func (o *poolRunner) applyDecisions() {
	now := o.now()
	for _, call := range o.scheduler.Dispatch(now) {
		go o.executeCall(call, o.addresses[call.Upstream])
	}
	for _, upstream := range o.scheduler.MemoryQueries() {
		go o.queryMemory(upstream, o.addresses[upstream])
	}
	for _, id := range o.scheduler.InputsRead() {
		if waiter := o.waiters[id]; waiter != nil && waiter.onInputsRead != nil {
			go waiter.onInputsRead()
		}
	}
	for _, outcome := range o.scheduler.Outcomes() {
		if waiter := o.waiters[outcome.Job]; waiter != nil {
			delete(o.waiters, outcome.Job)
			result := stageResult{handles: outcome.Handles, refusal: outcome.Refusal}
			if outcome.Refusal == stagepool.OwnerChanged {
				result.owner = o.nextOwner
			}
			waiter.done <- result
		}
	}
	for _, free := range o.scheduler.ReleaseRequests() {
		if len(o.pendingReleases[free.Upstream]) == 0 {
			upstream := free.Upstream
			time.AfterFunc(releaseBatchDelay, func() { o.flushReleases(upstream) })
		}
		o.pendingReleases[free.Upstream] = append(o.pendingReleases[free.Upstream], free.Handles...)
	}
	if at, ok := o.scheduler.NextDispatch(now); ok {
		o.dispatchTimer.Reset(at.Sub(now))
	}
}

// executeCall sends one batch.
func (o *poolRunner) executeCall(call stagepool.Call, address string) {
	started := o.now()
	end, results, load, err := o.sendCall(call, address)
	now := o.now()
	o.metrics.stageCalls.WithLabelValues(o.pool, callOutcomeNames[end]).Inc()
	o.metrics.stagePieces.WithLabelValues(o.pool).Observe(float64(len(call.Pieces)))
	if end == stagepool.CallAnswered {
		o.logger.Info("stage call ended", zap.String("pool", o.pool), zap.String("upstream", call.Upstream),
			zap.Int("pieces", len(call.Pieces)), zap.Int("made", countOutcome(results, stagepool.PieceSucceeded)),
			zap.Int("no_room", countOutcome(results, stagepool.PieceOutOfMemory)), zap.Int("inputs_gone", countOutcome(results, stagepool.PieceInputMissing)), zap.String("first_request", call.Pieces[0].Request),
			zap.Duration("elapsed", now.Sub(started)))
	} else {
		o.logger.Warn("stage call failed", zap.String("pool", o.pool), zap.String("upstream", call.Upstream),
			zap.String("address", address), zap.Int("pieces", len(call.Pieces)), zap.String("first_request", call.Pieces[0].Request),
			zap.String("end", callOutcomeNames[end]), zap.Duration("elapsed", now.Sub(started)), obs.Reason(err))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.FinishCall(now, call.Upstream, call.ID, end, results, load)
	o.applyDecisions()
}

// countOutcome returns the number of pieces with an end.
func countOutcome(results []stagepool.PieceResult, end stagepool.PieceOutcome) int {
	n := 0
	for _, result := range results {
		if result.Outcome == end {
			n++
		}
	}
	return n
}

var callOutcomeNames = [...]string{
	stagepool.CallAnswered: "answered", stagepool.CallRejected: "rejected",
	stagepool.CallMisdirected: "misdirected", stagepool.CallFailed: "broken", stagepool.CallNotSent: "unsent",
}

// sendCall sends one batch and returns its end, its results and what else the upstream has to do.
func (o *poolRunner) sendCall(call stagepool.Call, address string) (stagepool.CallOutcome, []stagepool.PieceResult, *stagepool.CallLoad, error) {
	request, err := o.dialect.StageCall(address, call)
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	answer, err := o.client.Whole(ctx, address, request, maxStageResponseBytes)
	if errors.Is(err, outbound.ErrNotSent) {
		return stagepool.CallNotSent, nil, nil, err
	}
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	verdict := o.dialect.Judge(answer.Status, answer.Header)
	switch {
	case verdict.Misdirected:
		return stagepool.CallMisdirected, nil, nil, nil
	case verdict.NotRun:
		return stagepool.CallRejected, nil, verdict.Load, nil
	case answer.Status != http.StatusOK:
		return stagepool.CallFailed, nil, nil, errors.Newf("status %d", answer.Status)
	}
	results, err := o.dialect.StageResults(answer.Body)
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	if len(results) != len(call.Pieces) {
		return stagepool.CallFailed, nil, nil, errors.Newf("%d results for %d pieces", len(results), len(call.Pieces))
	}
	return stagepool.CallAnswered, results, verdict.Load, nil
}

// queryMemory asks an upstream for its free memory.
func (o *poolRunner) queryMemory(upstream, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), memoryQueryTimeout)
	defer cancel()
	free, err := o.fetchFreeMemory(ctx, address)
	if err != nil {
		// The pool goes on without the word after a time.
		o.logger.Info("memory of an upstream not known", zap.String("pool", o.pool), zap.String("upstream", upstream), obs.Reason(err))
		return
	}
	o.logger.Info("memory of an upstream told", zap.String("pool", o.pool), zap.String("upstream", upstream), zap.Int64("free_bytes", free))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.ReportFreeMemory(o.now(), upstream, free)
	o.applyDecisions()
}

func (o *poolRunner) fetchFreeMemory(ctx context.Context, address string) (int64, error) {
	answer, err := o.client.Whole(ctx, address, o.dialect.StageReport(address), maxStageResponseBytes)
	if err != nil {
		return 0, err
	}
	if answer.Status != http.StatusOK {
		return 0, errors.Newf("status %d", answer.Status)
	}
	return o.dialect.StageFree(answer.Body)
}

// flushReleases sends the releases that have gathered for an upstream.
func (o *poolRunner) flushReleases(upstream string) {
	o.mu.Lock()
	handles, address := o.pendingReleases[upstream], o.addresses[upstream]
	delete(o.pendingReleases, upstream)
	o.mu.Unlock()
	if !o.sendRelease(address, handles) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.ConfirmReleased(handles)
	o.applyDecisions()
}

// sendRelease tells an upstream to forget results and reports whether it did.
func (o *poolRunner) sendRelease(address string, handles []string) bool {
	request, err := o.dialect.StageRelease(address, handles)
	if err != nil {
		o.logger.Error("release not encoded", obs.Reason(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := o.client.Whole(ctx, address, request, maxStageResponseBytes); err != nil {
		o.logger.Info("release failed; the results expire", zap.String("address", address), zap.Int("results", len(handles)), obs.Reason(err))
		return false
	}
	return true
}
