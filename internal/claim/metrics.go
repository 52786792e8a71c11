package claim

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// Label values of decisions other than refusals; a refusal has the name of its kind.
const (
	decisionRun    = "run"
	decisionResult = "result"
)

var outcomeNames = map[keeper.Outcome]string{
	keeper.OutcomeResult: "result", keeper.OutcomeNotRun: "not_run", keeper.OutcomeRunning: "running",
	keeper.OutcomeExpired: "expired", keeper.OutcomeUnknown: "unknown",
}

type metrics struct {
	claimSeconds *prometheus.HistogramVec
	outcomes     *prometheus.CounterVec
	failedCalls  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, c *Client) *metrics {
	m := &metrics{
		claimSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "hoist_claim_seconds", Help: "Time to decide a claim, by decision.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}, []string{"decision"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_claim_outcomes_total", Help: "Outcomes told to other gateways.",
		}, []string{"outcome"}),
		failedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_claim_calls_failed_total", Help: "Calls to keepers and holders that failed.",
		}),
	}
	registerer.MustRegister(m.claimSeconds, m.outcomes, m.failedCalls, prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Name: "hoist_claim_result_bytes", Help: "Bytes of results kept for resends."},
		func() float64 {
			c.attempts.mu.Lock()
			defer c.attempts.mu.Unlock()
			return float64(c.attempts.resultBytes)
		}))
	return m
}

func (m *metrics) observeClaim(decision Decision, elapsed time.Duration) {
	label := decisionRun
	switch {
	case decision.Result != nil:
		label = decisionResult
	case decision.Refusal != nil:
		label = decision.Refusal.Kind.String()
	}
	m.claimSeconds.WithLabelValues(label).Observe(elapsed.Seconds())
}

func (m *metrics) countOutcome(outcome keeper.Outcome) {
	m.outcomes.WithLabelValues(outcomeNames[outcome]).Inc()
}
