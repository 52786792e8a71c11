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

// metrics are an agent's own metrics. Values that the decisions hold are read when
// they are collected.
type metrics struct {
	agent   *Agent
	handler fasthttp.RequestHandler
	reads   *prometheus.CounterVec
	bytes   *prometheus.CounterVec

	revision  *prometheus.Desc
	newest    *prometheus.Desc
	rejected  *prometheus.Desc
	confirmed *prometheus.Desc
	age       *prometheus.Desc
	reader    *prometheus.Desc
	catching  *prometheus.Desc
	members   *prometheus.Desc
	warmth    *prometheus.Desc
	suspects  *prometheus.Desc
}

func newMetrics(registry *prometheus.Registry, agent *Agent) *metrics {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("hoist_agent_"+name, help, labels, nil)
	}
	m := &metrics{
		agent:   agent,
		handler: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_agent_platform_reads_total", Help: "Finished reads from the configuration service.",
		}, []string{"value", "result"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hoist_agent_platform_read_bytes_total", Help: "Bytes of values read from the configuration service.",
		}, []string{"value"}),
		revision:  describe("revision", "Revision in force.", "value"),
		newest:    describe("newest_revision", "Highest revision held, in force or rejected.", "value"),
		rejected:  describe("rejected_revision", "Newer revision that is held but not in force; absent if none.", "value"),
		confirmed: describe("confirmed", "1 if the platform has confirmed the values recently."),
		age:       describe("confirmed_age_seconds", "Time since the oldest of the last confirmations."),
		reader:    describe("reader", "1 if this agent holds waiting watches."),
		catching:  describe("catching_up", "1 from a start or pause until a peer has been heard."),
		members:   describe("members", "Other published VMs by status.", "status"),
		warmth:    describe("warmth_entries", "Evidence about upstreams held."),
		suspects:  describe("suspects", "Suspect fingerprints held."),
	}
	registry.MustRegister(m, m.reads, m.bytes, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) read(name configuration.Name, status configuration.ReadStatus, bytes int) {
	result := "failed"
	switch status {
	case configuration.ReadValue:
		result = "value"
	case configuration.ReadNoNewerValue:
		result = "nothing"
	}
	m.reads.WithLabelValues(string(name), result).Inc()
	m.bytes.WithLabelValues(string(name)).Add(float64(bytes))
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		m.revision, m.newest, m.rejected, m.confirmed, m.age, m.reader, m.catching, m.members, m.warmth, m.suspects,
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
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	for _, name := range configuration.Names {
		gauge(m.revision, float64(status.InForce[name]), string(name))
		gauge(m.newest, float64(status.Newest[name]), string(name))
	}
	for _, rejection := range status.Rejections {
		gauge(m.rejected, float64(rejection.Revision), string(rejection.Name))
	}
	counts := map[membership.Status]int{}
	for _, state := range snapshot.Members {
		counts[state.Status]++
	}
	for _, status := range []membership.Status{membership.Alive, membership.Suspect, membership.Unreachable} {
		gauge(m.members, float64(counts[status]), status.String())
	}
	gauge(m.confirmed, boolValue(snapshot.Confirmed))
	gauge(m.age, snapshot.ConfirmedAge.Seconds())
	gauge(m.reader, boolValue(status.Reader))
	gauge(m.catching, boolValue(snapshot.CatchingUp))
	gauge(m.warmth, float64(len(warmth)))
	gauge(m.suspects, float64(len(suspects)))
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
