package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/internal/claim"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	routePrefix = "/v1/routes/"
	// maxKeyBytes limits an idempotency key, which is stored on every VM of the group that
	// keeps its claim.
	maxKeyBytes = 256
)

// Handle handles one HTTP request of a caller.
func (g *Gateway) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, routePrefix):
		g.inFlight.Add(1)
		g.handleRoute(ctx, path[len(routePrefix):])
		if !ctx.Response.IsBodyStream() {
			g.inFlight.Add(-1)
		}
	case path == "/healthz":
	case path == "/readyz":
		if reason := g.notReady(); reason != "" {
			ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		}
	case path == "/metrics":
		g.serveMetrics(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// notReady returns why the load balancer should send no requests, or "".
func (g *Gateway) notReady() string {
	current := g.config.Load()
	switch {
	case g.stopping.Load():
		return "stopping"
	case current == nil:
		return "no configuration"
	case current.zoneOutOfService(g.options.Zone):
		return "the zone is out of service"
	case !g.coreReady():
		return "the zone has returned and its upstreams are still cold"
	}
	return ""
}

func (g *Gateway) coreReady() bool {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Ready(now)
}

// incomingRequest is a caller's request with what is known about it on arrival.
type incomingRequest struct {
	ctx            *fasthttp.RequestCtx
	config         *config
	route          *routeEntry
	requestID      string
	workspace      string
	idempotencyKey string
	arrivedAt      clock.Instant
	deadline       clock.Instant
	body           []byte
}

func (g *Gateway) handleRoute(ctx *fasthttp.RequestCtx, name string) {
	in := &incomingRequest{ctx: ctx, arrivedAt: g.options.Now(), requestID: g.requestIDPrefix + "-" + strconv.FormatUint(g.requestSequence.Add(1), 36)}
	if refusal := g.validate(in, name); refusal != nil {
		g.refuse(in, refusal)
		return
	}
	ticket, refusal := g.admit(in)
	if refusal != nil {
		g.refuse(in, refusal)
		return
	}
	claimRun, answered := g.claimRequest(in)
	if answered {
		g.releaseAdmission(ticket)
		return
	}
	g.runPipeline(in, ticket, claimRun)
}

// validate looks up the route and checks the request.
func (g *Gateway) validate(in *incomingRequest, name string) *errkind.Error {
	if !in.ctx.IsPost() {
		return errkind.New(errkind.BadRequest, "the method must be POST")
	}
	in.config = g.config.Load()
	if in.config == nil {
		return errkind.New(errkind.NotConfigured, "no snapshot of the agent yet")
	}
	if in.route = in.config.routes[name]; in.route == nil {
		return errkind.New(errkind.UnknownRoute, strconv.Quote(name))
	}
	in.deadline = in.arrivedAt.Add(in.route.definition.Deadline)
	if g.draining.Load() {
		in.ctx.SetConnectionClose()
		return errkind.New(errkind.Draining, "")
	}
	header := &in.ctx.Request.Header
	if in.workspace = string(header.Peek("Workspace")); in.config.tables.Workspace(in.workspace) == nil {
		return errkind.New(errkind.UnknownWorkspace, strconv.Quote(in.workspace))
	}
	if in.idempotencyKey = string(header.Peek("Idempotency-Key")); len(in.idempotencyKey) > maxKeyBytes {
		return errkind.New(errkind.BadRequest, "the Idempotency-Key has more than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	in.body = in.ctx.PostBody()
	g.recordDeadline(in.deadline)
	return nil
}

// recordDeadline records the deadline of a request that is taken.
func (g *Gateway) recordDeadline(deadline clock.Instant) {
	for last := g.lastDeadline.Load(); int64(deadline) > last; last = g.lastDeadline.Load() {
		if g.lastDeadline.CompareAndSwap(last, int64(deadline)) {
			return
		}
	}
}

func (g *Gateway) admit(in *incomingRequest) (dispatch.Ticket, *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Admit(in.arrivedAt, dispatch.Admission{Route: in.route.definition, Workspace: in.workspace, Deadline: in.deadline})
}

func (g *Gateway) releaseAdmission(ticket dispatch.Ticket) {
	now := g.options.Now()
	g.updateCore(func(core *dispatch.Core) dispatch.Effects { return core.Leave(now, ticket) })
}

// claimRequest claims the right to run a non-idempotent request. It returns true if the
// request has been answered already.
func (g *Gateway) claimRequest(in *incomingRequest) (claim.Run, bool) {
	if in.route.idempotent || in.idempotencyKey == "" {
		return nil, false
	}
	if g.options.Claimer == nil {
		g.refuse(in, errkind.New(errkind.ClaimUnavailable, "claims are not configured"))
		return nil, true
	}
	ctx, cancel := context.WithTimeout(context.Background(), in.deadline.Sub(g.options.Now()))
	defer cancel()
	key := claim.Key{Workspace: in.workspace, Route: in.route.definition.Name, IdempotencyKey: in.idempotencyKey}
	decision := g.options.Claimer.Claim(ctx, key, in.deadline)
	switch {
	case decision.Refusal != nil:
		g.refuse(in, decision.Refusal)
		return nil, true
	case decision.Result != nil:
		in.ctx.SetStatusCode(decision.Result.Status)
		in.ctx.SetContentType(decision.Result.ContentType)
		in.ctx.SetBody(decision.Result.Body)
		g.recordRequest(in, nil)
		return nil, true
	}
	return decision.Run, false
}

// runPipeline runs the request through its stages and answers it.
func (g *Gateway) runPipeline(in *incomingRequest, ticket dispatch.Ticket, claimRun claim.Run) {
	stream := in.route.definition.Answer == table.AnswerStream
	if stream {
		// The stream writer outlives the handler, after which the server may reuse its buffers.
		in.body = append([]byte(nil), in.body...)
	}
	d := &driver{
		gateway: g, config: in.config, route: in.route, requestID: in.requestID, workspace: in.workspace,
		traceparent: string(in.ctx.Request.Header.Peek("traceparent")), deadline: in.deadline,
		wake: make(chan struct{}, 1), claim: claimRun,
		run: pipeline.New(pipeline.Config{
			RequestID: in.requestID, Route: in.route.definition, Tables: in.config.tables, Workspace: in.workspace,
			Deadline: in.deadline, ContentType: string(in.ctx.Request.Header.ContentType()), Body: in.body,
		}),
	}
	if stream {
		g.serveStream(in, d, ticket, claimRun)
		return
	}
	d.execute()
	g.releaseAdmission(ticket)
	g.endClaim(d, claimRun, d.claimResult())
	g.writeAnswer(in, d)
}

// claimResult returns the whole answer as the result of the claim, or nil for a refusal.
func (d *driver) claimResult() *claim.Result {
	if d.result == nil {
		return nil
	}
	return &claim.Result{Status: fasthttp.StatusOK, ContentType: d.result.ContentType, Body: d.result.Body}
}

// endClaim records dropped events and ends the claim of a request, if any: with the
// answer, as failed if a non-idempotent call may have run, or else as released.
func (g *Gateway) endClaim(d *driver, claimRun claim.Run, result *claim.Result) {
	g.metrics.recordDropped(d.run.DropCounts())
	switch {
	case claimRun == nil:
	case d.refusal == nil:
		claimRun.Finish(*result)
	case d.run.NonIdempotentSent():
		claimRun.Fail()
	default:
		claimRun.Release()
	}
}

func (g *Gateway) writeAnswer(in *incomingRequest, d *driver) {
	if d.refusal != nil {
		g.refuse(in, d.refusal)
		return
	}
	in.ctx.SetContentType(d.result.ContentType)
	in.ctx.Response.SetBodyRaw(d.result.Body)
	g.recordRequest(in, nil)
}

// refuse answers with a problem document and records the refusal.
func (g *Gateway) refuse(in *incomingRequest, refusal *errkind.Error) {
	refuse(in.ctx, refusal, in.requestID)
	g.recordRequest(in, refusal)
}

// recordRequest records the end of a request in the metrics, and in the log if refused.
func (g *Gateway) recordRequest(in *incomingRequest, refusal *errkind.Error) {
	elapsed := g.options.Now().Sub(in.arrivedAt)
	if in.route == nil {
		// The route is unknown; its name is caller input and must not become a label value.
		g.metrics.refusals.WithLabelValues("", refusal.Kind.String(), refusal.RunState.String()).Inc()
		return
	}
	route := in.route.definition
	in.route.metrics.results[classifyResult(refusal, elapsed, route.Deadline)].Inc()
	in.route.metrics.latency.Observe(elapsed.Seconds())
	if refusal == nil {
		return
	}
	g.metrics.refusals.WithLabelValues(route.Name, refusal.Kind.String(), refusal.RunState.String()).Inc()
	g.options.Logger.Warn("request refused",
		zap.String("request", in.requestID), zap.String("route", route.Name), zap.String("workspace", in.workspace),
		zap.String("kind", refusal.Kind.String()), zap.String("run", refusal.RunState.String()),
		zap.String("detail", refusal.Detail), zap.Duration("elapsed", elapsed))
}

// classifyResult returns the result label of a request. Only requests that did not run
// count as refused.
func classifyResult(refusal *errkind.Error, elapsed, deadline time.Duration) string {
	switch {
	case refusal != nil && refusal.RunState == errkind.NotRun:
		return resultRefused
	case refusal != nil:
		return resultFailed
	case elapsed > deadline:
		return resultLate
	}
	return resultInTime
}
