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
	// maxStageAnswer bounds the answer of a stage call in bytes.
	maxStageAnswer = 1 << 20
	// releaseDelay is how long releases of one upstream are collected into one call.
	releaseDelay = 5 * time.Millisecond
	// askTimeout bounds the question for the memory of an upstream.
	askTimeout = 200 * time.Millisecond
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
	// inputsRead is called once the upstreams have read the inputs; it may be nil.
	inputsRead func()
}

// owner drives one pool of stages on this VM.
type owner struct {
	pool    string
	dialect Dialect
	client  *outbound.Client
	now     func() clock.Instant
	logger  *zap.Logger
	metrics *metrics

	mu sync.Mutex
	// next is the VM to which the pool was last handed over.
	next     string
	core     *stagepool.Pool
	waiters  map[stagepool.JobID]*stageWaiter
	address  map[string]string
	releases map[string][]string
	wake     *time.Timer
}

func newOwner(pool string, s *Server) *owner {
	o := &owner{
		pool: pool, dialect: s.dialect, client: s.client, now: s.now, logger: s.logger, metrics: s.metrics,
		core: stagepool.New(s.now()), waiters: map[stagepool.JobID]*stageWaiter{},
		address: map[string]string{}, releases: map[string][]string{},
	}
	o.wake = time.AfterFunc(time.Hour, o.advance)
	return o
}

// configure takes over a new view.
func (o *owner) configure(batch catalog.Batch, entries []registry.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	upstreams := make([]stagepool.Upstream, 0, len(entries))
	for _, entry := range entries {
		upstreams = append(upstreams, stagepool.Upstream{ID: entry.ID, Zone: entry.Zone})
		o.address[entry.ID] = entry.Address
	}
	o.core.Configure(o.now(), batch, upstreams)
	o.drive()
}

// run runs a job to its end. If the context ends first, the job is cancelled.
// InputsRead, if not nil, is called once the upstreams have read the inputs.
func (o *owner) run(ctx context.Context, job stagepool.Job, inputsRead func()) stageResult {
	o.mu.Lock()
	now := o.now()
	id, end, refusal := o.core.Submit(now, job)
	if refusal != stagepool.NoRefusal {
		waiting := o.core.WaitingPieces()
		o.mu.Unlock()
		o.metrics.stageRefused.WithLabelValues(o.pool).Inc()
		o.logger.Info("stage refused", zap.String("request", job.Request), zap.String("pool", o.pool), zap.Int("stage", job.Stage),
			zap.Int("pieces", job.Pieces), zap.Int("waiting", waiting), zap.Duration("expected", end.Sub(now)),
			zap.Duration("limit", job.Deadline.Sub(now)))
		return stageResult{refusal: refusal, retryAfter: end.Sub(job.Deadline)}
	}
	done := make(chan stageResult, 1)
	o.waiters[id] = &stageWaiter{done: done, inputsRead: inputsRead}
	o.drive()
	o.mu.Unlock()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiters, id)
	o.core.Cancel(id)
	o.drive()
	select {
	case result := <-done:
		// The job ended meanwhile, so nobody else will release its results.
		o.core.Release(result.handles)
		o.drive()
	default:
	}
	return stageResult{refusal: stagepool.Overloaded}
}

// release frees results.
func (o *owner) release(handles []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	byAddress := map[string][]string{}
	for _, handle := range o.core.Release(handles) {
		address := o.dialect.HandleAddress(handle)
		byAddress[address] = append(byAddress[address], handle)
	}
	for address, unknown := range byAddress {
		go o.sendRelease(address, unknown)
	}
	o.drive()
}

func (o *owner) advance() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drive()
}

// drive carries out what the core decided. The caller holds the lock.
func (o *owner) drive() {
	now := o.now()
	for _, call := range o.core.Dispatch(now) {
		go o.call(call, o.address[call.Upstream])
	}
	for _, upstream := range o.core.MemoryQueries() {
		go o.ask(upstream, o.address[upstream])
	}
	for _, id := range o.core.InputsRead() {
		if waiter := o.waiters[id]; waiter != nil && waiter.inputsRead != nil {
			go waiter.inputsRead()
		}
	}
	for _, outcome := range o.core.Outcomes() {
		if waiter := o.waiters[outcome.Job]; waiter != nil {
			delete(o.waiters, outcome.Job)
			result := stageResult{handles: outcome.Handles, refusal: outcome.Refusal}
			if outcome.Refusal == stagepool.OwnerChanged {
				result.owner = o.next
			}
			waiter.done <- result
		}
	}
	for _, free := range o.core.ReleaseRequests() {
		if len(o.releases[free.Upstream]) == 0 {
			upstream := free.Upstream
			time.AfterFunc(releaseDelay, func() { o.releaseGathered(upstream) })
		}
		o.releases[free.Upstream] = append(o.releases[free.Upstream], free.Handles...)
	}
	if at, ok := o.core.NextDispatch(now); ok {
		o.wake.Reset(at.Sub(now))
	}
}

// call sends one batch.
func (o *owner) call(call stagepool.Call, address string) {
	started := o.now()
	end, results, load, err := o.send(call, address)
	now := o.now()
	o.metrics.stageCalls.WithLabelValues(o.pool, callEnds[end]).Inc()
	o.metrics.stagePieces.WithLabelValues(o.pool).Observe(float64(len(call.Pieces)))
	if end == stagepool.CallAnswered {
		o.logger.Info("stage call ended", zap.String("pool", o.pool), zap.String("upstream", call.Upstream),
			zap.Int("pieces", len(call.Pieces)), zap.Int("made", count(results, stagepool.PieceSucceeded)),
			zap.Int("no_room", count(results, stagepool.PieceOutOfMemory)), zap.Int("inputs_gone", count(results, stagepool.PieceInputMissing)), zap.String("first_request", call.Pieces[0].Request),
			zap.Duration("elapsed", now.Sub(started)))
	} else {
		o.logger.Warn("stage call failed", zap.String("pool", o.pool), zap.String("upstream", call.Upstream),
			zap.String("address", address), zap.Int("pieces", len(call.Pieces)), zap.String("first_request", call.Pieces[0].Request),
			zap.String("end", callEnds[end]), zap.Duration("elapsed", now.Sub(started)), obs.Reason(err))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.FinishCall(now, call.Upstream, call.ID, end, results, load)
	o.drive()
}

// count returns the number of pieces with an end.
func count(results []stagepool.PieceResult, end stagepool.PieceOutcome) int {
	n := 0
	for _, result := range results {
		if result.Outcome == end {
			n++
		}
	}
	return n
}

var callEnds = [...]string{
	stagepool.CallAnswered: "answered", stagepool.CallRejected: "rejected",
	stagepool.CallMisdirected: "misdirected", stagepool.CallFailed: "broken", stagepool.CallNotSent: "unsent",
}

// send sends one batch and returns its end, its results and what else the upstream has to do.
func (o *owner) send(call stagepool.Call, address string) (stagepool.CallOutcome, []stagepool.PieceResult, *stagepool.CallLoad, error) {
	request, err := o.dialect.StageCall(address, call)
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	answer, err := o.client.Do(ctx, address, request, maxStageAnswer)
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

// ask asks an upstream for its free memory.
func (o *owner) ask(upstream, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	free, err := o.freeAt(ctx, address)
	if err != nil {
		// The pool goes on without the word after a time.
		o.logger.Info("memory of an upstream not known", zap.String("pool", o.pool), zap.String("upstream", upstream), obs.Reason(err))
		return
	}
	o.logger.Info("memory of an upstream told", zap.String("pool", o.pool), zap.String("upstream", upstream), zap.Int64("free_bytes", free))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.ReportFreeMemory(o.now(), upstream, free)
	o.drive()
}

func (o *owner) freeAt(ctx context.Context, address string) (int64, error) {
	answer, err := o.client.Do(ctx, address, o.dialect.StageReport(address), maxStageAnswer)
	if err != nil {
		return 0, err
	}
	if answer.Status != http.StatusOK {
		return 0, errors.Newf("status %d", answer.Status)
	}
	return o.dialect.StageFree(answer.Body)
}

// releaseGathered sends the releases that have gathered for an upstream.
func (o *owner) releaseGathered(upstream string) {
	o.mu.Lock()
	handles, address := o.releases[upstream], o.address[upstream]
	delete(o.releases, upstream)
	o.mu.Unlock()
	if !o.sendRelease(address, handles) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.ConfirmReleased(handles)
	o.drive()
}

// sendRelease tells an upstream to forget results and reports whether it did.
func (o *owner) sendRelease(address string, handles []string) bool {
	request, err := o.dialect.StageRelease(address, handles)
	if err != nil {
		o.logger.Error("release not encoded", obs.Reason(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := o.client.Do(ctx, address, request, maxStageAnswer); err != nil {
		o.logger.Info("release failed; the results expire", zap.String("address", address), zap.Int("results", len(handles)), obs.Reason(err))
		return false
	}
	return true
}
