package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/obs"
	"github.com/hornbeamhoist/hornbeamhoist/internal/outbound"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
)

const (
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 32 << 20
	// maxMisdirected bounds the sends that reached another upstream or none; they do not
	// count as sends to an upstream.
	maxMisdirected = 4
	// freshForSingle bounds how long a connection may have been idle for a request that may
	// run only once: one that meets the close of an idle connection is lost.
	freshForSingle = 2 * time.Second
	// busyPause is the pause before the next look for an upstream when all are at a limit.
	busyPause = 20 * time.Millisecond
	// busyPart is the part of the objective for which a request waits for a place.
	busyPart = 8
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

// forward sends the request to upstreams until one has answered.
func (t *transfer) forward() *errkind.Error {
	t.s.upstreams.deposit(t.pool)
	misdirected, remade := 0, 0
	for {
		taken, failure := t.takeUpstream()
		if failure != nil {
			return failure
		}
		end, held, detail := t.attempt(taken)
		if end != attemptDone {
			t.s.logger.Info("attempt ended", zap.String("request", t.call.ID), zap.String("upstream", taken.entry.ID),
				zap.String("pool", t.pool), zap.String("end", attemptNames[end]), zap.Int("send", len(t.tried)), zap.String("detail", detail),
				zap.Duration("elapsed", t.s.now().Sub(t.arrived)))
		}
		switch end {
		case attemptDone:
			return nil
		case attemptOver:
			return t.timedOut()
		case attemptNotSent:
			misdirected++
			if misdirected > maxMisdirected {
				return t.refusal(errkind.NoUpstream, detail)
			}
			continue
		case attemptInputsGone:
			remade++
			if remade > remakes || !t.s.upstreams.repeat(t.pool) {
				return t.refusal(errkind.Overloaded, "results of the stages are gone")
			}
			delete(t.tried, taken.entry.ID)
			if failure := t.remakeInputs(); failure != nil {
				return failure
			}
			continue
		}
		if again := t.mayTryAgain(end); !again {
			return t.giveUp(end, held, detail)
		}
		held.discard()
		if t.inputs == nil && len(t.route.Stages) > 0 {
			if failure := t.remakeInputs(); failure != nil {
				return failure
			}
		}
	}
}

func (t *transfer) remakeInputs() *errkind.Error {
	t.releaseInputs()
	return t.makeInputs()
}

// mayTryAgain reports whether another upstream may get the request.
func (t *transfer) mayTryAgain(end attemptEnd) bool {
	if len(t.tried) >= t.route.MaxUpstreams || t.left() <= 0 {
		return false
	}
	if end != attemptRejected && !t.mayRepeat() {
		return false
	}
	if end == attemptBroken && t.s.poisonous(t) {
		return false
	}
	return t.s.upstreams.repeat(t.pool)
}

// giveUp ends the request after its last attempt.
func (t *transfer) giveUp(end attemptEnd, held *wholeAnswer, detail string) *errkind.Error {
	switch end {
	case attemptFailed:
		// The upstream's own answer says more than one of this system.
		held.write(t)
		return nil
	case attemptRejected:
		return t.refusal(errkind.Overloaded, detail)
	}
	if t.begun {
		return errkind.New(errkind.StreamBroken, detail)
	}
	return errkind.New(errkind.UpstreamFailed, detail).Raise(errkind.Unknown)
}

// takeUpstream chooses an upstream. If all are at a limit it waits for a short part of the
// objective, since places come back all the time.
func (t *transfer) takeUpstream() (*lease, *errkind.Error) {
	query := t.query()
	until := t.s.now().Add(min(t.route.Objective/busyPart, t.left()))
	for {
		view := t.s.view.Load()
		taken, exclusion := t.s.upstreams.take(view, t.pool, query, t.promptTokens())
		if taken != nil {
			return taken, nil
		}
		if t.ctx.Err() != nil {
			return nil, t.timedOut()
		}
		if exclusion == placement.NoneInService {
			return nil, t.refusal(errkind.NoUpstream, "pool "+t.pool+" has no upstream in service")
		}
		if t.s.now() >= until {
			return nil, t.refusal(errkind.Overloaded, "each upstream of pool "+t.pool+" is at a limit or was tried")
		}
		pause(t.ctx, busyPause)
	}
}

// query describes the request for the choice of its upstream.
func (t *transfer) query() *placement.Query {
	return &placement.Query{
		Prefix: t.sharedPrefix(), Zone: t.s.settings.Zone, Tried: t.tried, MaxInFlight: t.s.maxInFlight(t.view, t.pool),
	}
}

// maxInFlight returns this VM's part of the connections to one upstream.
func (s *Server) maxInFlight(view *View, pool string) int {
	if view.Catalog == nil || view.Catalog.Pools[pool] == nil || view.Catalog.Pools[pool].MaxConnections == 0 {
		return 0
	}
	return max(1, view.Catalog.Pools[pool].MaxConnections/max(1, int(s.fleetSize.Load())))
}

// sharedPrefix returns the last part of the prompt that other requests share.
func (t *transfer) sharedPrefix() string {
	parts := t.call.Prefix
	if len(parts) == 0 || !t.route.Prefixes {
		return ""
	}
	return parts[max(0, len(parts)-2)].ID
}

func (t *transfer) promptTokens() int { return t.call.PromptTokens }

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
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.Cold(now, verdict.Cold) })
	}
	switch {
	case verdict.ID != "" && verdict.ID != t.call.ID:
		t.mayHaveRun = true
		return attemptBroken, nil, "the answer belongs to request " + verdict.ID
	case verdict.Misdirected:
		delete(t.tried, taken.entry.ID)
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.Unreachable(now) })
		return attemptNotSent, nil, "another upstream has the address"
	case verdict.InputsGone:
		return attemptInputsGone, nil, "results of the stages are gone"
	case verdict.NotRun:
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.Rejected(now) })
		return attemptRejected, nil, "the upstream has no place"
	}
	t.mayHaveRun = true
	if strings.HasPrefix(exchange.Header.Get("Content-Type"), "text/event-stream") && exchange.Status < 300 {
		return t.stream(taken, exchange)
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
	taken.with(func(now clock.Instant, u *placement.Upstream) { u.Unreachable(now) })
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
		request.FreshWithin = freshForSingle
	}
	return request
}

// wholeAnswer is an upstream's answer that is not a stream.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *wholeAnswer) discard() {}

// whole reads the answer before any of it is passed on, so that a broken one can be
// replaced.
func (t *transfer) whole(taken *lease, exchange *outbound.Exchange, verdict Verdict) (attemptEnd, *wholeAnswer, string) {
	body, err := io.ReadAll(io.LimitReader(exchange.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.Newf("the answer has over %d bytes", maxAnswerBytes)
	}
	if err != nil {
		if t.ctx.Err() != nil {
			return attemptOver, nil, err.Error()
		}
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.Failed(now) })
		return attemptBroken, nil, err.Error()
	}
	answer := &wholeAnswer{status: exchange.Status, header: answerHeader(exchange.Header), body: body}
	taken.firstByte()
	if exchange.Status >= http.StatusInternalServerError {
		taken.with(func(now clock.Instant, u *placement.Upstream) { u.Failed(now) })
		if !verdict.Sealed || isPromise(answer.status) {
			// Without a proof it is not the upstream's answer, and a status that promises
			// that the request did not run must not pass.
			return attemptBroken, nil, "status " + http.StatusText(answer.status) + " that is no answer of the upstream"
		}
		return attemptFailed, answer, http.StatusText(answer.status)
	}
	if exchange.Status < 300 && !verdict.Sealed {
		return attemptBroken, nil, "the answer has no proof"
	}
	elapsed := float64(t.s.now().Sub(taken.started))
	expected := float64(max(t.route.Objective/expectedPart, time.Millisecond))
	taken.with(func(now clock.Instant, u *placement.Upstream) { u.Succeeded(now, elapsed/expected) })
	answer.write(t)
	return attemptDone, nil, ""
}

// expectedPart is the part of the objective that an answer normally takes.
const expectedPart = 3

// isPromise reports whether a status says that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (a *wholeAnswer) write(t *transfer) {
	header := t.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	t.w.WriteHeader(a.status)
	if _, err := t.w.Write(a.body); err != nil {
		t.s.logger.Info("answer not delivered", zap.String("request", t.call.ID), obs.Reason(err))
	}
}

// hopHeaders concern one connection alone.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// answerHeader returns the header of an upstream's answer for the caller.
func answerHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHop(header)
	return header
}

// removeHop removes the headers that concern one connection.
func removeHop(header http.Header) {
	for _, listed := range header["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// RequestHeader returns the header of a caller's request without what concerns one
// connection or the length of the body, which the system sends whole.
func RequestHeader(from http.Header) http.Header {
	header := from.Clone()
	removeHop(header)
	header.Del("Content-Length")
	header.Del("Expect")
	return header
}
