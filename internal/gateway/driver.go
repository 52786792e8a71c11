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

// outBuffer is the number of events of a stream that wait for a slow caller before the
// upstream is slowed down.
const outBuffer = 64

// driver carries out the actions of one request's Run. The request's own goroutine
// makes one call at a time itself; calls beside it, of a fan-out or a hedge, get their
// own goroutines.
type driver struct {
	g           *Gateway
	config      *config
	route       *routePlan
	request     string
	workspace   string
	traceparent string
	deadline    clock.Instant

	// claim is the right to run a request that must not run twice, nil if none is needed.
	claim claim.Run

	// out passes the events of a stream to the caller; it is nil for whole answers.
	out chan []byte
	// gone is closed when nobody reads out any more.
	gone     chan struct{}
	goneOnce sync.Once
	// wake tells the request's goroutine that there is something to do.
	wake chan struct{}

	mu      sync.Mutex
	run     *pipeline.Run
	pending []pipeline.Action
	ready   []pipeline.Action
	calls   []*callState
	// busy is set while the request's goroutine makes a call.
	busy    bool
	result  *pipeline.Result
	refusal *errkind.Error
}

// callState is what the driver knows about a call of the Run.
type callState struct {
	attempt   upstream.Attempt
	selection dispatch.Selection
	queued    bool
	// hedgeDelay is when to start a hedge after the dispatch, if hedged is set.
	hedgeDelay time.Duration
	hedged     bool
	hedge      *time.Timer
	tokens     int
}

// serve runs the request to its end. When it returns, no call is open.
func (d *driver) serve() {
	d.mu.Lock()
	now := d.g.options.Now()
	d.perform(now, d.run.Start(now))
	d.mu.Unlock()
	for {
		d.mu.Lock()
		if d.run.Idle() {
			d.mu.Unlock()
			return
		}
		d.busy = len(d.ready) > 0
		if !d.busy {
			finished := d.result != nil || d.refusal != nil
			d.mu.Unlock()
			d.wait(finished)
			continue
		}
		own := d.ready[0]
		d.spawn(d.ready[1:])
		d.ready = d.ready[:0]
		d.mu.Unlock()
		d.call(own)
	}
}

// wait returns when something happened or the deadline has passed. A finished request
// waits only for its cancelled calls.
func (d *driver) wait(finished bool) {
	if finished {
		<-d.wake
		return
	}
	timer := time.NewTimer(d.deadline.Sub(d.g.options.Now()))
	defer timer.Stop()
	select {
	case <-d.wake:
	case <-timer.C:
		d.mu.Lock()
		now := d.g.options.Now()
		d.perform(now, d.run.Expire(now))
		d.mu.Unlock()
	}
}

func (d *driver) spawn(actions []pipeline.Action) {
	for _, action := range actions {
		go func() {
			d.call(action)
			d.yield()
		}()
	}
}

// yield passes new work on after an event that did not come from the request's goroutine.
func (d *driver) yield() {
	d.mu.Lock()
	if d.busy {
		d.spawn(d.ready)
		d.ready = d.ready[:0]
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// granted ends the wait of a queued call.
func (d *driver) granted(call pipeline.CallID, grant dispatch.Grant) {
	d.mu.Lock()
	now := d.g.options.Now()
	d.perform(now, d.run.Selected(now, call, grant))
	d.mu.Unlock()
	d.yield()
}

// hedgeDue starts a hedge.
func (d *driver) hedgeDue(call pipeline.CallID) {
	d.mu.Lock()
	now := d.g.options.Now()
	d.perform(now, d.run.HedgeDue(now, call))
	d.mu.Unlock()
	d.yield()
}

// abort ends the request because its caller has gone.
func (d *driver) abort(reason *errkind.Error) {
	d.leave()
	d.mu.Lock()
	d.perform(d.g.options.Now(), d.run.Abort(reason))
	d.mu.Unlock()
	d.yield()
}

// leave stops the delivery of a stream's events.
func (d *driver) leave() { d.goneOnce.Do(func() { close(d.gone) }) }

// perform carries out actions. The caller holds the mutex.
func (d *driver) perform(now clock.Instant, actions []pipeline.Action) {
	d.pending = append(d.pending[:0], actions...)
	for i := 0; i < len(d.pending); i++ {
		action := d.pending[i]
		switch action.Kind {
		case pipeline.ActionSelect:
			choice := d.choose(now, action)
			d.pending = append(d.pending, d.run.Selected(now, action.Call, choice)...)
		case pipeline.ActionCall:
			d.prepare(now, action)
		case pipeline.ActionCancel:
			d.calls[action.Call].attempt.Cancel()
		case pipeline.ActionAbandon:
			d.g.abandon(now, action.Ticket)
		case pipeline.ActionDone:
			d.g.done(now, action.Ticket, action.Outcome)
		case pipeline.ActionFinish:
			d.result, d.refusal = action.Result, action.Refusal
		}
	}
}

func (d *driver) choose(now clock.Instant, action pipeline.Action) dispatch.Choice {
	for len(d.calls) <= int(action.Call) {
		d.calls = append(d.calls, &callState{})
	}
	state := d.calls[action.Call]
	state.selection = action.Selection
	if action.Selection.Extra {
		d.g.metrics.extras.WithLabelValues(d.route.route.Name, action.Selection.Pool).Inc()
	}
	chosen := d.g.selectUpstream(now, d, action.Call, action.Selection)
	state.queued, state.hedgeDelay, state.hedged = chosen.Queued, chosen.hedge, chosen.hedged
	return chosen.Choice
}

// prepare makes a call ready to run and arms its hedge.
func (d *driver) prepare(now clock.Instant, action pipeline.Action) {
	d.ready = append(d.ready, action)
	if !action.Hedge {
		return
	}
	state := d.calls[action.Call]
	if state.queued {
		state.hedgeDelay, state.hedged = d.g.hedgeAfter(now, state.selection)
	}
	if !state.hedged {
		return
	}
	id := action.Call
	state.hedge = time.AfterFunc(state.hedgeDelay, func() { d.hedgeDue(id) })
}

// call makes one call to an upstream and passes its end to the Run.
func (d *driver) call(action pipeline.Action) {
	request := action.Request
	d.mu.Lock()
	state := d.calls[action.Call]
	d.mu.Unlock()
	pool := d.config.tables.Pool(request.Pool)
	call := upstream.Call{
		Identity: request.Identity, Address: request.Upstream.Address, Path: pool.Path,
		Workspace: d.workspace, Traceparent: d.traceparent, Priority: request.Priority,
		Deadline:    time.Now().Add(request.Deadline.Sub(d.g.options.Now())),
		ContentType: request.ContentType, Body: request.Body,
		Stream: request.Stream, ResumeFrom: request.ResumeFrom,
		EchoesIdentity: pool.Features.EchoesIdentity, Cancels: pool.Features.Cancel,
		Patient: !d.route.route.Stages[state.selection.Stage].Idempotent,
	}
	if request.Stream {
		call.OnEvent = func(data []byte, token bool) { d.emit(action.Call, state, request.Identity, data, token) }
	}
	if detail := d.lapsed(&call); detail != "" {
		d.ended(action, state, &upstream.Answer{Outcome: dispatch.OutcomeCancelled, Permanent: true, Detail: detail}, true)
		return
	}
	answer := d.g.client.Do(&state.attempt, &call)
	d.ended(action, state, &answer, false)
}

// lapsed returns why a call that must not run twice may not be made, or "". The claim may
// have lapsed while the process was paused.
func (d *driver) lapsed(call *upstream.Call) string {
	if !call.Patient || d.claim == nil {
		return ""
	}
	if refusal := d.claim.Check(); refusal != nil {
		return refusal.Detail
	}
	return ""
}

func (d *driver) ended(action pipeline.Action, state *callState, answer *upstream.Answer, unsent bool) {
	request := action.Request
	d.mu.Lock()
	defer d.mu.Unlock()
	if state.hedge != nil {
		state.hedge.Stop()
	}
	now := d.g.options.Now()
	late := d.run.DropCounts().Late
	d.perform(now, d.run.Ended(now, pipeline.CallEnd{
		Call: action.Call, Identity: request.Identity, Outcome: answer.Outcome, Elapsed: answer.Elapsed,
		Load: answer.Load, Permanent: answer.Permanent, Unsent: unsent, Detail: answer.Detail,
		ContentType: answer.ContentType, Body: answer.Body,
	}))
	used := answer.Outcome == dispatch.OutcomeSuccess && d.run.DropCounts().Late == late
	d.g.metrics.attempt(d, state, request, answer, used)
	if answer.Outcome != dispatch.OutcomeSuccess && answer.Outcome != dispatch.OutcomeCancelled {
		d.g.options.Logger.Warn("attempt failed",
			zap.String("request", d.request), zap.String("route", d.route.route.Name),
			zap.String("stage", request.Identity.Stage), zap.Int("attempt", request.Identity.Attempt),
			zap.String("upstream", request.Upstream.Name), zap.String("outcome", outcomeNames[answer.Outcome]),
			zap.String("detail", answer.Detail), zap.Duration("elapsed", answer.Elapsed))
	}
}

// emit passes an event of a stream to the caller and waits if the caller is slow.
func (d *driver) emit(id pipeline.CallID, state *callState, identity pipeline.Identity, data []byte, token bool) {
	d.mu.Lock()
	if token {
		state.tokens++
	}
	emits := len(d.run.Token(d.g.options.Now(), id, identity, data, token)) > 0
	d.mu.Unlock()
	if !emits {
		return
	}
	select {
	case d.out <- append([]byte(nil), data...):
	case <-d.gone:
	}
}
