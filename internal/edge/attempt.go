package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

const (
	// freshForSingle bounds how long a connection may have been idle for a request that may
	// run only once: one that meets the close of an idle connection is lost.
	freshForSingle = 2 * time.Second
	// slowFactor and slowSlack bound the wait for the head of an answer of a request that
	// may be repeated: beyond it another upstream is tried.
	slowFactor = 1.0
	slowSlack  = 100 * time.Millisecond
)

// attemptEnd says how one send of the request ended.
type attemptEnd uint8

const (
	// attemptDone means that the caller has the whole answer.
	attemptDone attemptEnd = iota
	// attemptNotSent means that no upstream has seen the request.
	attemptNotSent
	// attemptRejected means that the upstream states that it did not run the request.
	attemptRejected
	// attemptInputsGone means that it was not run since a stage's result is gone.
	attemptInputsGone
	// attemptBroken means that the upstream may have run the request and gave no answer.
	attemptBroken
	// attemptFailed means that the upstream answered with an error of its own.
	attemptFailed
	// attemptOver means that the time is over or the caller has left.
	attemptOver
)

var attemptNames = [...]string{
	attemptDone: "done", attemptNotSent: "not_sent", attemptRejected: "rejected", attemptInputsGone: "inputs_gone",
	attemptBroken: "broken", attemptFailed: "failed", attemptOver: "over",
}

// attempt sends the request to one upstream and passes its answer on.
func (t *transfer) attempt(taken *lease) (attemptEnd, *wholeAnswer, string) {
	defer taken.end()
	t.upstream = taken.entry.ID
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	slow := t.limitHead(cancel)
	exchange, err := t.s.client.Start(ctx, taken.entry.Address, t.request(taken))
	if slow != nil {
		slow.Stop()
	}
	if err != nil {
		return t.startFailed(taken, err)
	}
	defer exchange.Close()
	t.tried[taken.entry.ID] = true
	verdict := t.s.dialect.Judge(exchange.Status, exchange.Header)
	if verdict.Cold > 0 {
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordColdStart(now, verdict.Cold) })
	}
	switch {
	case verdict.ID != "" && verdict.ID != t.call.ID:
		t.mayHaveRun = true
		return attemptBroken, nil, "the answer belongs to request " + verdict.ID
	case verdict.Misdirected:
		delete(t.tried, taken.entry.ID)
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
		return attemptNotSent, nil, "another upstream has the address"
	case verdict.InputsGone:
		return attemptInputsGone, nil, "results of the stages are gone"
	case verdict.NotRun:
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordRejection(now) })
		return attemptRejected, nil, "the upstream has no place"
	}
	t.mayHaveRun = true
	if strings.HasPrefix(exchange.Header.Get("Content-Type"), "text/event-stream") && exchange.Status < 300 {
		return t.stream(taken, exchange)
	}
	if t.begun {
		// Only the rest of the stream may follow what the caller has of it.
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordError(now) })
		return attemptBroken, nil, "status " + strconv.Itoa(exchange.Status) + " in place of the rest of the stream"
	}
	return t.whole(taken, exchange, verdict)
}

// limitHead cancels an attempt that may be repeated when its answer is overdue and another
// upstream may still be on time.
func (t *transfer) limitHead(cancel context.CancelFunc) *time.Timer {
	if t.route.Kind != catalog.Idempotent || len(t.tried)+1 >= t.route.MaxUpstreams || t.route.Objective == 0 {
		return nil
	}
	bound := time.Duration(slowFactor*float64(t.route.Objective)) + slowSlack
	if bound >= t.left() {
		return nil
	}
	return time.AfterFunc(bound, cancel)
}

func (t *transfer) startFailed(taken *lease, err error) (attemptEnd, *wholeAnswer, string) {
	if t.ctx.Err() != nil {
		if !errors.Is(err, outbound.ErrNotSent) {
			t.mayHaveRun = true
			t.tried[taken.entry.ID] = true
		}
		return attemptOver, nil, err.Error()
	}
	taken.with(func(now clock.Instant, u *placement.Upstream) { u.RecordUnreachable(now) })
	if errors.Is(err, outbound.ErrNotSent) {
		return attemptNotSent, nil, err.Error()
	}
	t.tried[taken.entry.ID] = true
	t.mayHaveRun = true
	t.s.suspect(t, taken.entry)
	return attemptBroken, nil, err.Error()
}

// request builds the request for the upstream.
func (t *transfer) request(taken *lease) *outbound.Request {
	pool := t.view.Catalog.Pools[t.pool]
	delivery := Delivery{
		Upstream: taken.entry.ID, Left: t.left(), Priority: t.priority(), LastEvent: t.lastEvent, Resumed: t.lastEvent != "",
		Engine: pool != nil && pool.Engine != nil,
	}
	if t.workspace != nil {
		delivery.Workspace = t.workspace.Name
	}
	if t.inputs != nil {
		delivery.Inputs = t.inputs.final
	}
	request := &outbound.Request{
		Method: t.r.Method, Target: t.r.RequestURI, Host: t.r.Host, Header: t.s.dialect.Deliver(t.r.Header, delivery), Body: t.body,
	}
	if !t.mayRepeat() {
		request.MaxConnIdle = freshForSingle
	}
	return request
}
