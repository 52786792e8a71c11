package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/published"
)

// observeEra registers metrics of the era of the published items, and counts its changes.
func (s *Server) observeEra() {
	era := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "hoist_edge_store_era", Help: "Era of the published items; 0 if unknown. It rises when the store returns from a copy.",
	}, func() float64 { return float64(s.follower.position().Era) })
	changes := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hoist_edge_store_era_changes_total", Help: "Changes to the published items of a higher era.",
	})
	s.registry.MustRegister(era, changes)
	s.follower.onNewEra = func(*published.EraChange) { changes.Inc() }
}
