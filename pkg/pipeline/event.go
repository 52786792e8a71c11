package pipeline

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// CallEnd describes how a call ended.
type CallEnd struct {
	Call     CallID
	Identity Identity
	Outcome  dispatch.OutcomeKind
	Elapsed  time.Duration
	Load     *dispatch.LoadReport
	// Permanent marks an error that every upstream would return, such as status 400.
	Permanent bool
	// Unsent is set if no byte of the call can have reached an upstream, although the
	// connection was not refused, for example because the claim that permits the call had
	// expired.
	Unsent bool
	// Detail describes the error without any request content.
	Detail string
	// ContentType and Body are the answer of a successful call. A streamed answer has no body.
	ContentType string
	Body        []byte
}

// DropCounts counts the events that a Run dropped.
type DropCounts struct {
	// Late counts successful answers and events of calls that were no longer needed, because
	// they were cancelled or another attempt was faster.
	Late int
	// Duplicate counts repeated events, such as a second end of a call.
	Duplicate int
	// Foreign counts events with the identity of another call.
	Foreign int
}
