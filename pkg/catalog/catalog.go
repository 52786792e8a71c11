// Package catalog holds the operators' tables in the form in which an edge process uses
// them: routes that select by host and path, pools with their limits, and workspaces with
// their keys.
package catalog

import (
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the operators' tables. It does not change once it is in use.
type Catalog struct {
	// Version increases with each change.
	Version    int64
	Routes     []Route
	Pools      map[string]*Pool
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route
	byName map[string]bool
	byKey  map[string]*Workspace
}

// Limits bounds what callers may send. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a group of callers.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Index prepares the look-ups. Call it once before the first one.
func (c *Catalog) Index() {
	c.byHost, c.byName = map[string][]*Route{}, map[string]bool{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.byName[route.Name] = true
		c.byHost[route.Host] = append(c.byHost[route.Host], route)
	}
	for _, routes := range c.byHost {
		// The longest prefix comes first, so that the first match is the one to use.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
}

// Match returns the route with the longest prefix of the path among those of the host,
// or nil.
func (c *Catalog) Match(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, route := range c.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// HasRoute reports whether there is a route of the name.
func (c *Catalog) HasRoute(name string) bool { return c.byName[name] }

// NeedsKey reports whether requests of the route must carry a key.
func (c *Catalog) NeedsKey(route *Route) bool {
	return len(c.Workspaces) > 0 && !route.Anonymous
}

// WorkspaceOf returns the workspace that holds the key, or nil.
func (c *Catalog) WorkspaceOf(key string) *Workspace { return c.byKey[key] }
