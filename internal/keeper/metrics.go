package keeper

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/keeper"
)

// Label values of the result of a read from another member.
const (
	readDone      = "done"
	readFailed    = "failed"
	readMalformed = "malformed"
)

var verdictNames = map[keeper.Verdict]string{
	keeper.Granted: "granted", keeper.Held: "held", keeper.WrongView: "wrong_view",
	keeper.Inactive: "inactive", keeper.Full: "full",
}

type metrics struct {
	claims        *prometheus.CounterVec
	reads         *prometheus.CounterVec
	deferredReads prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, s *Service) *metrics {
	m := &metrics{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_keeper_claims_total", Help: "Claims and leases that were answered, by verdict.",
		}, []string{"kind", "verdict"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_keeper_reads_total", Help: "Reads from other members, by result.",
		}, []string{"result"}),
		deferredReads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hoist_keeper_reads_deferred_total", Help: "Reads put off because too many were under way.",
		}),
	}
	gauge := func(name, help string, value func(keeper.Stats) int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
			func() float64 { return float64(value(s.stats())) })
	}
	registerer.MustRegister(
		m.claims, m.reads, m.deferredReads,
		gauge("hoist_keeper_records", "Records held.", func(k keeper.Stats) int { return k.Records }),
		gauge("hoist_keeper_shards_active", "Shards in which the VM votes.", func(k keeper.Stats) int { return k.Active }),
		gauge("hoist_keeper_shards_syncing", "Shards that the VM reads in order to vote.", func(k keeper.Stats) int { return k.Syncing }),
	)
	return m
}

func (m *metrics) countClaim(lease bool, verdict keeper.Verdict) {
	kind := "claim"
	if lease {
		kind = "lease"
	}
	m.claims.WithLabelValues(kind, verdictNames[verdict]).Inc()
}
