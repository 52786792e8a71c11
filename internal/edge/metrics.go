package edge

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
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
	// ignoredDatagrams counts membership datagrams that were not handled.
	ignoredDatagrams *prometheus.CounterVec
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
		ignoredDatagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_datagrams_ignored_total", Help: "Membership datagrams that were malformed or exceeded the rate of one address.",
		}, []string{"reason"}),
	}
	registry.MustRegister(m.requests, m.latency, m.firstEvent, m.stageCalls, m.stagePieces, m.stageRefused, m.panics, m.ignoredDatagrams)
	return m
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
