package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/enginepool"
)

// latencyBuckets are in seconds. Objectives lie between 0.1 s and a few seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 15}

// pieceBuckets are numbers of pieces per stage call.
var pieceBuckets = []float64{1, 2, 4, 8, 12, 16, 24, 32, 48, 64}

// metrics are the counters and histograms of a Server.
type metrics struct {
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	firstEvent   *prometheus.HistogramVec
	stageCalls   *prometheus.CounterVec
	stagePieces  *prometheus.HistogramVec
	stageRefused *prometheus.CounterVec
	panics       *prometheus.CounterVec
	// stageConnectionsClosed counts connections that were closed since a late second copy of their
	// response could not be told from the next response.
	stageConnectionsClosed *prometheus.CounterVec
	bodiesRevoked          prometheus.Counter
	// upstreamSignals counts signals by kind, and callsWithheld the calls that were not made because of
	// them.
	upstreamSignals *prometheus.CounterVec
	callsWithheld   *prometheus.CounterVec
	healthChecks    *prometheus.CounterVec
	// placements, promptTokens and placementWait show the work of the owners of engines.
	placements    *prometheus.CounterVec
	promptTokens  *prometheus.CounterVec
	placementWait *prometheus.HistogramVec
	engineReports *prometheus.CounterVec
	// ignoredDatagrams counts membership datagrams that were not handled.
	ignoredDatagrams *prometheus.CounterVec
	// placeInvalid counts malformed requests of other VMs to place, and loadsInvalid malformed statements
	// of load in responses of upstreams.
	placeInvalid prometheus.Counter
	loadsInvalid prometheus.Counter
	// crashReportsInvalid counts malformed reports of crashes by other VMs.
	crashReportsInvalid prometheus.Counter
	// resumedStreams counts the streams that callers resumed, by how certain their origin is.
	resumedStreams *prometheus.CounterVec
	// partitioned is 1 while this VM is partitioned from all upstreams. partitionChanges counts the changes to
	// each state of the detector, and partitionProbes its probes by their end.
	partitioned      prometheus.Gauge
	partitionChanges *prometheus.CounterVec
	partitionProbes  *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_edge_request_seconds", Help: "Time from a request's arrival to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_edge_first_event_seconds", Help: "Time from a request's arrival to its first event.", Buckets: latencyBuckets,
		}, []string{"pool"}),
		stageCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_stage_calls_total", Help: "Calls of stages by pool and end.",
		}, []string{"pool", "end"}),
		stagePieces: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_edge_stage_pieces", Help: "Pieces in a call of a stage.", Buckets: pieceBuckets,
		}, []string{"pool"}),
		stageRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_stage_refused_total", Help: "Stages refused at once since they could not end in time.",
		}, []string{"pool"}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_panics_total", Help: "Panics that ended the handling of one request, message or published item.",
		}, []string{"scope"}),
		stageConnectionsClosed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_stage_connections_closed_total", Help: "Connections to upstreams of stages closed since a response on them did not identify its request.",
		}, []string{"pool", "reason"}),
		bodiesRevoked: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_edge_response_bodies_revoked_total", Help: "Responses broken off since they held most of the memory for responses while others waited for it.",
		}),
		upstreamSignals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_upstream_signals_total", Help: "Signals of upstreams that they leave or ask for no traffic, and ignored ones, by kind.",
		}, []string{"signal"}),
		callsWithheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_calls_withheld_total", Help: "Requests refused, and releases and queries dropped, since upstreams leave or ask for no traffic.",
		}, []string{"call"}),
		healthChecks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_health_queries_total", Help: "Health queries to upstreams that may have come back, by end.",
		}, []string{"end"}),
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_placements_total", Help: "Placements of requests on engines by pool and by who decided: owner or vm.",
		}, []string{"pool", "decided_by"}),
		promptTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_prompt_tokens_total", Help: "Prompt tokens that the chosen engine had cached or was to copy, by pool.",
		}, []string{"pool", "source"}),
		placementWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_edge_placement_wait_seconds", Help: "Expected wait for other prompts at the chosen engine.", Buckets: latencyBuckets,
		}, []string{"pool"}),
		engineReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_engine_reports_total", Help: "Queries for the load of engines: used or ignored.",
		}, []string{"result"}),
		ignoredDatagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_datagrams_ignored_total", Help: "Membership datagrams that were malformed or exceeded the rate of one address.",
		}, []string{"reason"}),
		placeInvalid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_edge_place_requests_invalid_total", Help: "Malformed requests of other VMs to place a request on an engine.",
		}),
		loadsInvalid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_edge_upstream_loads_invalid_total", Help: "Responses of upstreams whose statement of load was malformed and ignored.",
		}),
		crashReportsInvalid: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_edge_crash_reports_invalid_total", Help: "Malformed reports of other VMs that an upstream crashed.",
		}),
		resumedStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_resumed_streams_total", Help: "Streams resumed by their callers, by what is known of the software version that began them.",
		}, []string{"certainty"}),
		partitioned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hoist_edge_partitioned", Help: "1 while this VM is partitioned from all upstreams.",
		}),
		partitionChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_partition_changes_total", Help: "Changes of whether upstreams are reachable, suspect or partitioned from this VM.",
		}, []string{"state"}),
		partitionProbes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_partition_probes_total", Help: "Queries to tell whether this VM is partitioned from all upstreams, by end: answered, unanswered or failed.",
		}, []string{"end"}),
	}
	registry.MustRegister(m.requests, m.latency, m.firstEvent, m.stageCalls, m.stagePieces, m.stageRefused, m.panics,
		m.stageConnectionsClosed, m.bodiesRevoked, m.upstreamSignals, m.callsWithheld, m.healthChecks,
		m.placements, m.promptTokens, m.placementWait, m.engineReports, m.ignoredDatagrams, m.placeInvalid, m.loadsInvalid, m.crashReportsInvalid, m.resumedStreams,
		m.partitioned, m.partitionChanges, m.partitionProbes)
	return m
}

// setPartitioned records whether this VM is partitioned from all upstreams.
func (m *metrics) setPartitioned(partitioned bool) {
	m.partitioned.Set(0)
	if partitioned {
		m.partitioned.Set(1)
	}
}

// recordRequest records the outcome and latency of a request. The configured routes bound
// the number of label values.
func (m *metrics) recordRequest(t *transaction, outcome string, elapsed time.Duration) {
	route := "none"
	if t.route != nil {
		route = t.route.Name
	}
	m.requests.WithLabelValues(route, outcome).Inc()
	m.latency.WithLabelValues(route).Observe(elapsed.Seconds())
}

// recordPlacement records the placement of a request by the owner of its engine.
func (m *metrics) recordPlacement(pool string, placed *enginepool.Placement) {
	m.placements.WithLabelValues(pool, "owner").Inc()
	m.promptTokens.WithLabelValues(pool, "cached").Add(float64(placed.CachedTokens))
	m.promptTokens.WithLabelValues(pool, "copied").Add(float64(placed.CopiedTokens))
	m.placementWait.WithLabelValues(pool).Observe(placed.Wait.Seconds())
}
