package gateway

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// maxHeaderBytes limits the headers of a request, which the server reads into one buffer.
	maxHeaderBytes = 16 << 10
	// idleTimeout is how long a caller's connection stays open without a request.
	idleTimeout = 75 * time.Second
	// drainPollInterval is how often the number of running requests is checked while draining.
	drainPollInterval = 10 * time.Millisecond
	// drainMargin is added to the longest deadline, so that the last answers can be written.
	drainMargin = 5 * time.Second
	// defaultDrainTimeout applies if there is no configuration with the routes' deadlines.
	defaultDrainTimeout = 30 * time.Second
)

// Limits bounds the resources that callers can use.
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
		Handler:      g.guarded(g.Handle, limits.MaxBodyBytes),
		ErrorHandler: g.handleReadError,
		// The handler reads bodies, as much as the guard has memory for.
		StreamRequestBody:  true,
		MaxRequestBodySize: limits.MaxBodyBytes,
		// The guard of the listener closes a connection for each one beyond the limit, and its worker
		// ends a little later.
		Concurrency:           2 * limits.MaxConnections,
		ConnState:             guardState,
		ReadTimeout:           limits.ReadTimeout,
		WriteTimeout:          limits.WriteTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		// Bodies are opaque and must not be parsed.
		DisablePreParseMultipartForm: true,
	}
}

// handleReadError answers a request that could not be read.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	refusal := errkind.New(errkind.BadRequest, "the request cannot be read")
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netError *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refusal = errkind.New(errkind.BodyTooLarge, "")
	case errors.Is(err, errNoBodyMemory):
		refusal = errkind.New(errkind.Overloaded, err.Error())
	case errors.As(err, &smallBuffer):
		refusal = errkind.New(errkind.BadRequest, "the headers exceed the limit")
	case errors.As(err, &netError) && netError.Timeout():
		refusal = errkind.New(errkind.BadRequest, "the request was not complete in time")
	}
	refuse(ctx, refusal, "")
	g.metrics.refusals.WithLabelValues("", refusal.Kind.String(), refusal.RunState.String()).Inc()
}

func (g *Gateway) serveMetrics(ctx *fasthttp.RequestCtx) {
	fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))(ctx)
}

// Stop shuts the gateway down gracefully: it reports not ready, keeps serving until the
// load balancer has noticed, then refuses new requests and waits for the running ones.
func (g *Gateway) Stop(server *fasthttp.Server) error {
	g.stopping.Store(true)
	g.options.Logger.Info("stopping", zap.Duration("balancer_delay", g.options.BalancerDelay))
	sleep(context.Background(), g.options.BalancerDelay)
	g.draining.Store(true)
	deadline := time.Now().Add(g.drainTimeout())
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) {
		sleep(context.Background(), drainPollInterval)
	}
	g.options.Logger.Info("drained", zap.Int64("in_flight", g.inFlight.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), drainMargin)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	// Idle connections that are still open do not delay the shutdown.
	return nil
}

// drainTimeout returns the time after which the gateway no longer waits for running requests. They
// end by their deadlines, which may be later than the current configuration allows.
func (g *Gateway) drainTimeout() time.Duration {
	last := clock.Instant(g.lastDeadline.Load()).Sub(g.options.Now())
	return max(g.longestDeadline(), last) + drainMargin
}

// longestDeadline returns the longest deadline of the routes in the configuration.
func (g *Gateway) longestDeadline() time.Duration {
	current := g.config.Load()
	if current == nil {
		return defaultDrainTimeout
	}
	var longest time.Duration
	for _, route := range current.routes {
		longest = max(longest, route.definition.Deadline)
	}
	return longest
}
