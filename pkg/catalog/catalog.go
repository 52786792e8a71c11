// Package catalog holds the configuration that an edge process serves: routes matched by host
// and path, upstream pools with their limits, and workspaces with their API keys.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the configuration. It is immutable after Index.
type Catalog struct {
	// Version increases with each change.
	Version    int64
	Routes     []Route
	Pools      map[string]*Pool
	Workspaces []Workspace
	// KeysRequired is set if the configuration lists workspaces, even if it lists none: when the last one
	// is removed, no key is valid and routes stay closed.
	KeysRequired bool
	Limits       Limits

	routesByHost    map[string][]*Route
	routeNames      map[string]bool
	workspacesByKey map[string]*Workspace
}

// Limits bounds client requests and connections. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a group of callers that authenticate with the same set of keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Index builds the lookup maps. It must be called once before any lookup.
func (c *Catalog) Index() {
	c.routesByHost, c.routeNames = map[string][]*Route{}, map[string]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.routeNames[route.Name] = true
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
	}
	for _, routes := range c.routesByHost {
		// Sort by descending prefix length so that the first match is the longest.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.workspacesByKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.workspacesByKey[key] = &c.Workspaces[i]
		}
	}
}

// Match returns the route of the host with the longest prefix that begins the path as it was sent, or
// nil. The host is case-insensitive and may carry a port.
func (c *Catalog) Match(host string, target Target) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.routesByHost[host] {
		if strings.HasPrefix(target.path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HasRoute reports whether a route with the name exists.
func (c *Catalog) HasRoute(name string) bool { return c.routeNames[name] }

// NeedsKey reports whether requests of the route must carry a key. If the configuration does not
// state workspaces, no route needs one.
func (c *Catalog) NeedsKey(route *Route) bool {
	return (c.KeysRequired || len(c.Workspaces) > 0) && !route.Anonymous
}

// WorkspaceOf returns the workspace that the key belongs to, or nil.
func (c *Catalog) WorkspaceOf(key string) *Workspace { return c.workspacesByKey[key] }
