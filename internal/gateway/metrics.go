package gateway

import (
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/internal/upstream"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/pipeline"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

const (
	// maxWorkspaceLabels limits the values of the workspace label: 3,000 workspaces must not
	// create 3,000 time series per route.
	maxWorkspaceLabels = 100
	// otherWorkspace is the label value for the workspaces above the limit.
	otherWorkspace = "other"
	// bytesPerToken is used to estimate the tokens of a whole answer, which does not report
	// their number.
	bytesPerToken = 4
)

// Results of a request, values of the result label.
const (
	resultInTime  = "in_time"
	resultLate    = "late"
	resultRefused = "refused"
	resultFailed  = "failed"
)

var outcomeNames = [...]string{
	dispatch.OutcomeSuccess: "success", dispatch.OutcomeRefused: "refused", dispatch.OutcomeOverloaded: "overloaded",
	dispatch.OutcomeFailed: "failed", dispatch.OutcomeDied: "died", dispatch.OutcomeReset: "reset", dispatch.OutcomeSilent: "silent",
	dispatch.OutcomeTimeout: "timeout", dispatch.OutcomeCancelled: "cancelled",
}

// metrics holds the gateway's Prometheus metrics.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	stageCost      *prometheus.CounterVec
	workspaceCost  *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	stageLatency   *prometheus.HistogramVec
	firstEvent     *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	extraAttempts  *prometheus.CounterVec
	droppedAnswers *prometheus.CounterVec

	mu         sync.Mutex
	workspaces map[string]struct{}
}

// routeMetrics holds the metrics of one route, resolved once for each table revision.
type routeMetrics struct {
	results map[string]prometheus.Counter
	latency prometheus.Observer
	stages  map[string]prometheus.Observer
	// successes counts successful attempts, the most frequent outcome, by stage and pool.
	successes     map[stagePool]prometheus.Counter
	usedCost      map[stagePool]prometheus.Counter
	unusedCost    map[stagePool]prometheus.Counter
	mu            sync.RWMutex
	workspaceCost map[workspaceCostKey]prometheus.Counter
}

// stagePool is the key of the metrics by stage and pool.
type stagePool struct{ stage, pool string }

// workspaceCostKey is the key of a workspace's cost, by whether the answers were used.
type workspaceCostKey struct {
	workspace string
	used      bool
}

// newMetrics registers the metrics in the registry, or in a new one if it is nil.
func newMetrics(registry *prometheus.Registry) *metrics {
	if registry == nil {
		registry = prometheus.NewRegistry()
	}
	buckets := prometheus.ExponentialBuckets(0.001, 1.6, 20)
	m := &metrics{
		registry:       registry,
		requests:       newCounter("hoist_requests_total", "Requests by result.", "route", "result"),
		refusals:       newCounter("hoist_refusals_total", "Refusals by kind and run state.", "route", "kind", "run"),
		stageCost:      newCounter("hoist_stage_cost_total", "Cost of upstream work; used says whether its answer was used.", "route", "stage", "pool", "used"),
		workspaceCost:  newCounter("hoist_workspace_cost_total", "Cost of upstream work by workspace; used says whether its answer was used.", "workspace", "route", "used"),
		attempts:       newCounter("hoist_attempts_total", "Calls to upstreams by outcome.", "route", "stage", "pool", "outcome"),
		extraAttempts:  newCounter("hoist_extra_attempts_total", "Retries and hedges asked for.", "route", "pool"),
		droppedAnswers: newCounter("hoist_dropped_answers_total", "Answers that were dropped.", "reason"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_request_seconds", Help: "Time from arrival to complete answer.", Buckets: buckets,
		}, []string{"route"}),
		stageLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_stage_seconds", Help: "Time of successful calls to upstreams.", Buckets: buckets,
		}, []string{"route", "stage"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_first_event_seconds", Help: "Time from arrival to the first event of a streamed answer.", Buckets: buckets,
		}, []string{"route"}),
		workspaces: map[string]struct{}{},
	}
	m.registry.MustRegister(m.requests, m.refusals, m.stageCost, m.workspaceCost, m.attempts, m.extraAttempts, m.droppedAnswers, m.latency, m.stageLatency, m.firstEvent)
	return m
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// registerGauges registers the metrics that are computed at scrape time.
func (g *Gateway) registerGauges() {
	gauge := func(name, help string, read func() float64) {
		g.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("hoist_requests_in_flight", "Requests being served.", func() float64 { return float64(g.inFlight.Load()) })
	gauge("hoist_silent_connections", "Connections retired because they made no progress.", func() float64 {
		return float64(g.client.Stats.SilentConnections.Load())
	})
	gauge("hoist_upstream_dials", "Connections opened to upstreams.", func() float64 {
		return float64(g.client.Stats.Dials.Load())
	})
	gauge("hoist_snapshot_age_seconds", "Age of the agent's last snapshot, -1 before the first.", func() float64 {
		current := g.config.Load()
		if current == nil {
			return -1
		}
		return g.options.Now().Sub(current.receivedAt).Seconds()
	})
}

func (m *metrics) forRoute(route *table.Route) *routeMetrics {
	r := &routeMetrics{
		results: map[string]prometheus.Counter{}, latency: m.latency.WithLabelValues(route.Name),
		stages:    map[string]prometheus.Observer{},
		successes: map[stagePool]prometheus.Counter{},
		usedCost:  map[stagePool]prometheus.Counter{}, unusedCost: map[stagePool]prometheus.Counter{},
		workspaceCost: map[workspaceCostKey]prometheus.Counter{},
	}
	for _, result := range []string{resultInTime, resultLate, resultRefused, resultFailed} {
		r.results[result] = m.requests.WithLabelValues(route.Name, result)
	}
	for _, stage := range route.Stages {
		r.stages[stage.Name] = m.stageLatency.WithLabelValues(route.Name, stage.Name)
		for _, pool := range stage.Pools {
			key := stagePool{stage.Name, pool}
			r.successes[key] = m.attempts.WithLabelValues(route.Name, stage.Name, pool, outcomeNames[dispatch.OutcomeSuccess])
			r.usedCost[key] = m.stageCost.WithLabelValues(route.Name, stage.Name, pool, "true")
			r.unusedCost[key] = m.stageCost.WithLabelValues(route.Name, stage.Name, pool, "false")
		}
	}
	return r
}

// recordAttempt records the outcome and the cost of a call.
func (m *metrics) recordAttempt(d *driver, state *callState, request *pipeline.UpstreamRequest, result *upstream.Result, used bool) {
	r, key := d.route.metrics, stagePool{request.Identity.Stage, request.Pool}
	if result.IdentityMismatch {
		m.droppedAnswers.WithLabelValues("foreign").Inc()
	}
	if result.Outcome == dispatch.OutcomeSuccess {
		r.successes[key].Inc()
		r.stages[key.stage].Observe(result.Elapsed.Seconds())
	} else {
		m.attempts.WithLabelValues(d.route.definition.Name, key.stage, key.pool, outcomeNames[result.Outcome]).Inc()
	}
	cost := attemptCost(d.config.tables.Pool(request.Pool), state.tokenCount, result)
	if cost == 0 {
		return
	}
	if used {
		r.usedCost[key].Add(cost)
	} else {
		r.unusedCost[key].Add(cost)
	}
	m.workspaceCounter(r, workspaceCostKey{d.workspace, used}, d.route.definition.Name).Add(cost)
}

// attemptCost returns the cost of an attempt. A refused call costs nothing. A failed call
// is charged for its time, for the tokens received or as one request, by the pool's unit.
func attemptCost(pool *table.Pool, tokens int, result *upstream.Result) float64 {
	if result.Outcome == dispatch.OutcomeRefused {
		return 0
	}
	switch pool.Cost.Unit {
	case table.UnitSecond:
		return result.Elapsed.Seconds() * pool.Cost.PerUnit
	case table.UnitToken:
		return float64(max(tokens, len(result.Body)/bytesPerToken)) * pool.Cost.PerUnit
	default:
		return pool.Cost.PerUnit
	}
}

// workspaceCounter returns the cost counter of a workspace and a route.
func (m *metrics) workspaceCounter(route *routeMetrics, key workspaceCostKey, routeName string) prometheus.Counter {
	route.mu.RLock()
	costCounter := route.workspaceCost[key]
	route.mu.RUnlock()
	if costCounter != nil {
		return costCounter
	}
	costCounter = m.workspaceCost.WithLabelValues(m.workspaceLabel(key.workspace), routeName, strconv.FormatBool(key.used))
	route.mu.Lock()
	route.workspaceCost[key] = costCounter
	route.mu.Unlock()
	return costCounter
}

func (m *metrics) workspaceLabel(workspace string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.workspaces[workspace]; known {
		return workspace
	}
	if len(m.workspaces) >= maxWorkspaceLabels {
		return otherWorkspace
	}
	m.workspaces[workspace] = struct{}{}
	return workspace
}

// recordDropped counts the answers that a run dropped.
func (m *metrics) recordDropped(counts pipeline.DropCounts) {
	if counts == (pipeline.DropCounts{}) {
		return
	}
	m.droppedAnswers.WithLabelValues("late").Add(float64(counts.Late))
	m.droppedAnswers.WithLabelValues("duplicate").Add(float64(counts.Duplicate))
	m.droppedAnswers.WithLabelValues("foreign").Add(float64(counts.Foreign))
}
