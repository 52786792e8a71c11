package obs

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/prometheus/common/expfmt"
	"github.com/valyala/fasthttp"
)

// NewRegistry returns a registry with the metrics of the Go runtime and of the process. They
// include the CPU time and memory to which the limits of the control plane apply.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

// NewDropCounter registers and returns a counter for WithDropCounter.
func NewDropCounter(registerer prometheus.Registerer) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "hoist_log_lines_dropped_total",
		Help: "Log lines that sampling dropped.",
	})
	registerer.MustRegister(counter)
	return counter
}

// MetricsHandler serves /metrics for net/http.
func MetricsHandler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry})
}

// FastHTTPMetricsHandler serves /metrics for fasthttp in the Prometheus text format.
func FastHTTPMetricsHandler(gatherer prometheus.Gatherer) fasthttp.RequestHandler {
	format := expfmt.NewFormat(expfmt.TypeTextPlain)
	return func(ctx *fasthttp.RequestCtx) {
		families, err := gatherer.Gather()
		if err != nil {
			ctx.Error("gather metrics: "+err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType(string(format))
		encoder := expfmt.NewEncoder(ctx, format)
		for _, family := range families {
			if err := encoder.Encode(family); err != nil {
				ctx.Error("encode metrics: "+err.Error(), fasthttp.StatusInternalServerError)
				return
			}
		}
	}
}
