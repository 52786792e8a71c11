package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
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
	// stageConnMaxIdle bounds how long a connection may have been idle before a stage call, so that the
	// handles of the responses before it are still remembered.
	stageConnMaxIdle = 4 * time.Second
)

// Reasons for which connections to the upstreams of stages are closed. Responses name no request, so a
// late second copy of such a response could be taken for the response to the next request.
const (
	closedForMissingHandle   = "result_without_handle"
	closedForForeignResponse = "foreign_response"
	closedForContradiction   = "contradiction"
	closedForStatus          = "status"
	closedAfterMemoryQuery   = "memory_query"
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
	stagepool.CallPaused: "paused", stagepool.CallWithheld: "withheld",
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
	var info ResponseInfo
	recordSignals := r.signalRecorder(address)
	request.BeforeSend = r.beforeStageCall(call.Upstream, address)
	request.MaxConnIdle = stageConnMaxIdle
	request.Verify = func(response *outbound.Response) (err error) {
		info = recordSignals(response)
		var doubt string
		if results, doubt, err = r.verifyResponse(call, response, info); doubt != "" {
			response.CloseConn = true
			r.countClosed(doubt)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	r.recentTables.await(ctx)
	response, err := r.client.Do(ctx, address, request, maxStageResponseBytes)
	if errors.Is(err, errWithheld) {
		return stagepool.CallWithheld, nil, nil, err
	}
	if errors.Is(err, outbound.ErrNotSent) {
		return stagepool.CallNotSent, nil, nil, err
	}
	if err != nil {
		return stagepool.CallFailed, nil, nil, err
	}
	switch {
	case info.Pause > 0 && !info.Misdirected:
		return stagepool.CallPaused, nil, nil, nil
	case info.Misdirected:
		return stagepool.CallMisdirected, nil, nil, nil
	case info.NotRun:
		return stagepool.CallRejected, nil, info.Load, nil
	case response.Status != http.StatusOK || info.Encoded:
		return stagepool.CallFailed, nil, nil, errors.Newf("status %d", response.Status)
	}
	return stagepool.CallAnswered, results, info.Load, nil
}

// beforeStageCall returns the check whether a stage call may still be sent to the upstream that was chosen at an
// address.
func (r *poolRunner) beforeStageCall(upstream, address string) func() error {
	entry := r.entryAt(address)
	if entry == nil || entry.ID != upstream {
		// The tables have changed since the call was dispatched.
		entry = &registry.Entry{Upstream: catalog.Upstream{ID: upstream, Address: address}}
	}
	checkSignals := r.signals.beforeSend(entry, stageCall)
	return func() error {
		if err := r.signals.checkRegistration(r.view(), entry, stageCall); err != nil {
			return err
		}
		return checkSignals()
	}
}

// verifyResponse decodes the response to a stage call. It also returns why the connection must not be
// used again, or "". A response without a handle for each piece is accepted once: a second copy of it
// would be accepted for the next call, and each later call would get the response to the call before it.
func (r *poolRunner) verifyResponse(call stagepool.Call, response *outbound.Response, info ResponseInfo) (results []stagepool.PieceResult, doubt string, err error) {
	if response.Status != http.StatusOK {
		return nil, closedForStatus, nil
	}
	results, err = r.decodeResults(call, response.Body)
	switch {
	case err != nil:
		return nil, closedForForeignResponse, err
	case info.Misdirected || info.NotRun || info.Encoded:
		return results, closedForContradiction, nil
	case slices.ContainsFunc(results, func(result stagepool.PieceResult) bool { return result.Handle == "" }):
		return results, closedForMissingHandle, nil
	}
	return results, "", nil
}

// countClosed counts a connection that was closed for the reason.
func (r *poolRunner) countClosed(reason string) {
	r.metrics.stageConnectionsClosed.WithLabelValues(r.pool, reason).Inc()
}

// signalRecorder returns a function that decodes the head of a response and records its signals. It
// must be called before the request is sent, since the signals belong to the upstream that has the
// address at that time.
func (r *poolRunner) signalRecorder(address string) func(*outbound.Response) ResponseInfo {
	entry := r.entryAt(address)
	return func(response *outbound.Response) ResponseInfo {
		info := r.dialect.DecodeResponse(response.Status, response.Header)
		if entry != nil {
			r.signals.record(r.view(), entry, info)
		}
		return info
	}
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
	if !r.mayCall(address, "memory_query") {
		return // The scheduler continues without a response.
	}
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
	recordSignals := r.signalRecorder(address)
	response, err := r.doOnce(ctx, address, r.dialect.EncodeMemoryQuery(address), closedAfterMemoryQuery)
	if err != nil {
		return 0, err
	}
	recordSignals(response)
	if response.Status != http.StatusOK {
		return 0, errors.Newf("status %d", response.Status)
	}
	return r.dialect.DecodeFreeMemory(response.Body)
}

// doOnce sends a request whose response does not identify it, on a connection of its own.
func (r *poolRunner) doOnce(ctx context.Context, address string, request *outbound.Request, reason string) (*outbound.Response, error) {
	request.SingleUse = true
	response, err := r.client.Do(ctx, address, request, maxStageResponseBytes)
	if !errors.Is(err, outbound.ErrNotSent) {
		r.countClosed(reason)
	}
	return response, err
}

// mayCall reports whether a call that is not work may be sent to the upstream at an address.
func (r *poolRunner) mayCall(address, call string) bool {
	entry := r.entryAt(address)
	return entry == nil || r.signals.mayCall(instanceOf(entry), call)
}

// entryAt returns the upstream that is registered at an address, or nil.
func (r *poolRunner) entryAt(address string) *registry.Entry {
	if view := r.view(); view != nil {
		return view.ByAddress[address]
	}
	return nil
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

// sendRelease tells an upstream to delete results and reports whether the call succeeded. While the
// upstream asks for no traffic, the release is dropped and the results expire.
func (r *poolRunner) sendRelease(address string, handles []string) bool {
	if !r.mayCall(address, "release") {
		return false
	}
	request, err := r.dialect.EncodeRelease(address, handles)
	if err != nil {
		r.logger.Error("failed to encode a release", obs.ErrorField(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	recordSignals := r.signalRecorder(address)
	response, err := r.releases.Do(ctx, address, request, maxStageResponseBytes)
	if err != nil {
		r.logger.Info("release failed; the upstream keeps the results until they expire", zap.String("address", address), zap.Int("results", len(handles)), obs.ErrorField(err))
		return false
	}
	return recordSignals(response).Pause == 0
}
