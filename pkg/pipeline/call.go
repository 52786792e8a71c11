package pipeline

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

type callState uint8

const (
	// callSelecting is waiting for the Choice.
	callSelecting callState = iota
	// callQueued is waiting for a Grant.
	callQueued
	// callRunning is running at an upstream.
	callRunning
	// callEnded holds no ticket any more.
	callEnded
)

// call is one attempt of a branch in a stage.
type call struct {
	stage  int
	branch int
	state  callState
	// discarded is set once the run does not need the answer any more.
	discarded bool
	hedge     bool
	ticket    dispatch.Ticket
	identity  Identity
	upstream  *table.Upstream
}

// requestUpstream requests an upstream for the next attempt of a branch. extra marks a retry
// or hedge that is charged to the retry budget.
func (r *Run) requestUpstream(now clock.Instant, branchIndex int, extra, hedge bool) {
	if r.finished {
		return
	}
	if !now.Before(r.config.Deadline) {
		r.refuse(errkind.New(errkind.DeadlineExceeded, "before stage "+r.currentStage().Name))
		return
	}
	b := &r.branches[branchIndex]
	id := CallID(len(r.calls))
	r.calls = append(r.calls, call{stage: r.stage, branch: branchIndex, hedge: hedge})
	r.openCalls++
	r.actions = append(r.actions, Action{
		Kind: ActionSelect, Call: id,
		Selection: dispatch.Selection{
			Route: r.config.Route, Stage: r.stage, Pool: b.pool.Name, Workspace: r.config.Workspace,
			Deadline: r.config.Deadline, Fingerprint: r.fingerprint, Prefix: r.prefix,
			// A retry may wait for an available upstream. A hedge that waits has no benefit.
			Exclude: b.tried, Extra: extra, MayWait: extra && !hedge,
		},
	})
}

// Selected handles the Choice for a call, or the Grant for a queued call.
func (r *Run) Selected(now clock.Instant, id CallID, choice dispatch.Choice) []Action {
	r.actions = r.actions[:0]
	c := &r.calls[id]
	if c.state != callSelecting && c.state != callQueued {
		r.dropCounts.Duplicate++
		return r.actions
	}
	switch {
	case choice.Refusal != nil:
		r.closeCall(c)
		r.handleSelectionRefused(c, choice.Refusal)
	case choice.Queued:
		c.state, c.ticket = callQueued, choice.Ticket
		if c.discarded {
			r.closeCall(c)
			r.actions = append(r.actions, Action{Kind: ActionCancelQueued, Ticket: c.ticket})
		}
	default:
		c.ticket = choice.Ticket
		r.startCall(now, id, choice)
	}
	return r.actions
}

// handleSelectionRefused refuses the request unless another attempt of the branch may still
// succeed.
func (r *Run) handleSelectionRefused(c *call, refusal *errkind.Error) {
	if c.discarded || r.finished || r.hasOpenCalls(c.branch) {
		return
	}
	// The error of the previous attempt is kept if its retry is refused.
	if lastError := r.branches[c.branch].lastError; lastError != nil && refusal.Kind != errkind.PoisonRequest {
		combined := *lastError
		combined.Detail += "; no further attempt: " + refusal.Detail
		refusal = &combined
	}
	r.refuse(refusal)
}

// startCall starts a call for which an upstream was reserved, unless the call was discarded
// or the deadline has passed.
func (r *Run) startCall(now clock.Instant, id CallID, choice dispatch.Choice) {
	c := &r.calls[id]
	expired := !now.Before(r.config.Deadline)
	if c.discarded || expired {
		r.closeCall(c)
		r.actions = append(r.actions, Action{
			Kind: ActionDone, Call: id, Ticket: c.ticket, Outcome: dispatch.Outcome{Kind: dispatch.OutcomeCancelled},
		})
		if expired && !c.discarded {
			r.refuse(errkind.New(errkind.DeadlineExceeded, "before stage "+r.currentStage().Name))
		}
		return
	}
	stage := r.currentStage()
	b := &r.branches[c.branch]
	r.attempts++
	b.attempts++
	b.tried = append(b.tried, choice.Upstream.Name)
	c.state, c.upstream = callRunning, choice.Upstream
	r.callSent = true
	c.identity = Identity{RequestID: r.config.RequestID, Stage: stage.Name, Attempt: r.attempts}
	if !stage.Idempotent {
		r.nonIdempotentSent = true
	}
	deadline := r.config.Deadline
	if limit := now.Add(stage.Timeout); stage.Timeout > 0 && limit.Before(deadline) && !r.streamsAnswer() {
		deadline = limit
	}
	r.actions = append(r.actions, Action{
		Kind: ActionCall, Call: id, Ticket: c.ticket,
		Hedge: stage.Idempotent && !c.hedge && !r.streamsAnswer(),
		Request: &UpstreamRequest{
			Identity: c.identity, Pool: b.pool.Name, Upstream: choice.Upstream, Priority: choice.Priority,
			Deadline: deadline, Stream: r.streamsAnswer(), ResumeFrom: r.tokensEmitted,
			ContentType: r.input.contentType, Body: r.input.body,
		},
	})
}

// HedgeDue starts a hedge for a slow call.
func (r *Run) HedgeDue(now clock.Instant, id CallID) []Action {
	r.actions = r.actions[:0]
	c := &r.calls[id]
	if c.state == callRunning && !c.discarded && !r.finished && !r.hasOtherOpenCalls(id) {
		r.requestUpstream(now, c.branch, true, true)
	}
	return r.actions
}

// Ended handles the end of a call.
func (r *Run) Ended(now clock.Instant, end CallEnd) []Action {
	r.actions = r.actions[:0]
	c := r.runningCall(end.Call, end.Identity)
	if c == nil {
		return r.actions
	}
	r.closeCall(c)
	r.actions = append(r.actions, Action{
		Kind: ActionDone, Call: end.Call, Ticket: c.ticket,
		Outcome: dispatch.Outcome{Kind: end.Outcome, Elapsed: end.Elapsed, Load: end.Load},
	})
	if c.discarded || r.finished || r.branches[c.branch].done {
		if end.Outcome == dispatch.OutcomeSuccess {
			r.dropCounts.Late++
		}
		return r.actions
	}
	if end.Outcome == dispatch.OutcomeSuccess {
		r.handleSuccess(now, end, c)
		return r.actions
	}
	r.handleFailure(now, end, c)
	return r.actions
}

// StreamEvent handles one event of a streamed answer. data is the event as sent to the caller.
// isToken is set if the event is a token, which a resumed stream must not repeat.
func (r *Run) StreamEvent(_ clock.Instant, id CallID, identity Identity, data []byte, isToken bool) []Action {
	r.actions = r.actions[:0]
	c := r.runningCall(id, identity)
	if c == nil {
		return r.actions
	}
	if c.discarded || r.finished {
		r.dropCounts.Late++
		return r.actions
	}
	if isToken {
		r.tokensEmitted++
	}
	r.streaming = true
	r.actions = append(r.actions, Action{Kind: ActionEmit, Call: id, Data: data})
	return r.actions
}

// runningCall returns the running call that an event belongs to. Otherwise it counts the
// event as dropped and returns nil.
func (r *Run) runningCall(id CallID, identity Identity) *call {
	if int(id) < 0 || int(id) >= len(r.calls) {
		r.dropCounts.Foreign++
		return nil
	}
	c := &r.calls[id]
	if c.identity != identity {
		r.dropCounts.Foreign++
		return nil
	}
	if c.state != callRunning {
		r.dropCounts.Duplicate++
		return nil
	}
	return c
}

func (r *Run) handleSuccess(now clock.Instant, end CallEnd, c *call) {
	b := &r.branches[c.branch]
	b.done = true
	b.result = payload{end.ContentType, end.Body}
	for id := range r.calls {
		if r.calls[id].stage == c.stage && r.calls[id].branch == c.branch {
			r.discard(CallID(id))
		}
	}
	r.advanceIfComplete(now)
}

// handleFailure retries a failed attempt or refuses the request.
func (r *Run) handleFailure(now clock.Instant, end CallEnd, c *call) {
	stage := r.currentStage()
	b := &r.branches[c.branch]
	refused := end.Outcome == dispatch.OutcomeRefused
	if (refused || end.Unsent) && !stage.Idempotent && !r.nonIdempotentRan {
		// Each pool of a non-idempotent stage has at most one open call, and this one sent
		// no byte. Calls to other pools of the stage may have.
		r.nonIdempotentSent = r.otherNonIdempotentSent()
	}
	b.lastError = r.callError(end, c)
	switch {
	case r.hasOpenCalls(c.branch):
	case !now.Before(r.config.Deadline):
		r.refuse(errkind.New(errkind.DeadlineExceeded, "in stage "+stage.Name))
	case r.mayRetry(end, b, refused):
		r.requestUpstream(now, c.branch, !refused, false)
	default:
		r.refuse(b.lastError)
	}
}

// otherNonIdempotentSent reports whether a call to a pool of this non-idempotent stage is
// running or succeeded.
func (r *Run) otherNonIdempotentSent() bool {
	for i := range r.calls {
		c := &r.calls[i]
		if c.stage == r.stage && (c.state == callRunning || r.branches[c.branch].done) {
			return true
		}
	}
	return false
}

// mayRetry reports whether the branch may have another attempt.
func (r *Run) mayRetry(end CallEnd, b *branch, refused bool) bool {
	switch {
	case end.Permanent || b.attempts >= maxAttempts || len(b.tried) >= len(b.pool.Upstreams):
		return false
	case refused:
		return true
	case !r.currentStage().Idempotent:
		return false
	case r.streaming:
		return b.pool.Features.Resume
	}
	return true
}

// callError returns the error to report to the caller for a failed attempt.
func (r *Run) callError(end CallEnd, c *call) *errkind.Error {
	kind := errkind.UpstreamFailed
	switch {
	case r.streaming:
		kind = errkind.StreamBroken
	case end.Outcome == dispatch.OutcomeOverloaded && r.currentStage().Idempotent:
		kind = errkind.Overloaded
	case end.Outcome == dispatch.OutcomeRefused:
		kind = errkind.NoUpstream
	case end.Unsent:
		kind = errkind.ClaimUnavailable
	}
	return errkind.New(kind, "stage "+c.identity.Stage+" at "+c.upstream.Name+": "+end.Detail)
}

// discard cancels a queued or running call whose answer is not needed any more.
func (r *Run) discard(id CallID) {
	c := &r.calls[id]
	if c.discarded {
		return
	}
	c.discarded = true
	switch c.state {
	case callQueued:
		r.closeCall(c)
		r.actions = append(r.actions, Action{Kind: ActionCancelQueued, Call: id, Ticket: c.ticket})
	case callRunning:
		r.actions = append(r.actions, Action{Kind: ActionCancel, Call: id})
	}
}

func (r *Run) closeCall(c *call) {
	c.state = callEnded
	r.openCalls--
}

// hasOpenCalls reports whether the branch has an open call in the current stage that was not
// discarded.
func (r *Run) hasOpenCalls(branchIndex int) bool { return r.countOpenCalls(branchIndex, -1) > 0 }

// hasOtherOpenCalls reports whether the branch of the call has another such call.
func (r *Run) hasOtherOpenCalls(id CallID) bool {
	return r.countOpenCalls(r.calls[id].branch, id) > 0
}

func (r *Run) countOpenCalls(branchIndex int, except CallID) int {
	count := 0
	for i := range r.calls {
		c := &r.calls[i]
		if CallID(i) != except && c.stage == r.stage && c.branch == branchIndex && c.state != callEnded && !c.discarded {
			count++
		}
	}
	return count
}
