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
	// headTimeoutFactor and headTimeoutSlack set the timeout for the response header of an
	// idempotent request, relative to its objective. After it another upstream is tried.
	headTimeoutFactor = 1.0
	headTimeoutSlack  = 100 * time.Millisecond
)

// attemptOutcome is the outcome of sending the request to one upstream.
type attemptOutcome uint8

const (
	// attemptDone means that the complete response was passed on to the caller.
	attemptDone attemptOutcome = iota
	// attemptNotSent means that no upstream of the pool has received the request.
	attemptNotSent
	// attemptRejected means that the upstream states that it did not run the request.
	attemptRejected
	// attemptInputsMissing means that it was not run because a stage result no longer exists.
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

// attempt sends the request to one upstream and passes its response on. It also returns an error
// response that was not passed on, and a detail for logs.
func (t *transaction) attempt(acquired *lease) (attemptOutcome, *bufferedResponse, string) {
	defer acquired.release()
	t.upstream = acquired.entry.ID
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	headTimer := t.startHeadTimer(cancel)
	exchange, err := t.s.client.Start(ctx, acquired.entry.Address, t.upstreamRequest(acquired))
	if headTimer != nil {
		headTimer.Stop()
	}
	if err != nil {
		return t.handleStartError(acquired, err)
	}
	defer exchange.Close()
	t.tried[acquired.entry.ID] = true
	verdict := t.s.dialect.DecodeResponse(exchange.Status, exchange.Header)
	if verdict.ColdStartLeft > 0 {
		acquired.update(func(now clock.Instant, u *placement.Upstream) { u.RecordColdStart(now, verdict.ColdStartLeft) })
	}
	switch {
	case verdict.RequestID != "" && verdict.RequestID != t.requestInfo.ID:
		t.mayHaveRun = true
		return attemptBroken, nil, "the answer belongs to request " + verdict.RequestID
	case verdict.Misdirected:
		delete(t.tried, acquired.entry.ID)
		acquired.update(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
		return attemptNotSent, nil, "another upstream has the address"
	case verdict.InputsGone:
		return attemptInputsMissing, nil, "results of the stages are gone"
	case verdict.NotRun:
		acquired.update(func(now clock.Instant, u *placement.Upstream) { u.RecordRejection(now) })
		return attemptRejected, nil, "the upstream has no place"
	}
	t.mayHaveRun = true
	if strings.HasPrefix(exchange.Header.Get("Content-Type"), "text/event-stream") && exchange.Status < 300 {
		return t.relayStream(acquired, exchange)
	}
	if t.responseStarted {
		// The caller has the start of a stream, which only the rest of it may follow.
		acquired.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, "status " + strconv.Itoa(exchange.Status) + " in place of the rest of the stream"
	}
	return t.relayResponse(acquired, exchange, verdict)
}

// startHeadTimer starts a timer that cancels the attempt of an idempotent request when its
// response header is overdue and another upstream may still respond in time. It returns nil if
// the attempt has no such limit.
func (t *transaction) startHeadTimer(cancel context.CancelFunc) *time.Timer {
	if t.route.Kind != catalog.Idempotent || len(t.tried)+1 >= t.route.MaxUpstreams || t.route.Objective == 0 {
		return nil
	}
	timeout := time.Duration(headTimeoutFactor*float64(t.route.Objective)) + headTimeoutSlack
	if timeout >= t.remaining() {
		return nil
	}
	return time.AfterFunc(timeout, cancel)
}

// handleStartError handles an attempt that ended before the response header arrived.
func (t *transaction) handleStartError(acquired *lease, err error) (attemptOutcome, *bufferedResponse, string) {
	if t.ctx.Err() != nil {
		if !errors.Is(err, outbound.ErrNotSent) {
			t.mayHaveRun = true
			t.tried[acquired.entry.ID] = true
		}
		return attemptAborted, nil, err.Error()
	}
	acquired.update(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
	if errors.Is(err, outbound.ErrNotSent) {
		return attemptNotSent, nil, err.Error()
	}
	t.tried[acquired.entry.ID] = true
	t.mayHaveRun = true
	t.s.checkForCrash(t, acquired.entry)
	return attemptBroken, nil, err.Error()
}

// upstreamRequest builds the request to the upstream.
func (t *transaction) upstreamRequest(acquired *lease) *outbound.Request {
	pool := t.view.Catalog.Pools[t.pool]
	delivery := UpstreamRequest{
		Upstream: acquired.entry.ID, TimeLeft: t.remaining(), Priority: t.priority(), LastEventID: t.lastEventID, Resumed: t.lastEventID != "",
		IsEngine: pool != nil && pool.Engine != nil,
	}
	if t.workspace != nil {
		delivery.Workspace = t.workspace.Name
	}
	if t.inputs != nil {
		delivery.Inputs = t.inputs.final
	}
	request := &outbound.Request{
		Method: t.r.Method, Target: t.r.RequestURI, Host: t.r.Host, Header: t.s.dialect.UpstreamHeader(t.r.Header, delivery), Body: t.body,
	}
	if !t.isRepeatable() {
		request.MaxConnIdle = nonRepeatableMaxIdle
	}
	return request
}
