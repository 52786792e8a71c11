// Package upstream calls upstreams over HTTP.
//
// It combines its own connection pool with fasthttp's parser. fasthttp's client retries
// calls on its own, and a call that timed out keeps using buffers that the next call may
// reuse; either could duplicate, lose or mix up results. In this package a connection
// serves one call at a time, a call writes its request at most once, and a connection is
// closed unless its call ended with a complete response.
package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
)

// Headers of a stage call.
const (
	HeaderRequest    = "Hoist-Request"
	HeaderStage      = "Hoist-Stage"
	HeaderAttempt    = "Hoist-Attempt"
	HeaderDeadline   = "Hoist-Deadline-Ms"
	HeaderPriority   = "Hoist-Priority"
	HeaderResumeFrom = "Hoist-Resume-From"
	HeaderLoad       = "Hoist-Load"
)

// Call is one attempt of a stage at an upstream.
type Call struct {
	Identity    pipeline.Identity
	Address     string
	Path        string
	Workspace   string
	Traceparent string
	Priority    int
	// Deadline is when the attempt times out.
	Deadline    time.Time
	ContentType string
	// Body must not change until Do returns.
	Body []byte
	// Stream asks for server-sent events; each is passed to OnEvent.
	Stream bool
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	// OnEvent receives each event including its terminating empty line. token is false for
	// events that carry no output, such as comments. The data is only valid until OnEvent
	// returns.
	OnEvent func(data []byte, token bool)
	// EchoesIdentity is set if the upstream returns the identity headers of the call; a
	// response without them is then an error.
	EchoesIdentity bool
	// SupportsCancel is set if the upstream supports POST /cancel.
	SupportsCancel bool
	// NonIdempotent makes the call wait until its deadline even if the connection makes no
	// progress, since a call that must not be retried gains nothing from failing early.
	NonIdempotent bool
}

// Result is the outcome of a call, with the response if there is one.
type Result struct {
	Outcome dispatch.OutcomeKind
	// IdentityMismatch is set if the response carried the identity of another call.
	IdentityMismatch bool
	// Permanent is set if every other upstream would return the same error.
	Permanent   bool
	Detail      string
	Status      int
	ContentType string
	Body        []byte
	Load        *dispatch.LoadReport
	// Elapsed is the time from the start of the call to its end.
	Elapsed time.Duration
}

// CancelHandle allows another goroutine to cancel a call. It serves one call.
type CancelHandle struct {
	mu         sync.Mutex
	cancelled  bool
	conn       net.Conn
	cancelDial func()
}

// Cancel cancels the call; Do returns OutcomeCancelled soon after.
func (h *CancelHandle) Cancel() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = true
	if h.cancelDial != nil {
		h.cancelDial()
	}
	if h.conn != nil {
		// The pending read or write fails at once; the call's goroutine closes the connection.
		_ = h.conn.SetDeadline(time.Unix(1, 0))
	}
}

// Cancelled reports whether Cancel was called.
func (h *CancelHandle) Cancelled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cancelled
}

// setDialCancel sets the function that cancels the dial in progress. It returns false if
// the call was cancelled.
func (h *CancelHandle) setDialCancel(cancel func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelDial = cancel
	return !h.cancelled
}

// setConn sets the connection that Cancel interrupts, nil for none. It returns false if
// the call was cancelled.
func (h *CancelHandle) setConn(conn net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn, h.cancelDial = conn, nil
	return !h.cancelled
}

// setDeadline sets a deadline of the connection unless the call was cancelled, so that
// it does not overwrite the deadline that Cancel set. It returns false if the call was
// cancelled.
func (h *CancelHandle) setDeadline(set func(time.Time) error, deadline time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancelled {
		return false
	}
	_ = set(deadline)
	return true
}
