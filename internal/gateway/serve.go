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
	// maxKeyBytes limits an idempotency key, which every keeper of its group stores.
	maxKeyBytes = 256
)

// Handle serves callers.
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
	case current.isZoneOut(g.options.Zone):
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

// arrival is a request before it runs.
type arrival struct {
	ctx       *fasthttp.RequestCtx
	config    *config
	plan      *routePlan
	request   string
	workspace string
	key       string
	at        clock.Instant
	deadline  clock.Instant
	body      []byte
}

func (g *Gateway) handleRoute(ctx *fasthttp.RequestCtx, name string) {
	a := &arrival{ctx: ctx, at: g.options.Now(), request: g.prefix + "-" + strconv.FormatUint(g.next.Add(1), 36)}
	if refusal := g.check(a, name); refusal != nil {
		g.refuse(a, refusal)
		return
	}
	ticket, refusal := g.admit(a)
	if refusal != nil {
		g.refuse(a, refusal)
		return
	}
	run, done := g.claim(a)
	if done {
		g.leave(ticket)
		return
	}
	g.run(a, ticket, run)
}

// check finds the route and checks the request.
func (g *Gateway) check(a *arrival, name string) *errkind.Error {
	if !a.ctx.IsPost() {
		return errkind.New(errkind.BadRequest, "the method must be POST")
	}
	a.config = g.config.Load()
	if a.config == nil {
		return errkind.New(errkind.NotConfigured, "no snapshot of the agent yet")
	}
	if a.plan = a.config.routes[name]; a.plan == nil {
		return errkind.New(errkind.UnknownRoute, strconv.Quote(name))
	}
	a.deadline = a.at.Add(a.plan.route.Deadline)
	if g.draining.Load() {
		a.ctx.SetConnectionClose()
		return errkind.New(errkind.Draining, "")
	}
	header := &a.ctx.Request.Header
	if a.workspace = string(header.Peek("Workspace")); a.config.tables.Workspace(a.workspace) == nil {
		return errkind.New(errkind.UnknownWorkspace, strconv.Quote(a.workspace))
	}
	if a.key = string(header.Peek("Idempotency-Key")); len(a.key) > maxKeyBytes {
		return errkind.New(errkind.BadRequest, "the Idempotency-Key has more than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	a.body = a.ctx.PostBody()
	return nil
}

func (g *Gateway) admit(a *arrival) (dispatch.Ticket, *errkind.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Admit(a.at, dispatch.Admission{Route: a.plan.route, Workspace: a.workspace, Deadline: a.deadline})
}

func (g *Gateway) leave(ticket dispatch.Ticket) {
	now := g.options.Now()
	g.change(func(core *dispatch.Core) dispatch.Effects { return core.Leave(now, ticket) })
}

// claim gets the right to run a request that must not run twice. It reports whether the
// request is answered already.
func (g *Gateway) claim(a *arrival) (claim.Run, bool) {
	if a.plan.idempotent || a.key == "" {
		return nil, false
	}
	if g.options.Claimer == nil {
		g.refuse(a, errkind.New(errkind.ClaimUnavailable, "claims are not configured"))
		return nil, true
	}
	ctx, stop := context.WithTimeout(context.Background(), a.deadline.Sub(g.options.Now()))
	defer stop()
	key := claim.Key{Workspace: a.workspace, Route: a.plan.route.Name, IdempotencyKey: a.key}
	decision := g.options.Claimer.Claim(ctx, key, a.deadline)
	switch {
	case decision.Refusal != nil:
		g.refuse(a, decision.Refusal)
		return nil, true
	case decision.Result != nil:
		a.ctx.SetStatusCode(decision.Result.Status)
		a.ctx.SetContentType(decision.Result.ContentType)
		a.ctx.SetBody(decision.Result.Body)
		g.count(a, nil)
		return nil, true
	}
	return decision.Run, false
}

// run drives the request through its pipeline and answers it.
func (g *Gateway) run(a *arrival, ticket dispatch.Ticket, run claim.Run) {
	stream := a.plan.route.Answer == table.AnswerStream
	if stream {
		// The writer of a stream outlives the handler, and the server may reuse its buffers.
		a.body = append([]byte(nil), a.body...)
	}
	d := &driver{
		g: g, config: a.config, route: a.plan, request: a.request, workspace: a.workspace,
		traceparent: string(a.ctx.Request.Header.Peek("traceparent")), deadline: a.deadline,
		wake: make(chan struct{}, 1), claim: run,
		run: pipeline.New(pipeline.Config{
			Request: a.request, Route: a.plan.route, Tables: a.config.tables, Workspace: a.workspace,
			Deadline: a.deadline, ContentType: string(a.ctx.Request.Header.ContentType()), Body: a.body,
		}),
	}
	if stream {
		g.serveStream(a, d, ticket, run)
		return
	}
	d.serve()
	g.leave(ticket)
	g.settle(d, run, d.answer())
	g.answerWhole(a, d)
}

// answer returns the whole answer, nil for a refusal.
func (d *driver) answer() *claim.Result {
	if d.result == nil {
		return nil
	}
	return &claim.Result{Status: fasthttp.StatusOK, ContentType: d.result.ContentType, Body: d.result.Body}
}

// settle ends the claim of a request: with its answer, as not run, or as unknown.
func (g *Gateway) settle(d *driver, run claim.Run, answer *claim.Result) {
	g.metrics.counts(d.run.DropCounts())
	switch {
	case run == nil:
	case d.refusal == nil:
		run.Finish(*answer)
	case d.run.NonIdempotentSent():
		run.Fail()
	default:
		run.Release()
	}
}

func (g *Gateway) answerWhole(a *arrival, d *driver) {
	if d.refusal != nil {
		g.refuse(a, d.refusal)
		return
	}
	a.ctx.SetContentType(d.result.ContentType)
	a.ctx.Response.SetBodyRaw(d.result.Body)
	g.count(a, nil)
}

// refuse answers with a problem document and records it.
func (g *Gateway) refuse(a *arrival, refusal *errkind.Error) {
	refuse(a.ctx, refusal, a.request)
	g.count(a, refusal)
}

// count records the end of a request.
func (g *Gateway) count(a *arrival, refusal *errkind.Error) {
	elapsed := g.options.Now().Sub(a.at)
	if a.plan == nil {
		// The route is not known, so the name is the caller's and must not become a label.
		g.metrics.refusals.WithLabelValues("", refusal.Kind.String(), refusal.RunState.String()).Inc()
		return
	}
	route := a.plan.route
	a.plan.metrics.results[result(refusal, elapsed, route.Deadline)].Inc()
	a.plan.metrics.latency.Observe(elapsed.Seconds())
	if refusal == nil {
		return
	}
	g.metrics.refusals.WithLabelValues(route.Name, refusal.Kind.String(), refusal.RunState.String()).Inc()
	g.options.Logger.Warn("request refused",
		zap.String("request", a.request), zap.String("route", route.Name), zap.String("workspace", a.workspace),
		zap.String("kind", refusal.Kind.String()), zap.String("run", refusal.RunState.String()),
		zap.String("detail", refusal.Detail), zap.Duration("elapsed", elapsed))
}

// result classifies the end of a request. Refused are those that did not run.
func result(refusal *errkind.Error, elapsed, deadline time.Duration) string {
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
