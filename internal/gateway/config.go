package gateway

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/internal/adminapi"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// config is the configuration in force and the data derived from it. It is immutable.
type config struct {
	tables    *table.Tables
	revisions adminapi.Revisions
	routes    map[string]*routeEntry
	vms       []table.VM
	// receivedAt is when the last snapshot arrived.
	receivedAt clock.Instant
	// confirmed is set if the agent knows of a recent confirmation by the platform, and
	// confirmedAgeMs is the age of the last confirmation at receivedAt.
	confirmed      bool
	confirmedAgeMs int64
}

// routeEntry is a route's definition with its metrics.
type routeEntry struct {
	definition *table.Route
	idempotent bool
	metrics    *routeMetrics
}

func (g *Gateway) buildRoutes(tables *table.Tables) map[string]*routeEntry {
	routes := make(map[string]*routeEntry, len(tables.Routes.Routes))
	for i := range tables.Routes.Routes {
		route := &tables.Routes.Routes[i]
		routes[route.Name] = &routeEntry{definition: route, idempotent: route.Idempotent(), metrics: g.metrics.forRoute(route)}
	}
	return routes
}

// zoneOutOfService reports whether the zone is out of service.
func (c *config) zoneOutOfService(zone string) bool {
	return slices.Contains(c.tables.Pools.OutOfService.Zones, zone)
}

// upstreamAddress returns the address of an upstream, or "" if it is unknown.
func (c *config) upstreamAddress(pool, name string) string {
	entry := c.tables.Pool(pool)
	if entry == nil {
		return ""
	}
	for i := range entry.Upstreams {
		if entry.Upstreams[i].Name == name {
			return entry.Upstreams[i].Address
		}
	}
	return ""
}
