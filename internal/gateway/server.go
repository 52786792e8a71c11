package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// maxHeaderBytes limits the headers of a request; the server reads them into one buffer.
	maxHeaderBytes = 16 << 10
	// idleTimeout closes connections of callers that send nothing.
	idleTimeout = 75 * time.Second
	// drainPoll is how often the end of running requests is checked.
	drainPoll = 10 * time.Millisecond
	// drainMargin is added to the longest deadline for writing the last answers.
	drainMargin = 5 * time.Second
	// defaultDrain bounds the wait if no configuration says how long requests run.
	defaultDrain = 30 * time.Second
)

// Limits bounds what callers can use.
type Limits struct {
	MaxBodyBytes   int
	MaxConnections int
	ReadTimeout    time.Duration
	WriteTimeout   time.Duration
}

// NewServer returns the server for callers.
func (g *Gateway) NewServer(limits Limits) *fasthttp.Server {
	g.registerGauges()
	return &fasthttp.Server{
		Handler:               g.Handle,
		ErrorHandler:          g.handleBroken,
		MaxRequestBodySize:    limits.MaxBodyBytes,
		Concurrency:           limits.MaxConnections,
		ReadTimeout:           limits.ReadTimeout,
		WriteTimeout:          limits.WriteTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		// Bodies are opaque: nothing in them may be parsed.
		DisablePreParseMultipartForm: true,
	}
}

// handleBroken answers a request that could not be read.
func (g *Gateway) handleBroken(ctx *fasthttp.RequestCtx, err error) {
	refusal := errkind.New(errkind.BadRequest, "the request cannot be read")
	var small *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refusal = errkind.New(errkind.BodyTooLarge, "")
	case errors.As(err, &small):
		refusal = errkind.New(errkind.BadRequest, "the headers exceed the limit")
	case errors.As(err, &network) && network.Timeout():
		refusal = errkind.New(errkind.BadRequest, "the request was not complete in time")
	}
	refuse(ctx, refusal, "")
	g.metrics.refusals.WithLabelValues("", refusal.Kind.String(), refusal.RunState.String()).Inc()
}

func (g *Gateway) serveMetrics(ctx *fasthttp.RequestCtx) {
	fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))(ctx)
}

// Stop ends the gateway without interrupting a request: it reports not ready, serves on
// until the load balancer has noticed, refuses new requests and waits for running ones.
func (g *Gateway) Stop(server *fasthttp.Server) error {
	g.stopping.Store(true)
	g.options.Logger.Info("stopping", zap.Duration("balancer_delay", g.options.BalancerDelay))
	pause(context.Background(), g.options.BalancerDelay)
	g.draining.Store(true)
	limit := time.Now().Add(g.longestDeadline() + drainMargin)
	for g.inFlight.Load() > 0 && time.Now().Before(limit) {
		pause(context.Background(), drainPoll)
	}
	g.options.Logger.Info("drained", zap.Int64("in_flight", g.inFlight.Load()))
	ctx, stop := context.WithTimeout(context.Background(), drainMargin)
	defer stop()
	if err := server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	// Connections that are open but idle do not keep the process.
	return nil
}

func (g *Gateway) longestDeadline() time.Duration {
	current := g.config.Load()
	if current == nil {
		return defaultDrain
	}
	var longest time.Duration
	for _, plan := range current.routes {
		longest = max(longest, plan.route.Deadline)
	}
	return longest
}
