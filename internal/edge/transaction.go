package edge

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/resume"
)

// transaction is one HTTP request of a caller and its response.
type transaction struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	ctx  context.Context
	view *View

	requestInfo RequestInfo
	route       *catalog.Route
	target      catalog.Target
	workspace   *catalog.Workspace
	pool        string
	// prefix holds the parts of the prompt by which the request is placed.
	prefix []placement.PrefixLevel
	// parts are the parts of the prompt that other requests may have too.
	parts []poison.Part
	// partsAnswered is set once the answer shows that the parts crash no upstream.
	partsAnswered bool
	requestBody   *body
	// body is the content of requestBody.
	body []byte
	// bodyInterrupted is set if this VM stopped reading the body. The HTTP server then cancels the
	// context of the request, as it does when the caller disconnects.
	bodyInterrupted bool
	fingerprint     poison.Fingerprint

	// due is when the response should be complete, and deadline when the request is aborted.
	arrived  clock.Instant
	due      clock.Instant
	deadline clock.Instant

	// levelDues holds for each level when its stages should be done; it is empty until the
	// stages are reserved, and after they must run again.
	levelDues []clock.Instant
	// shards holds for each stage the name of the shard in which it is reserved; "" if it is not.
	shards []string

	// tried holds the IDs of the upstreams to which the request was sent.
	tried map[string]bool
	// mayHaveRun is set once an upstream may have started to run the request.
	mayHaveRun bool
	inputs     *inputSet
	// stageTime is the total time spent on stages.
	stageTime time.Duration
	// stopElapsed is the time from the stop signal to the arrival of the request and its body; 0 if
	// they arrived before.
	stopElapsed time.Duration
	// responseStarted is set once part of the response has been written.
	responseStarted bool
	// firstEvent is the time from the arrival of the request to its first event; 0 before it.
	firstEvent  time.Duration
	lastEventID string
	// origin is the pool and the software version that must send the next event; nil before the first
	// event of a stream that the caller does not resume.
	origin *resume.Origin
	// isResumed is set if the caller resumes a stream that has been begun for certain.
	isResumed bool
	// lastEventAt is when the last event was forwarded; 0 before the first one.
	lastEventAt clock.Instant
	events      int
	upstream    string
	// retryAfter is the delay after which a refused caller should retry; 0 means the default of
	// the refusal's kind.
	retryAfter time.Duration
	// retryNotBefore is when the upstreams of a pool accept traffic again at the earliest, if the
	// request is refused for that reason.
	retryNotBefore clock.Instant
	// stagesPausedUntil is when the stages can run at the earliest, if all upstreams of one of them
	// ask for no traffic; 0 otherwise.
	stagesPausedUntil clock.Instant
}

// remaining returns the time until the deadline.
func (t *transaction) remaining() time.Duration { return t.deadline.Sub(t.s.now()) }

// priority returns the priority of the workspace or, if it has none, that of the route.
func (t *transaction) priority() int {
	if t.workspace != nil && t.workspace.HasPriority {
		return t.workspace.Priority
	}
	return t.route.Priority
}

// routeRanks is the number of ranks of routes that are told apart within one rank of workspaces.
const routeRanks = 3

// stagePriority returns the rank of the request in the pools of its stages, where it competes with
// other routes. The rank of its workspace takes precedence, and that of its route decides among
// workspaces of the same rank. Resumed streams come first: their callers have a part of the answer, and
// there are no more of them than streams broke off.
func (t *transaction) stagePriority() int {
	if t.isResumed {
		return 0
	}
	return routeRanks*t.priority() + min(max(t.route.Priority, 0), routeRanks-1)
}

// logFields returns the log fields that describe the request.
func (t *transaction) logFields() []zap.Field {
	fields := []zap.Field{zap.String("request", t.requestInfo.ID)}
	if t.route != nil {
		fields = append(fields, zap.String("route", t.route.Name), zap.String("pool", t.pool), zap.Int("priority", t.stagePriority()))
	}
	if t.workspace != nil {
		fields = append(fields, zap.String("workspace", t.workspace.Name))
	}
	if t.view != nil && t.view.Catalog != nil {
		fields = append(fields, zap.Int64("version", t.view.Catalog.Version), positionField(t.view.Position))
	}
	if t.stopElapsed > 0 {
		fields = append(fields, zap.Duration("stop_elapsed", t.stopElapsed))
	}
	return append(fields, zap.Duration("elapsed", t.s.now().Sub(t.arrived)))
}

// isRepeatable reports whether the request may be sent again although an upstream may have run
// it.
func (t *transaction) isRepeatable() bool {
	return t.route.Kind == catalog.Idempotent || (t.route.Kind == catalog.Stream && t.route.Resumable)
}

// refuseUntil sets the delay after which the caller should retry to the end of a pause of upstreams.
func (t *transaction) refuseUntil(until clock.Instant) {
	t.retryNotBefore, t.retryAfter = until, until.Sub(t.s.now())
}

// newError returns an error of the kind. If the request may have run, a kind that promises the
// opposite is replaced by UpstreamFailed with an unknown run state.
func (t *transaction) newError(kind errkind.Kind, detail string) *errkind.Error {
	failure := errkind.New(kind, detail)
	if t.mayHaveRun && failure.Kind.Response().Status == http.StatusServiceUnavailable {
		failure.Kind = errkind.UpstreamFailed
		failure = failure.RaiseRunState(errkind.Unknown)
	}
	return failure
}
