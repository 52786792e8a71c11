// Package pipeline runs one request through the stages of its route. A Run is a
// deterministic state machine: its methods handle events and return actions, which the
// driver carries out.
//
// Invariants:
//   - A stage's input is built from exactly one accepted answer of each pool of the stage
//     before it. All other answers are dropped and counted, no matter when they arrive
//     (guarantees G1 and G4).
//   - A pool of a non-idempotent stage is called again only if the upstream refused the
//     connection of the earlier call, so that no byte of it arrived (guarantee G6).
//   - Each ticket that dispatch.Core issues for a call ends with exactly one ActionDone or
//     ActionCancelQueued, unless the Core refuses the call.
//   - A refusal says not_run only if no byte of a non-idempotent call can have reached an
//     upstream (guarantee G5).
package pipeline

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// maxAttempts bounds the calls of one pool for one stage. Retries are usually
// limited by the retry budget; this limit applies in a pool that refuses every connection.
const maxAttempts = 8

// Config describes a request.
type Config struct {
	// RequestID is the unique ID of the request.
	RequestID string
	Route     *table.Route
	Tables    *table.Tables
	Workspace string
	Deadline  clock.Instant
	// ContentType and Body are the request of the caller. They must not be modified until
	// Run.Idle returns true.
	ContentType string
	Body        []byte
}

// Run is the state of one request. It is not safe for concurrent use.
type Run struct {
	config Config
	// stage is the index of the current stage.
	stage int
	input payload
	// fingerprint identifies the request at the stage. prefix is the hash of the prompt prefix
	// of the stage's input.
	fingerprint dispatch.Fingerprint
	prefix      uint64
	branches    []branch
	calls       []call
	attempts    int
	// openCalls is the number of calls that have not ended.
	openCalls  int
	finished   bool
	actions    []Action
	dropCounts DropCounts

	// callSent is set once a call was started.
	callSent bool
	// stageCompleted is set once a stage has completed.
	stageCompleted bool
	// nonIdempotentSent is set while a byte of a non-idempotent call may have reached an upstream.
	nonIdempotentSent bool
	// nonIdempotentRan is set once a non-idempotent stage has completed.
	nonIdempotentRan bool
	// tokensEmitted is the number of tokens sent to the caller.
	tokensEmitted int
	// streaming is set once any part of the answer was sent to the caller.
	streaming bool
}

// branch is the state of one pool in the current stage.
type branch struct {
	pool     *table.Pool
	result   payload
	done     bool
	attempts int
	tried    []string
	// lastError is the error of the last failed attempt.
	lastError *errkind.Error
}

// New returns a run that has not started.
func New(config Config) *Run { return &Run{config: config} }

// Start starts the first stage.
//
// The slice of actions that this and the other methods return is valid until the next call.
func (r *Run) Start(now clock.Instant) []Action {
	r.actions = r.actions[:0]
	r.input = payload{r.config.ContentType, r.config.Body}
	r.beginStage(now)
	return r.actions
}

// Idle reports whether the request has finished and no call is open.
func (r *Run) Idle() bool { return r.finished && r.openCalls == 0 }

// DropCounts returns the numbers of dropped events.
func (r *Run) DropCounts() DropCounts { return r.dropCounts }

// NonIdempotentSent reports whether a byte of a non-idempotent call may have reached an
// upstream. Otherwise the claim on the request may be released.
func (r *Run) NonIdempotentSent() bool { return r.nonIdempotentSent }

// beginStage requests an upstream of each pool of the current stage.
func (r *Run) beginStage(now clock.Instant) {
	stage := &r.config.Route.Stages[r.stage]
	if stage.Input == table.InputBoth {
		r.input = requestAndPrevious(payload{r.config.ContentType, r.config.Body}, r.input)
	}
	r.fingerprint = fingerprint(r.config.Route.Name, stage.Name, r.config.Body)
	r.prefix = 0
	if stage.Affinity == table.AffinityPrefix {
		r.prefix = prefixHash(r.input.body)
	}
	r.attempts = 0
	r.branches = r.branches[:0]
	for _, name := range stage.Pools {
		r.branches = append(r.branches, branch{pool: r.config.Tables.Pool(name)})
	}
	for i := range r.branches {
		if r.branches[i].pool == nil {
			r.refuse(errkind.New(errkind.Internal, "no pool "+stage.Pools[i]))
			return
		}
	}
	for i := range r.branches {
		r.requestUpstream(now, i, false, false)
	}
}

// currentStage returns the current stage.
func (r *Run) currentStage() *table.Stage { return &r.config.Route.Stages[r.stage] }

// streamsAnswer reports whether the current stage is answered token by token.
func (r *Run) streamsAnswer() bool {
	return r.config.Route.Answer == table.AnswerStream &&
		r.stage == len(r.config.Route.Stages)-1 && len(r.branches) == 1
}

// advanceIfComplete starts the next stage or finishes the request once every pool has
// answered. The last stage's answer is delivered even if the deadline has just passed.
func (r *Run) advanceIfComplete(now clock.Instant) {
	for i := range r.branches {
		if !r.branches[i].done {
			return
		}
	}
	r.stageCompleted = true
	r.nonIdempotentRan = r.nonIdempotentRan || !r.currentStage().Idempotent
	if r.streamsAnswer() {
		r.finish(Action{Kind: ActionFinish, Result: &Result{ContentType: r.branches[0].result.contentType, Streamed: true}})
		return
	}
	r.input = r.stageResult()
	if r.stage == len(r.config.Route.Stages)-1 {
		r.finish(Action{Kind: ActionFinish, Result: &Result{ContentType: r.input.contentType, Body: r.input.body}})
		return
	}
	r.stage++
	r.beginStage(now)
}

func (r *Run) stageResult() payload {
	if len(r.branches) == 1 {
		return r.branches[0].result
	}
	results := make([]payload, len(r.branches))
	for i := range r.branches {
		results[i] = r.branches[i].result
	}
	return joinResults(r.currentStage().Pools, results)
}

// Expire ends the request at its deadline. Before the deadline it has no effect.
func (r *Run) Expire(now clock.Instant) []Action {
	r.actions = r.actions[:0]
	if !now.Before(r.config.Deadline) {
		r.refuse(errkind.New(errkind.DeadlineExceeded, "in stage "+r.currentStage().Name))
	}
	return r.actions
}

// Abort ends the request, for example because its caller has disconnected or the VM stops.
func (r *Run) Abort(reason *errkind.Error) []Action {
	r.actions = r.actions[:0]
	r.refuse(reason)
	return r.actions
}

// refuse ends the request with an error. It raises the error's run state to what is known
// about calls so far.
func (r *Run) refuse(err *errkind.Error) {
	switch {
	case r.nonIdempotentRan:
		err = err.RaiseRunState(errkind.Ran)
	case r.nonIdempotentSent:
		err = err.RaiseRunState(errkind.Unknown)
	case r.stageCompleted && r.config.Route.Idempotent():
		err = err.RaiseRunState(errkind.Ran)
	case r.callSent && err.Kind == errkind.DeadlineExceeded && r.config.Route.Idempotent():
		// Sent calls may still be running. A request that only waited did not run.
		err = err.RaiseRunState(errkind.Unknown)
	}
	r.finish(Action{Kind: ActionFinish, Refusal: err})
}

// finish ends the request and discards all open calls. Further calls have no effect.
func (r *Run) finish(action Action) {
	if r.finished {
		return
	}
	r.finished = true
	r.actions = append(r.actions, action)
	for id := range r.calls {
		r.discard(CallID(id))
	}
}
