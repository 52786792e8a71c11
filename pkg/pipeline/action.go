package pipeline

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// CallID identifies a call within its Run.
type CallID int

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionSelect requests an upstream: pass Selection to dispatch.Core.Select, and the
	// Choice and any later Grant to Run.Selected.
	ActionSelect ActionKind = iota
	// ActionCall starts a call. Its end must be passed to Run.Ended exactly once. If Hedge
	// is set, start a timer of Core.HedgeAfter and call Run.HedgeDue when it expires.
	ActionCall
	// ActionCancel cancels a running call. Its end must still be passed to Run.Ended.
	ActionCancel
	// ActionCancelQueued passes Ticket to Core.CancelQueued.
	ActionCancelQueued
	// ActionDone passes Ticket and Outcome to Core.Done.
	ActionDone
	// ActionEmit sends Data to the caller as the next event of a streamed answer.
	ActionEmit
	// ActionFinish ends the request with Result or Refusal. It occurs exactly once.
	ActionFinish
)

// Action is a step that the driver of a Run carries out. Fields that the kind does not use
// are zero.
type Action struct {
	Kind      ActionKind
	Call      CallID
	Selection dispatch.Selection
	Request   *UpstreamRequest
	Hedge     bool
	Ticket    dispatch.Ticket
	Outcome   dispatch.Outcome
	Data      []byte
	Result    *Result
	Refusal   *errkind.Error
}

// UpstreamRequest is the request of a call to an upstream.
type UpstreamRequest struct {
	Identity Identity
	Pool     string
	Upstream *table.Upstream
	Priority int
	// Deadline is when the attempt times out.
	Deadline clock.Instant
	// Stream requests the answer token by token.
	Stream bool
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int
	// ContentType and Body are the stage's input. They must not be modified.
	ContentType string
	Body        []byte
}

// Result is the complete answer to a request. A streamed answer has no body.
type Result struct {
	ContentType string
	Body        []byte
	Streamed    bool
}
