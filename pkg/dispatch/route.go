package dispatch

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// route is the state of one route of the routes table.
type route struct {
	serviceTimes *admission.RouteEstimate
	// pools lists each pool of the route once.
	pools []*pool
}

// unknownRoute is used for a route that is no longer in the table: its running requests
// continue without service time estimates.
var unknownRoute = &route{serviceTimes: admission.NewRouteEstimate(nil)}

func (c *Core) route(entry *table.Route) *route {
	if entry != nil {
		if r := c.routes[entry.Name]; r != nil {
			return r
		}
	}
	return unknownRoute
}

// newRoute builds the state of a route and keeps the service times of old, which may be nil.
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
	r.serviceTimes = admission.NewRouteEstimate(stages)
	if old != nil {
		r.serviceTimes.CopySamples(old.serviceTimes)
	}
	return r
}
