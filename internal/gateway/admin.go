package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/dispatch"
)

// adminReadTimeout bounds the reading of a request on the administration listener.
const adminReadTimeout = 10 * time.Second

// ServeAdmin serves health checks, metrics and status until ctx ends.
func (g *Gateway) ServeAdmin(ctx context.Context, listener net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET "+adminapi.PathMetrics, promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+adminapi.PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Status()) })
	mux.HandleFunc("GET "+adminapi.PathExplain, g.handleExplain)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	// A profile takes as long as its caller asks for, so writing has no time limit.
	server := &http.Server{Handler: mux, ReadTimeout: adminReadTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return server.Serve(listener)
}

// Status returns the document that the gateway serves at /status.
func (g *Gateway) Status() adminapi.GatewayStatus {
	status := adminapi.GatewayStatus{
		Program: adminapi.ProgramGateway, VM: g.options.VM, Zone: g.options.Zone,
		Ready: g.notReady() == "", Draining: g.stopping.Load(), InFlight: int(g.inFlight.Load()),
		SnapshotAgeMs: -1, Upstreams: []adminapi.UpstreamStatus{},
	}
	current := g.config.Load()
	if current == nil {
		return status
	}
	status.Revisions, status.Confirmed = current.revisions, current.confirmed
	for _, state := range g.upstreamStates("") {
		status.Upstreams = append(status.Upstreams, adminapi.UpstreamStatus{
			Pool: state.Pool, Upstream: state.Upstream, Zone: state.Zone, Address: current.upstreamAddress(state.Pool, state.Upstream),
			OutOfService: !state.InService, Warmth: warmthOf(&state), InFlight: state.InFlight,
			Limit: state.Limit, EstimatedLoad: state.Load,
		})
	}
	status.SnapshotAgeMs = g.options.Now().Sub(current.receivedAt).Milliseconds() + current.confirmedAgeMs
	return status
}

func (g *Gateway) handleExplain(w http.ResponseWriter, r *http.Request) {
	current := g.config.Load()
	route, workspace := r.URL.Query().Get(adminapi.ParamRoute), r.URL.Query().Get(adminapi.ParamWorkspace)
	switch {
	case current == nil:
		writeJSON(w, http.StatusServiceUnavailable, adminapi.Error{Error: "no configuration is in use"})
	case current.routes[route] == nil:
		writeJSON(w, http.StatusNotFound, adminapi.Error{Error: "no such route"})
	case current.tables.Workspace(workspace) == nil:
		writeJSON(w, http.StatusNotFound, adminapi.Error{Error: "no such workspace"})
	default:
		writeJSON(w, http.StatusOK, g.explain(current, current.routes[route], workspace))
	}
}

func (g *Gateway) explain(current *config, route *routeEntry, workspace string) adminapi.Explanation {
	explanation := adminapi.Explanation{
		VM: g.options.VM, Zone: g.options.Zone, Route: route.definition.Name, Workspace: workspace, Revisions: current.revisions,
	}
	for _, stage := range route.definition.Stages {
		entry := adminapi.StageExplanation{Stage: stage.Name}
		for _, pool := range stage.Pools {
			entry.Pools = append(entry.Pools, adminapi.PoolExplanation{Pool: pool, Candidates: candidates(g.upstreamStates(pool))})
		}
		explanation.Stages = append(explanation.Stages, entry)
	}
	return explanation
}

func candidates(states []dispatch.UpstreamState) []adminapi.Candidate {
	list := []adminapi.Candidate{}
	for i := range states {
		state := &states[i]
		filter := adminapi.FilterOK
		if state.Excluded != "" {
			filter = state.Excluded
		}
		list = append(list, adminapi.Candidate{
			Upstream: state.Upstream, Zone: state.Zone, Filter: filter, Score: state.Score,
			Warmth: warmthOf(state), InFlight: state.InFlight, Limit: state.Limit,
		})
	}
	return list
}

// upstreamStates returns the Core's state of a pool's upstreams, or of all upstreams if
// pool is "".
func (g *Gateway) upstreamStates(pool string) []dispatch.UpstreamState {
	now := g.options.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if pool == "" {
		return g.core.Status(now)
	}
	return g.core.Explain(now, pool)
}

// warmthOf returns the warmth of an upstream. A warm one is ramping until its limit reaches
// this VM's full share of its capacity.
func warmthOf(state *dispatch.UpstreamState) adminapi.Warmth {
	switch {
	case !state.Warm:
		return adminapi.WarmthCold
	case state.Limit < state.Share:
		return adminapi.WarmthRamping
	}
	return adminapi.WarmthWarm
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so it is ignored.
	_ = json.NewEncoder(w).Encode(value)
}
