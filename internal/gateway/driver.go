package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/claim"
	"github.com/hornbeamhoist/hornbeamhoist/internal/upstream"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
)

// eventBufferSize is the number of stream events buffered for a slow caller before
// backpressure slows the upstream down.
const eventBufferSize = 64

// driver executes the actions of one request's Run. The request's goroutine makes one
// call at a time; concurrent calls of a fan-out or a hedge run in goroutines of their own.
type driver struct {
	gateway     *Gateway
	config      *config
	route       *routeEntry
	requestID   string
	workspace   string
	traceparent string
	deadline    clock.Instant

	// claim is the exclusive right to run a non-idempotent request, nil if none is needed.
	claim claim.Run

	// events carries the events of a stream to the caller; it is nil for whole answers.
	events chan []byte
	// deliveryStopped is closed when the caller receives no further events.
	deliveryStopped  chan struct{}
	stopDeliveryOnce sync.Once
	// wake signals new work to the request's goroutine.
	wake chan struct{}

	mu         sync.Mutex
	run        *pipeline.Run
	pending    []pipeline.Action
	readyCalls []pipeline.Action
	calls      []*callState
	// busy is set while the request's goroutine is occupied with a call.
	busy    bool
	result  *pipeline.Result
	refusal *errkind.Error
}

// callState is the driver's state of one call of the Run.
type callState struct {
	cancelHandle upstream.CancelHandle
	selection    dispatch.Selection
	queued       bool
	// hedgeDelay is the time from dispatch to the hedge, valid if hedgeAllowed is set.
	hedgeDelay   time.Duration
	hedgeAllowed bool
	hedgeTimer   *time.Timer
	tokenCount   int
}

// execute runs the request until it has finished and all its calls have ended.
func (d *driver) execute() {
	d.mu.Lock()
	now := d.gateway.options.Now()
	d.perform(now, d.run.Start(now))
	d.mu.Unlock()
	for {
		d.mu.Lock()
		if d.run.Idle() {
			d.mu.Unlock()
			return
		}
		d.busy = len(d.readyCalls) > 0
		if !d.busy {
			finished := d.result != nil || d.refusal != nil
			d.mu.Unlock()
			d.wait(finished)
			continue
		}
		next := d.readyCalls[0]
		d.spawn(d.readyCalls[1:])
		d.readyCalls = d.readyCalls[:0]
		d.mu.Unlock()
		d.makeCall(next)
	}
}

// wait blocks until there is new work or the deadline passes. A finished request waits
// only for its cancelled calls to end.
func (d *driver) wait(finished bool) {
	if finished {
		<-d.wake
		return
	}
	timer := time.NewTimer(d.deadline.Sub(d.gateway.options.Now()))
	defer timer.Stop()
	select {
	case <-d.wake:
	case <-timer.C:
		d.mu.Lock()
		now := d.gateway.options.Now()
		d.perform(now, d.run.Expire(now))
		d.mu.Unlock()
	}
}

func (d *driver) spawn(actions []pipeline.Action) {
	for _, action := range actions {
		go func() {
			d.makeCall(action)
			d.dispatchReady()
		}()
	}
}

// dispatchReady makes sure that new calls start after an event from another goroutine: it
// starts them if the request's goroutine is busy, and wakes that goroutine.
func (d *driver) dispatchReady() {
	d.mu.Lock()
	if d.busy {
		d.spawn(d.readyCalls)
		d.readyCalls = d.readyCalls[:0]
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// onGrant continues a queued call for which the Core has granted an upstream.
func (d *driver) onGrant(call pipeline.CallID, grant dispatch.Grant) {
	d.mu.Lock()
	now := d.gateway.options.Now()
	d.perform(now, d.run.Selected(now, call, grant))
	d.mu.Unlock()
	d.dispatchReady()
}

// onHedgeDue starts a hedge when its delay has passed.
func (d *driver) onHedgeDue(call pipeline.CallID) {
	d.mu.Lock()
	now := d.gateway.options.Now()
	d.perform(now, d.run.HedgeDue(now, call))
	d.mu.Unlock()
	d.dispatchReady()
}

// abort ends the request because its caller has disconnected.
func (d *driver) abort(reason *errkind.Error) {
	d.stopDelivery()
	d.mu.Lock()
	d.perform(d.gateway.options.Now(), d.run.Abort(reason))
	d.mu.Unlock()
	d.dispatchReady()
}

// stopDelivery stops passing a stream's events to the caller.
func (d *driver) stopDelivery() { d.stopDeliveryOnce.Do(func() { close(d.deliveryStopped) }) }

// perform executes actions and those that follow from them. The caller holds d.mu.
func (d *driver) perform(now clock.Instant, actions []pipeline.Action) {
	d.pending = append(d.pending[:0], actions...)
	for i := 0; i < len(d.pending); i++ {
		action := d.pending[i]
		switch action.Kind {
		case pipeline.ActionSelect:
			choice := d.selectUpstream(now, action)
			d.pending = append(d.pending, d.run.Selected(now, action.Call, choice)...)
		case pipeline.ActionCall:
			d.prepareCall(now, action)
		case pipeline.ActionCancel:
			d.calls[action.Call].cancelHandle.Cancel()
		case pipeline.ActionCancelQueued:
			d.gateway.cancelQueued(now, action.Ticket)
		case pipeline.ActionDone:
			d.gateway.finishCall(now, action.Ticket, action.Outcome)
		case pipeline.ActionFinish:
			d.result, d.refusal = action.Result, action.Refusal
		}
	}
}

func (d *driver) selectUpstream(now clock.Instant, action pipeline.Action) dispatch.Choice {
	for len(d.calls) <= int(action.Call) {
		d.calls = append(d.calls, &callState{})
	}
	state := d.calls[action.Call]
	state.selection = action.Selection
	if action.Selection.Extra {
		d.gateway.metrics.extraAttempts.WithLabelValues(d.route.definition.Name, action.Selection.Pool).Inc()
	}
	result := d.gateway.selectUpstream(now, d, action.Call, action.Selection)
	state.queued, state.hedgeDelay, state.hedgeAllowed = result.Queued, result.hedgeDelay, result.hedgeAllowed
	return result.Choice
}

// prepareCall adds a call to readyCalls and starts its hedge timer.
func (d *driver) prepareCall(now clock.Instant, action pipeline.Action) {
	d.readyCalls = append(d.readyCalls, action)
	if !action.Hedge {
		return
	}
	state := d.calls[action.Call]
	if state.queued {
		state.hedgeDelay, state.hedgeAllowed = d.gateway.hedgeAfter(now, state.selection)
	}
	if !state.hedgeAllowed {
		return
	}
	id := action.Call
	state.hedgeTimer = time.AfterFunc(state.hedgeDelay, func() { d.onHedgeDue(id) })
}

// makeCall makes one call to an upstream and passes its outcome to the Run.
func (d *driver) makeCall(action pipeline.Action) {
	request := action.Request
	d.mu.Lock()
	state := d.calls[action.Call]
	d.mu.Unlock()
	pool := d.config.tables.Pool(request.Pool)
	call := upstream.Call{
		Identity: request.Identity, Address: request.Upstream.Address, Path: pool.Path,
		Workspace: d.workspace, Traceparent: d.traceparent, Priority: request.Priority,
		Deadline:    time.Now().Add(request.Deadline.Sub(d.gateway.options.Now())),
		ContentType: request.ContentType, Body: request.Body,
		Stream: request.Stream, ResumeFrom: request.ResumeFrom,
		EchoesIdentity: pool.Features.EchoesIdentity, SupportsCancel: pool.Features.Cancel,
		NonIdempotent: !d.route.definition.Stages[state.selection.Stage].Idempotent,
	}
	if request.Stream {
		call.OnEvent = func(data []byte, token bool) { d.emit(action.Call, state, request.Identity, data, token) }
	}
	if detail := d.checkClaim(&call); detail != "" {
		d.callEnded(action, state, &upstream.Result{Outcome: dispatch.OutcomeCancelled, Permanent: true, Detail: detail}, true)
		return
	}
	result := d.gateway.client.Do(&state.cancelHandle, &call)
	d.callEnded(action, state, &result, false)
}

// checkClaim returns why a non-idempotent call may not be made, or "". The claim may have
// expired while the process was paused.
func (d *driver) checkClaim(call *upstream.Call) string {
	if !call.NonIdempotent || d.claim == nil {
		return ""
	}
	if refusal := d.claim.Check(); refusal != nil {
		return refusal.Detail
	}
	return ""
}

func (d *driver) callEnded(action pipeline.Action, state *callState, result *upstream.Result, unsent bool) {
	request := action.Request
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.hedgeTimer != nil {
		state.hedgeTimer.Stop()
	}
	now := d.gateway.options.Now()
	lateBefore := d.run.DropCounts().Late
	d.perform(now, d.run.Ended(now, pipeline.CallEnd{
		Call: action.Call, Identity: request.Identity, Outcome: result.Outcome, Elapsed: result.Elapsed,
		Load: result.Load, Permanent: result.Permanent, Unsent: unsent, Detail: result.Detail,
		ContentType: result.ContentType, Body: result.Body,
	}))
	used := result.Outcome == dispatch.OutcomeSuccess && d.run.DropCounts().Late == lateBefore
	d.gateway.metrics.recordAttempt(d, state, request, result, used)
	if result.Outcome != dispatch.OutcomeSuccess && result.Outcome != dispatch.OutcomeCancelled {
		d.gateway.options.Logger.Warn("attempt failed",
			zap.String("request", d.requestID), zap.String("route", d.route.definition.Name),
			zap.String("stage", request.Identity.Stage), zap.Int("attempt", request.Identity.Attempt),
			zap.String("upstream", request.Upstream.Name), zap.String("outcome", outcomeNames[result.Outcome]),
			zap.String("detail", result.Detail), zap.Duration("elapsed", result.Elapsed))
	}
}

// emit passes a stream event to the caller. It blocks while the event buffer is full.
func (d *driver) emit(id pipeline.CallID, state *callState, identity pipeline.Identity, data []byte, token bool) {
	d.mu.Lock()
	if token {
		state.tokenCount++
	}
	deliver := len(d.run.StreamEvent(d.gateway.options.Now(), id, identity, data, token)) > 0
	d.mu.Unlock()
	if !deliver {
		return
	}
	select {
	case d.events <- append([]byte(nil), data...):
	case <-d.deliveryStopped:
	}
}
