package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

const (
	// nonRepeatableMaxIdle bounds how long a connection may have been idle for a request that may
	// run only once. Such a request is lost if the other end closes the idle connection at that
	// moment.
	nonRepeatableMaxIdle = 2 * time.Second
	// responseHeaderTimeoutFactor and responseHeaderTimeoutSlack set the timeout for the response
	// header of an idempotent request, relative to its objective. After it another upstream is
	// tried.
	responseHeaderTimeoutFactor = 1.0
	responseHeaderTimeoutSlack  = 100 * time.Millisecond
)

// attemptOutcome is the outcome of sending the request to one upstream.
type attemptOutcome uint8

const (
	// attemptDone means that the complete response was forwarded to the caller.
	attemptDone attemptOutcome = iota
	// attemptNotSent means that the request did not reach the chosen upstream.
	attemptNotSent
	// attemptRejected means that the upstream states that it did not run the request.
	attemptRejected
	// attemptInputsMissing means that the request was not run because a stage result no longer
	// exists.
	attemptInputsMissing
	// attemptBroken means that the upstream may have run the request but sent no valid response.
	attemptBroken
	// attemptFailed means that the upstream responded with an error of its own.
	attemptFailed
	// attemptAborted means that the deadline has passed or the caller has disconnected.
	attemptAborted
)

// attemptOutcomeNames are the names of outcomes in logs.
var attemptOutcomeNames = [...]string{
	attemptDone: "done", attemptNotSent: "not_sent", attemptRejected: "rejected", attemptInputsMissing: "inputs_gone",
	attemptBroken: "broken", attemptFailed: "failed", attemptAborted: "over",
}

// attempt sends the request to one upstream and forwards its response to the caller. It also
// returns an error response that was not forwarded, and a detail for logs.
func (t *transaction) attempt(upstreamLease *lease) (attemptOutcome, *bufferedResponse, string) {
	defer upstreamLease.release()
	t.upstream = upstreamLease.entry.ID
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	headerTimer := t.startResponseHeaderTimer(cancel)
	exchange, err := t.s.client.Start(ctx, upstreamLease.entry.Address, t.upstreamRequest(upstreamLease))
	if headerTimer != nil {
		headerTimer.Stop()
	}
	if err != nil {
		return t.handleStartError(upstreamLease, err)
	}
	defer exchange.Close()
	t.tried[upstreamLease.entry.ID] = true
	info := t.s.dialect.DecodeResponse(exchange.Status, exchange.Header)
	if info.ColdRemaining > 0 {
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordColdStart(now, info.ColdRemaining) })
	}
	switch {
	case info.RequestID != "" && info.RequestID != t.requestInfo.ID:
		t.mayHaveRun = true
		return attemptBroken, nil, "the answer belongs to request " + info.RequestID
	case info.Misdirected:
		delete(t.tried, upstreamLease.entry.ID)
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
		return attemptNotSent, nil, "another upstream has the address"
	case info.InputsMissing:
		return attemptInputsMissing, nil, "results of the stages are gone"
	case info.NotRun:
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordRejection(now) })
		return attemptRejected, nil, "the upstream has no place"
	}
	t.mayHaveRun = true
	if strings.HasPrefix(exchange.Header.Get("Content-Type"), "text/event-stream") && exchange.Status < 300 {
		return t.relayStream(upstreamLease, exchange)
	}
	if t.responseStarted {
		// The caller has received the start of a stream; only the rest of it may follow.
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, "status " + strconv.Itoa(exchange.Status) + " in place of the rest of the stream"
	}
	return t.relayResponse(upstreamLease, exchange, info)
}

// startResponseHeaderTimer starts a timer that cancels the attempt of an idempotent request when
// its response header is overdue and another upstream may still respond in time. It returns nil
// if the attempt has no such limit.
func (t *transaction) startResponseHeaderTimer(cancel context.CancelFunc) *time.Timer {
	if t.route.Kind != catalog.Idempotent || len(t.tried)+1 >= t.route.MaxUpstreams || t.route.Objective == 0 {
		return nil
	}
	timeout := time.Duration(responseHeaderTimeoutFactor*float64(t.route.Objective)) + responseHeaderTimeoutSlack
	if timeout >= t.remaining() {
		return nil
	}
	return time.AfterFunc(timeout, cancel)
}

// handleStartError handles an attempt that ended before the response header arrived.
func (t *transaction) handleStartError(upstreamLease *lease, err error) (attemptOutcome, *bufferedResponse, string) {
	if t.ctx.Err() != nil {
		if !errors.Is(err, outbound.ErrNotSent) {
			t.mayHaveRun = true
			t.tried[upstreamLease.entry.ID] = true
		}
		return attemptAborted, nil, err.Error()
	}
	upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
	if errors.Is(err, outbound.ErrNotSent) {
		return attemptNotSent, nil, err.Error()
	}
	t.tried[upstreamLease.entry.ID] = true
	t.mayHaveRun = true
	t.s.checkForCrash(t, upstreamLease.entry)
	return attemptBroken, nil, err.Error()
}

// upstreamRequest builds the request to the upstream.
func (t *transaction) upstreamRequest(upstreamLease *lease) *outbound.Request {
	pool := t.view.Catalog.Pools[t.pool]
	upstreamRequest := UpstreamRequest{
		Upstream: upstreamLease.entry.ID, TimeLeft: t.remaining(), Priority: t.priority(), LastEventID: t.lastEventID, Resumed: t.lastEventID != "",
		IsEngine: pool != nil && pool.Engine != nil,
	}
	if t.workspace != nil {
		upstreamRequest.Workspace = t.workspace.Name
	}
	if t.inputs != nil {
		upstreamRequest.Inputs = t.inputs.final
	}
	request := &outbound.Request{
		Method: t.r.Method, Target: t.r.RequestURI, Host: t.r.Host, Header: t.s.dialect.UpstreamHeader(t.r.Header, upstreamRequest), Body: t.body,
	}
	if !t.isRepeatable() {
		request.MaxConnIdle = nonRepeatableMaxIdle
	}
	return request
}
