package dispatch

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// route is the state of one route of the table.
type route struct {
	times *admission.RouteEstimate
	// pools lists each pool of the route once.
	pools []*pool
}

// unknownRoute stands for a route that is no longer in the table; its running
// requests continue without estimates.
var unknownRoute = &route{times: admission.NewRouteEstimate(nil)}

func (c *Core) route(entry *table.Route) *route {
	if entry != nil {
		if r := c.routes[entry.Name]; r != nil {
			return r
		}
	}
	return unknownRoute
}

// newRoute builds the state of a route; old may be nil.
func (c *Core) newRoute(entry *table.Route, old *route) *route {
	r := &route{}
	stages := make([][]string, len(entry.Stages))
	for i := range entry.Stages {
		stages[i] = entry.Stages[i].Pools
		for _, name := range stages[i] {
			if p := c.pools[name]; p != nil && !slices.Contains(r.pools, p) {
				r.pools = append(r.pools, p)
			}
		}
	}
	r.times = admission.NewRouteEstimate(stages)
	if old != nil {
		r.times.CopySamples(old.times)
	}
	return r
}
