package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/hornbeamhoist/hornbeamhoist/internal/bootclock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/configuration"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/membership"
)

// metrics are the metrics of an agent. Gauges that show the core's state are read at
// collection.
type metrics struct {
	agent     *Agent
	handler   fasthttp.RequestHandler
	reads     *prometheus.CounterVec
	readBytes *prometheus.CounterVec

	revision     *prometheus.Desc
	newest       *prometheus.Desc
	rejected     *prometheus.Desc
	confirmed    *prometheus.Desc
	confirmedAge *prometheus.Desc
	reader       *prometheus.Desc
	catchingUp   *prometheus.Desc
	members      *prometheus.Desc
	warmth       *prometheus.Desc
	suspects     *prometheus.Desc
}

func newMetrics(registry *prometheus.Registry, agent *Agent) *metrics {
	newDesc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("hoist_agent_"+name, help, labels, nil)
	}
	m := &metrics{
		agent:   agent,
		handler: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_agent_platform_reads_total", Help: "Finished reads from the configuration service.",
		}, []string{"value", "result"}),
		readBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_agent_platform_read_bytes_total", Help: "Bytes of values read from the configuration service.",
		}, []string{"value"}),
		revision:     newDesc("revision", "Revision in force.", "value"),
		newest:       newDesc("newest_revision", "Highest revision held, in force or rejected.", "value"),
		rejected:     newDesc("rejected_revision", "Newer revision that is held but not in force; absent if none.", "value"),
		confirmed:    newDesc("confirmed", "1 if the platform has confirmed the values recently."),
		confirmedAge: newDesc("confirmed_age_seconds", "Time since the oldest of the last confirmations."),
		reader:       newDesc("reader", "1 if this agent holds waiting watches."),
		catchingUp:   newDesc("catching_up", "1 from a start or pause until a peer has been heard."),
		members:      newDesc("members", "Other published VMs by status.", "status"),
		warmth:       newDesc("warmth_entries", "Evidence about upstreams held."),
		suspects:     newDesc("suspects", "Suspect fingerprints held."),
	}
	registry.MustRegister(m, m.reads, m.readBytes, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) countRead(name configuration.Name, status configuration.ReadStatus, bytes int) {
	result := "failed"
	switch status {
	case configuration.ReadValue:
		result = "value"
	case configuration.ReadNoNewerValue:
		result = "nothing"
	}
	m.reads.WithLabelValues(string(name), result).Inc()
	m.readBytes.WithLabelValues(string(name)).Add(float64(bytes))
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		m.revision, m.newest, m.rejected, m.confirmed, m.confirmedAge, m.reader, m.catchingUp, m.members, m.warmth, m.suspects,
	} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(out chan<- prometheus.Metric) {
	m.agent.mu.Lock()
	now := bootclock.Now()
	snapshot := m.agent.core.Snapshot(now)
	warmth, suspects := m.agent.core.Reports(now)
	status := m.agent.core.Status(now)
	m.agent.mu.Unlock()
	addGauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for _, name := range configuration.Names {
		addGauge(m.revision, float64(status.InForce[name]), string(name))
		addGauge(m.newest, float64(status.Newest[name]), string(name))
	}
	for _, rejection := range status.Rejections {
		addGauge(m.rejected, float64(rejection.Revision), string(rejection.Name))
	}
	counts := map[membership.Status]int{}
	for _, state := range snapshot.Members {
		counts[state.Status]++
	}
	for _, status := range []membership.Status{membership.Alive, membership.Suspect, membership.Unreachable} {
		addGauge(m.members, float64(counts[status]), status.String())
	}
	addGauge(m.confirmed, boolToFloat(snapshot.Confirmed))
	addGauge(m.confirmedAge, snapshot.ConfirmedAge.Seconds())
	addGauge(m.reader, boolToFloat(status.Reader))
	addGauge(m.catchingUp, boolToFloat(snapshot.CatchingUp))
	addGauge(m.warmth, float64(len(warmth)))
	addGauge(m.suspects, float64(len(suspects)))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
