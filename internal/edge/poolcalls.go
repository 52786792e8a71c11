package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
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
	if outcome == stagepool.CallFailed {
		// The jobs may end with the call.
		entry, suspects := r.entryOf(call, address), r.suspectsOf(call)
		defer r.checkCrash(entry, suspects)
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
