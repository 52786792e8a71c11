package edge

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

const (
	// nonRepeatableMaxIdle bounds how long a connection may have been idle for a request that may
	// run only once. Such a request is lost if the other end closes the idle connection at that
	// moment.
	nonRepeatableMaxIdle = 2 * time.Second
	// responseTimeoutFactor and responseTimeoutSlack set the timeout for the response to an
	// idempotent request, relative to its objective. After it another upstream is tried.
	responseTimeoutFactor = 1.0
	responseTimeoutSlack  = 100 * time.Millisecond
)

// attemptOutcome is the outcome of sending the request to one upstream.
type attemptOutcome uint8

const (
	// attemptDone means that the complete response was forwarded to the caller.
	attemptDone attemptOutcome = iota
	// attemptNotSent means that the request did not reach the chosen upstream.
	attemptNotSent
	// attemptWithheld means that the request was not sent because of a signal of the upstream, which
	// took effect after the upstream was chosen.
	attemptWithheld
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
	attemptDone: "done", attemptNotSent: "not_sent", attemptWithheld: "withheld", attemptRejected: "rejected", attemptInputsMissing: "inputs_gone",
	attemptBroken: "broken", attemptFailed: "failed", attemptAborted: "over",
}

// placementResults are what the owner of an engine learns of the outcomes.
var placementResults = [...]enginepool.Result{
	attemptDone: enginepool.Completed, attemptNotSent: enginepool.Unreachable, attemptWithheld: enginepool.Aborted,
	attemptRejected: enginepool.Rejected, attemptInputsMissing: enginepool.Aborted,
	attemptBroken: enginepool.Unreachable, attemptFailed: enginepool.Failed, attemptAborted: enginepool.Aborted,
}

// attempt sends the request to one upstream and forwards its response to the caller. It also
// returns an error response that was not forwarded, and a detail for logs.
func (t *transaction) attempt(upstreamLease *lease) (outcome attemptOutcome, response *bufferedResponse, detail string) {
	defer upstreamLease.release()
	if upstreamLease.placed != nil {
		defer func() { t.s.reportOutcome(upstreamLease, outcome) }()
	}
	t.upstream = upstreamLease.entry.ID
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	progress := newProgressTimer(t.s.now, t.responseTimeout(), cancel)
	defer progress.stop()
	defer t.leaveSuspectZone(upstreamLease.entry.Zone, progress, cancel)()
	exchange, err := t.s.client.Start(ctx, upstreamLease.entry.Address, t.upstreamRequest(upstreamLease))
	if err != nil {
		return t.handleStartError(upstreamLease, err)
	}
	defer exchange.Close()
	t.tried[upstreamLease.entry.ID] = true
	upstreamLease.recordResponse()
	info := t.s.dialect.DecodeResponse(exchange.Status, exchange.Header)
	if info.RequestID != "" && info.RequestID != t.requestInfo.ID {
		// A late copy of an earlier response must not begin another pause.
		info.Pause, info.PauseInvalid = 0, false
	}
	t.s.signals.record(t.s.view.Load(), upstreamLease.entry, info)
	if info.RequestID == "" {
		// A late second copy of this response could not be told from the response to the next
		// request on the connection.
		defer exchange.Discard()
	}
	if outcome, detail, isFinal := t.checkResponseHead(upstreamLease, info); isFinal {
		return outcome, nil, detail
	}
	if strings.HasPrefix(exchange.Header.Get("Content-Type"), "text/event-stream") && exchange.Status < http.StatusMultipleChoices {
		return t.relayStream(upstreamLease, exchange, progress)
	}
	if t.responseStarted {
		// The caller has received the start of a stream; only the rest of it may follow.
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, "status " + strconv.Itoa(exchange.Status) + " in place of the rest of the stream"
	}
	return t.relayResponse(upstreamLease, exchange, cancel)
}

// checkResponseHead handles a response whose head decides the outcome of the attempt, and reports
// whether it does. Otherwise the body decides, and the upstream may have run the request.
func (t *transaction) checkResponseHead(upstreamLease *lease, info ResponseInfo) (outcome attemptOutcome, detail string, isFinal bool) {
	if info.ColdRemaining > 0 {
		upstreamLease.cold = info.ColdRemaining
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordColdStart(now, info.ColdRemaining) })
	}
	switch {
	case info.RequestID != "" && info.RequestID != t.requestInfo.ID:
		t.mayHaveRun = true
		return attemptBroken, "the answer belongs to request " + info.RequestID, true
	case info.Misdirected:
		delete(t.tried, upstreamLease.entry.ID)
		upstreamLease.recordUnreachable()
		return attemptNotSent, "another upstream has the address", true
	case info.InputsMissing:
		return attemptInputsMissing, "results of the stages are gone", true
	case info.NotRun && info.Pause > 0:
		return attemptRejected, pauseDetail, true
	case info.NotRun:
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordRejection(now) })
		return attemptRejected, "the upstream has no place", true
	}
	t.mayHaveRun = true
	if info.Pause > 0 {
		return attemptBroken, pauseDetail + " and may have run the request", true
	}
	if info.RequestID == "" || info.Encoded || !info.Sealed {
		upstreamLease.update(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, "the answer is not the upstream's own: it has no request ID, no seal, or an encoding", true
	}
	return 0, "", false
}

// pauseDetail says in logs that an upstream asked for no traffic, which is no failure of it.
const pauseDetail = "the upstream asks for no traffic"

// responseTimeout returns how long an attempt may take until its first progress: the first event
// of a stream, or the whole response of another request. The caller of a stream waits from its last
// event on, which another upstream may have sent.
func (t *transaction) responseTimeout() time.Duration {
	if t.route.Kind == catalog.Stream {
		return max(t.arrived, t.lastEventAt).Add(streamPatience(t.route) + patienceMargin).Sub(t.s.now())
	}
	timeout := time.Duration(responseTimeoutFactor*float64(t.route.Objective)) + responseTimeoutSlack
	if t.route.Kind != catalog.Idempotent || len(t.tried)+1 >= t.route.MaxUpstreams || t.route.Objective == 0 || timeout >= t.remaining() {
		return t.remaining()
	}
	return timeout
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
	if errors.Is(err, errWithheld) {
		return attemptWithheld, nil, err.Error()
	}
	if errors.Is(err, outbound.ErrNotSent) {
		upstreamLease.recordUnsent(err)
		return attemptNotSent, nil, err.Error()
	}
	t.tried[upstreamLease.entry.ID] = true
	t.mayHaveRun = true
	t.recordBroken(upstreamLease, err)
	return attemptBroken, nil, err.Error()
}

// recordBroken records that the connection to the upstream broke while it may have run the request.
func (t *transaction) recordBroken(upstreamLease *lease, err error) {
	if upstreamLease.recordPathFailure(err) {
		return
	}
	upstreamLease.recordUnreachable()
	t.s.checkForCrash(t, upstreamLease.entry)
}

// beforeSend returns the check whether the request may still be sent to the chosen upstream.
func (t *transaction) beforeSend(entry *registry.Entry) func() error {
	checkSignals := t.s.signals.beforeSend(entry, requestSend)
	return func() error {
		if err := t.checkVersion(entry); err != nil {
			return err
		}
		if err := t.s.signals.checkRegistration(t.s.view.Load(), entry, requestSend); err != nil {
			return err
		}
		return checkSignals()
	}
}

// upstreamRequest builds the request to the upstream.
func (t *transaction) upstreamRequest(upstreamLease *lease) *outbound.Request {
	pool := t.view.Catalog.Pools[t.pool]
	upstreamRequest := UpstreamRequest{
		Upstream: upstreamLease.entry.ID, TimeLeft: t.remaining(), Priority: t.priority(), LastEventID: t.lastEventID, Resumed: t.lastEventID != "",
		IsEngine: pool != nil && pool.Engine != nil, CacheSource: upstreamLease.cacheSource,
	}
	if t.workspace != nil {
		upstreamRequest.Workspace = t.workspace.Name
	}
	if t.inputs != nil {
		upstreamRequest.Inputs = t.inputs.final
	}
	request := &outbound.Request{
		Method: t.r.Method, Target: t.target.String(), Host: t.r.Host, Header: t.s.dialect.UpstreamHeader(t.r.Header, upstreamRequest), Body: t.body,
		BeforeSend: t.beforeSend(upstreamLease.entry),
	}
	if !t.isRepeatable() {
		request.MaxConnIdle = nonRepeatableMaxIdle
	}
	return request
}
