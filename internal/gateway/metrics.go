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
	// maxWorkspaceLabels bounds the series of metrics by workspace: 3,000 workspaces must
	// not become 3,000 series per route.
	maxWorkspaceLabels = 100
	// otherWorkspace collects the cost beyond the bound.
	otherWorkspace = "other"
	// bytesPerToken estimates the tokens of a whole answer, which does not state them.
	bytesPerToken = 4
)

// Results of a request.
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

// metrics are the gateway's metrics.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	stageCost     *prometheus.CounterVec
	workspaceCost *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	stageLatency  *prometheus.HistogramVec
	firstEvent    *prometheus.HistogramVec
	attempts      *prometheus.CounterVec
	extras        *prometheus.CounterVec
	dropped       *prometheus.CounterVec

	mu         sync.Mutex
	workspaces map[string]struct{}
}

// routeMetrics are the metrics of one route, looked up once for each revision.
type routeMetrics struct {
	results map[string]prometheus.Counter
	latency prometheus.Observer
	stages  map[string]prometheus.Observer
	// successes counts the usual end of an attempt by stage and pool.
	successes map[stagePool]prometheus.Counter
	used      map[stagePool]prometheus.Counter
	wasted    map[stagePool]prometheus.Counter
	mu        sync.RWMutex
	cost      map[workspaceUse]prometheus.Counter
}

// stagePool names the work of a pool for a stage.
type stagePool struct{ stage, pool string }

// workspaceUse names the work of a workspace whose answers were used, or were not.
type workspaceUse struct {
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
		registry:      registry,
		requests:      counter("hoist_requests_total", "Requests by result.", "route", "result"),
		refusals:      counter("hoist_refusals_total", "Refusals by kind and run state.", "route", "kind", "run"),
		stageCost:     counter("hoist_stage_cost_total", "Cost of upstream work; used says whether its answer was used.", "route", "stage", "pool", "used"),
		workspaceCost: counter("hoist_workspace_cost_total", "Cost of upstream work by workspace; used says whether its answer was used.", "workspace", "route", "used"),
		attempts:      counter("hoist_attempts_total", "Calls to upstreams by outcome.", "route", "stage", "pool", "outcome"),
		extras:        counter("hoist_extra_attempts_total", "Retries and hedges asked for.", "route", "pool"),
		dropped:       counter("hoist_dropped_answers_total", "Answers that were dropped.", "reason"),
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
	m.registry.MustRegister(m.requests, m.refusals, m.stageCost, m.workspaceCost, m.attempts, m.extras, m.dropped, m.latency, m.stageLatency, m.firstEvent)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// registerGauges adds the values that are read at scrape time.
func (g *Gateway) registerGauges() {
	gauge := func(name, help string, read func() float64) {
		g.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
	gauge("hoist_requests_in_flight", "Requests being served.", func() float64 { return float64(g.inFlight.Load()) })
	gauge("hoist_silent_connections", "Connections retired because they made no progress.", func() float64 {
		return float64(g.client.Stats.Silent.Load())
	})
	gauge("hoist_upstream_dials", "Connections opened to upstreams.", func() float64 {
		return float64(g.client.Stats.Dials.Load())
	})
	gauge("hoist_snapshot_age_seconds", "Age of the agent's last snapshot, -1 before the first.", func() float64 {
		current := g.config.Load()
		if current == nil {
			return -1
		}
		return g.options.Now().Sub(current.received).Seconds()
	})
}

func (m *metrics) route(route *table.Route) *routeMetrics {
	r := &routeMetrics{
		results: map[string]prometheus.Counter{}, latency: m.latency.WithLabelValues(route.Name),
		stages:    map[string]prometheus.Observer{},
		successes: map[stagePool]prometheus.Counter{},
		used:      map[stagePool]prometheus.Counter{}, wasted: map[stagePool]prometheus.Counter{},
		cost: map[workspaceUse]prometheus.Counter{},
	}
	for _, result := range []string{resultInTime, resultLate, resultRefused, resultFailed} {
		r.results[result] = m.requests.WithLabelValues(route.Name, result)
	}
	for _, stage := range route.Stages {
		r.stages[stage.Name] = m.stageLatency.WithLabelValues(route.Name, stage.Name)
		for _, pool := range stage.Pools {
			key := stagePool{stage.Name, pool}
			r.successes[key] = m.attempts.WithLabelValues(route.Name, stage.Name, pool, outcomeNames[dispatch.OutcomeSuccess])
			r.used[key] = m.stageCost.WithLabelValues(route.Name, stage.Name, pool, "true")
			r.wasted[key] = m.stageCost.WithLabelValues(route.Name, stage.Name, pool, "false")
		}
	}
	return r
}

// attempt records the end of a call with its cost.
func (m *metrics) attempt(d *driver, state *callState, request *pipeline.Request, answer *upstream.Answer, used bool) {
	r, key := d.route.metrics, stagePool{request.Identity.Stage, request.Pool}
	if answer.Foreign {
		m.dropped.WithLabelValues("foreign").Inc()
	}
	if answer.Outcome == dispatch.OutcomeSuccess {
		r.successes[key].Inc()
		r.stages[key.stage].Observe(answer.Elapsed.Seconds())
	} else {
		m.attempts.WithLabelValues(d.route.route.Name, key.stage, key.pool, outcomeNames[answer.Outcome]).Inc()
	}
	cost := attemptCost(d.config.tables.Pool(request.Pool), state.tokens, answer)
	if cost == 0 {
		return
	}
	if used {
		r.used[key].Add(cost)
	} else {
		r.wasted[key].Add(cost)
	}
	m.workspace(r, workspaceUse{d.workspace, used}, d.route.route.Name).Add(cost)
}

// attemptCost is the price of an attempt's work. A refused call has no cost; a call
// without an answer is charged for its time or as one request.
func attemptCost(pool *table.Pool, tokens int, answer *upstream.Answer) float64 {
	if answer.Outcome == dispatch.OutcomeRefused {
		return 0
	}
	switch pool.Cost.Unit {
	case table.UnitSecond:
		return answer.Elapsed.Seconds() * pool.Cost.PerUnit
	case table.UnitToken:
		return float64(max(tokens, len(answer.Body)/bytesPerToken)) * pool.Cost.PerUnit
	default:
		return pool.Cost.PerUnit
	}
}

// workspace returns the cost counter of a workspace and a route.
func (m *metrics) workspace(r *routeMetrics, key workspaceUse, route string) prometheus.Counter {
	r.mu.RLock()
	found := r.cost[key]
	r.mu.RUnlock()
	if found != nil {
		return found
	}
	found = m.workspaceCost.WithLabelValues(m.workspaceLabel(key.workspace), route, strconv.FormatBool(key.used))
	r.mu.Lock()
	r.cost[key] = found
	r.mu.Unlock()
	return found
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

// counts records the events that a run dropped.
func (m *metrics) counts(counts pipeline.DropCounts) {
	if counts == (pipeline.DropCounts{}) {
		return
	}
	m.dropped.WithLabelValues("late").Add(float64(counts.Late))
	m.dropped.WithLabelValues("duplicate").Add(float64(counts.Duplicate))
	m.dropped.WithLabelValues("foreign").Add(float64(counts.Foreign))
}
