// Package table defines the configuration tables that operators write, routes and pools,
// and the published list of VMs. It decodes them strictly, validates the references between
// them and computes what changes from one version of the tables to the next.
package table

// Tables is a routes table and a pools table, indexed by name.
type Tables struct {
	Routes *Routes
	Pools  *Pools

	routes     map[string]*Route
	workspaces map[string]*Workspace
	pools      map[string]*Pool
	upstreams  map[string]upstreamEntry
	// zonesOutOfService and upstreamsOutOfService hold the names listed in out_of_service.
	zonesOutOfService     map[string]bool
	upstreamsOutOfService map[string]bool
}

// upstreamEntry is an upstream and the pool it belongs to.
type upstreamEntry struct {
	pool     *Pool
	upstream *Upstream
}

// NewTables indexes a routes table and a pools table by name. It expects validated tables.
func NewTables(routes *Routes, pools *Pools) *Tables {
	t := &Tables{
		Routes:     routes,
		Pools:      pools,
		routes:     make(map[string]*Route, len(routes.Routes)),
		workspaces: make(map[string]*Workspace, len(routes.Workspaces)),
		pools:      make(map[string]*Pool, len(pools.Pools)),
		upstreams:  map[string]upstreamEntry{},

		zonesOutOfService:     nameSet(pools.OutOfService.Zones),
		upstreamsOutOfService: nameSet(pools.OutOfService.Upstreams),
	}
	for i := range routes.Routes {
		t.routes[routes.Routes[i].Name] = &routes.Routes[i]
	}
	for i := range routes.Workspaces {
		t.workspaces[routes.Workspaces[i].Name] = &routes.Workspaces[i]
	}
	for i := range pools.Pools {
		pool := &pools.Pools[i]
		t.pools[pool.Name] = pool
		for j := range pool.Upstreams {
			t.upstreams[pool.Upstreams[j].Name] = upstreamEntry{pool, &pool.Upstreams[j]}
		}
	}
	return t
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// Route returns the route with the given name, or nil.
func (t *Tables) Route(name string) *Route { return t.routes[name] }

// Workspace returns the workspace with the given name, or nil.
func (t *Tables) Workspace(name string) *Workspace { return t.workspaces[name] }

// Pool returns the pool with the given name, or nil.
func (t *Tables) Pool(name string) *Pool { return t.pools[name] }

// Upstream returns the pool and the upstream with the given name, or nil for both.
func (t *Tables) Upstream(name string) (*Pool, *Upstream) {
	entry := t.upstreams[name]
	return entry.pool, entry.upstream
}

// UpstreamOutOfService reports whether the upstream is out of service, listed by its own name
// or by its zone. It does not allocate.
func (t *Tables) UpstreamOutOfService(upstream *Upstream) bool {
	return t.upstreamsOutOfService[upstream.Name] || t.zonesOutOfService[upstream.Zone]
}

// ZoneOutOfService reports whether the zone is out of service.
func (t *Tables) ZoneOutOfService(zone string) bool { return t.zonesOutOfService[zone] }
