package edge

import "github.com/prometheus/client_golang/prometheus"

// tunnelMetrics are the metrics of connections to upstreams that VMs carry for each other.
type tunnelMetrics struct {
	// opened counts attempts of this VM to open a connection through another VM.
	opened *prometheus.CounterVec
	// carried, refused and bytes are of the connections that this VM carries for others.
	carried prometheus.Gauge
	refused *prometheus.CounterVec
	bytes   *prometheus.CounterVec
}

func newTunnelMetrics(registry prometheus.Registerer) *tunnelMetrics {
	m := &tunnelMetrics{
		opened: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_tunnel_attempts_total", Help: "Attempts of this VM to reach an upstream through another VM, by outcome.",
		}, []string{"outcome"}),
		carried: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "hoist_edge_tunnels_carried", Help: "Connections to upstreams that this VM carries for other VMs.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_tunnels_refused_total", Help: "Connections that this VM did not open for other VMs, by reason.",
		}, []string{"reason"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_edge_tunnel_bytes_total", Help: "Bytes that this VM carried for other VMs, by direction.",
		}, []string{"direction"}),
	}
	registry.MustRegister(m.opened, m.carried, m.refused, m.bytes)
	return m
}
