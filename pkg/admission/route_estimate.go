package admission

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// RouteEstimate estimates the service times of a route's stages.
type RouteEstimate struct {
	stages []routeStage
	// remaining[i] is the expected service time from stage i to the end of the route.
	remaining []time.Duration
}

type routeStage struct {
	pools     []string
	estimates []StageEstimate
}

// NewRouteEstimate returns an estimate without samples; stages lists the pools of each stage.
func NewRouteEstimate(stages [][]string) *RouteEstimate {
	r := &RouteEstimate{stages: make([]routeStage, len(stages)), remaining: make([]time.Duration, len(stages)+1)}
	for i, pools := range stages {
		r.stages[i] = routeStage{pools: pools, estimates: make([]StageEstimate, len(pools))}
	}
	return r
}

// CopySamples copies the samples of an earlier version of the route for each pool that is
// still in the same stage.
func (r *RouteEstimate) CopySamples(previous *RouteEstimate) {
	for i := range r.stages {
		for j, pool := range r.stages[i].pools {
			if estimate := previous.Estimate(i, pool); estimate != nil {
				r.stages[i].estimates[j] = *estimate
			}
		}
	}
	r.updateRemaining()
}

// Estimate returns the estimate for a stage in a pool, or nil if there is none.
func (r *RouteEstimate) Estimate(stage int, pool string) *StageEstimate {
	if stage < 0 || stage >= len(r.stages) {
		return nil
	}
	for j, name := range r.stages[stage].pools {
		if name == pool {
			return &r.stages[stage].estimates[j]
		}
	}
	return nil
}

// Record records the service time of an attempt.
func (r *RouteEstimate) Record(stage int, pool string, elapsed time.Duration) {
	estimate := r.Estimate(stage, pool)
	if estimate == nil {
		return
	}
	before := estimate.expected
	estimate.Record(elapsed)
	if estimate.expected != before {
		r.updateRemaining()
	}
}

// RemainingServiceTime returns the expected service time from the stage to the end of the
// route.
func (r *RouteEstimate) RemainingServiceTime(stage int) time.Duration {
	if stage < 0 || stage >= len(r.remaining) {
		return 0
	}
	return r.remaining[stage]
}

// AllowProbe reports whether a request may run as a probe from the stage on although the
// estimate exceeds its deadline.
func (r *RouteEstimate) AllowProbe(now clock.Instant, stage int) bool {
	allowed := false
	for i := max(stage, 0); i < len(r.stages); i++ {
		for j := range r.stages[i].estimates {
			allowed = r.stages[i].estimates[j].AllowProbe(now) || allowed
		}
	}
	if allowed {
		r.updateRemaining()
	}
	return allowed
}

func (r *RouteEstimate) updateRemaining() {
	for i := len(r.stages) - 1; i >= 0; i-- {
		slowest := time.Duration(0)
		for j := range r.stages[i].estimates {
			slowest = max(slowest, r.stages[i].estimates[j].expected)
		}
		r.remaining[i] = slowest + r.remaining[i+1]
	}
}
