// Package pipeline runs one request through the stages of its route. A Run is a
// deterministic state machine: events go in, actions come out, and the driver carries
// the actions out.
//
// Invariants:
//   - A stage's input is built from exactly one accepted answer of each pool of the stage
//     before it. Every other answer is dropped and counted, whenever it arrives (G1, G4).
//   - A call of a non-idempotent stage follows an earlier one of the same run only if that
//     one was refused at connect, so that no byte of it reached an upstream (G6).
//   - Each reservation of the Core ends with exactly one ActionDone or ActionAbandon.
//   - A refusal says not_run only if no byte of a non-idempotent call can have reached an
//     upstream (G5).
package pipeline

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// maxAttempts bounds the calls of one pool for one stage. The retry budget is the real
// limit; this one only bounds a run through a pool in which every connection is refused.
const maxAttempts = 8

// Config describes a request.
type Config struct {
	// Request is the identity of this arrival.
	Request   string
	Route     *table.Route
	Tables    *table.Tables
	Workspace string
	Deadline  clock.Instant
	// ContentType and Body are the caller's. They must not change until Run.Idle.
	ContentType string
	Body        []byte
}

// Run is the state of one request. It is not safe for concurrent use.
type Run struct {
	config Config
	// stage is the index of the current stage.
	stage int
	input payload
	// fingerprint identifies the request at the stage, prefix the start of its input.
	fingerprint dispatch.Fingerprint
	prefix      uint64
	branches    []branch
	calls       []call
	attempts    int
	// open is the number of calls that hold a ticket or run.
	open     int
	finished bool
	actions  []Action
	counts   Counts

	// sent is set once a call was sent to an upstream.
	sent bool
	// stageRan is set once a stage has completed.
	stageRan bool
	// unsafeSent is set while a byte of a non-idempotent call may have reached an upstream.
	unsafeSent bool
	// unsafeRan is set once a non-idempotent call was answered with success.
	unsafeRan bool
	// emitted is the number of tokens passed to the caller.
	emitted int
	// streaming is set once any part of the answer was passed to the caller.
	streaming bool
}

// branch is the part of a stage that one pool serves.
type branch struct {
	pool     *table.Pool
	result   payload
	done     bool
	attempts int
	tried    []string
	// failure is why the last attempt failed.
	failure *errkind.Error
}

// New returns a run that has not started.
func New(config Config) *Run { return &Run{config: config} }

// Start begins the first stage.
//
// The actions that this and the other methods return are valid until the next call.
func (r *Run) Start(now clock.Instant) []Action {
	r.actions = r.actions[:0]
	r.input = payload{r.config.ContentType, r.config.Body}
	r.beginStage(now)
	return r.actions
}

// Idle reports whether the request has finished and no call is open.
func (r *Run) Idle() bool { return r.finished && r.open == 0 }

// Counts returns the dropped events.
func (r *Run) Counts() Counts { return r.counts }

// UnsafeSent reports whether a byte of a non-idempotent call may have reached an
// upstream. If not, a claim on the request may be released.
func (r *Run) UnsafeSent() bool { return r.unsafeSent }

// beginStage starts every pool of the current stage.
func (r *Run) beginStage(now clock.Instant) {
	stage := &r.config.Route.Stages[r.stage]
	if stage.Input == table.InputBoth {
		r.input = bothInput(payload{r.config.ContentType, r.config.Body}, r.input)
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
		r.selectFor(now, i, false, false)
	}
}

// current returns the stage in progress.
func (r *Run) current() *table.Stage { return &r.config.Route.Stages[r.stage] }

// streams reports whether the current stage is answered token by token.
func (r *Run) streams() bool {
	return r.config.Route.Answer == table.AnswerStream &&
		r.stage == len(r.config.Route.Stages)-1 && len(r.branches) == 1
}

// completeStage is called when a pool has answered. An answer of the last stage is
// delivered even if the deadline has just passed.
func (r *Run) completeStage(now clock.Instant) {
	for i := range r.branches {
		if !r.branches[i].done {
			return
		}
	}
	r.stageRan = true
	r.unsafeRan = r.unsafeRan || !r.current().Idempotent
	if r.streams() {
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
	return joinResults(r.current().Pools, results)
}

// Expire ends the request at its deadline. An early call has no effect.
func (r *Run) Expire(now clock.Instant) []Action {
	r.actions = r.actions[:0]
	if !now.Before(r.config.Deadline) {
		r.refuse(errkind.New(errkind.DeadlineExceeded, "in stage "+r.current().Name))
	}
	return r.actions
}

// Abort ends the request because its caller has gone or the VM gives it up.
func (r *Run) Abort(reason *errkind.Error) []Action {
	r.actions = r.actions[:0]
	r.refuse(reason)
	return r.actions
}

// refuse ends the request with an error whose run state is what has happened so far.
func (r *Run) refuse(err *errkind.Error) {
	switch {
	case r.unsafeRan:
		err = err.RaiseRunState(errkind.Ran)
	case r.unsafeSent:
		err = err.RaiseRunState(errkind.Unknown)
	case r.stageRan && r.config.Route.Idempotent():
		err = err.RaiseRunState(errkind.Ran)
	case r.sent && err.Kind == errkind.DeadlineExceeded && r.config.Route.Idempotent():
		// The calls under way may still run; a request that only waited did not.
		err = err.RaiseRunState(errkind.Unknown)
	}
	r.finish(Action{Kind: ActionFinish, Refusal: err})
}

// finish ends the request once and gives up what is still open.
func (r *Run) finish(action Action) {
	if r.finished {
		return
	}
	r.finished = true
	r.actions = append(r.actions, action)
	for id := range r.calls {
		r.giveUp(CallID(id))
	}
}
