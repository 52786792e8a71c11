package dispatch

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// Apply replaces the snapshot in force. After it returns, no attempt starts on an upstream
// that the snapshot removes or takes out of service, not even a queued one.
func (c *Core) Apply(now clock.Instant, snapshot Snapshot) Effects {
	c.beginEvent()
	if snapshot.Tables == nil {
		return c.effects()
	}
	old := c.snapshot
	c.snapshot = snapshot
	if old.Tables != snapshot.Tables || !slices.Equal(old.VMs, snapshot.VMs) {
		c.rebuild(now)
	}
	for i := range snapshot.Warmth {
		c.mergeWarmth(now, &snapshot.Warmth[i])
	}
	for i := range snapshot.Suspects {
		c.suspects.Merge(now, &snapshot.Suspects[i])
	}
	c.recheckHeld(now)
	for i := range c.snapshot.Tables.Pools.Pools {
		c.refreshPool(now, c.pools[c.snapshot.Tables.Pools.Pools[i].Name])
	}
	c.dispatchAllQueued(now)
	return c.effects()
}

func (c *Core) mergeWarmth(now clock.Instant, report *WarmthReport) {
	u := c.upstreams[report.Upstream]
	if u == nil || report.Reporter == c.options.VM {
		return
	}
	u.limiter.Warmth.Merge(now, report)
}

// rebuild updates pools, upstreams and routes to the tables and the VM list of the snapshot.
func (c *Core) rebuild(now clock.Instant) {
	c.trackZoneReturn(now)
	tables := c.snapshot.Tables
	old, removed := c.pools, c.removedPools()
	c.pools = make(map[string]*pool, len(tables.Pools.Pools))
	for _, p := range old {
		// Clear the candidates of all old pools, since an upstream may change its pool or zone.
		p.spillover.SetCandidates(nil)
	}
	for _, u := range c.orderedUpstreams {
		u.retire(now)
	}
	vms := vmNodes(c.snapshot.VMs)
	for i := range tables.Pools.Pools {
		entry := &tables.Pools.Pools[i]
		p := old[entry.Name]
		if p == nil {
			p = &pool{queue: admission.NewQueue(), prefixSalt: xxhash.Sum64String(entry.Name)}
			p.spillover = routing.ZoneSpillover{Picker: c.picker, Scorer: c.picker.Scorer}
		}
		p.entry = entry
		c.pools[entry.Name] = p
		c.rebuildPool(now, p, vms)
	}
	c.rebuildRoutes()
	for _, p := range removed {
		p.upstreams = nil
		c.refuseAll(p)
	}
}

// removedPools returns the pools that the snapshot removes, sorted by name.
func (c *Core) removedPools() []*pool {
	var removed []*pool
	for name, p := range c.pools {
		if c.snapshot.Tables.Pool(name) == nil {
			removed = append(removed, p)
		}
	}
	slices.SortFunc(removed, func(a, b *pool) int { return strings.Compare(a.entry.Name, b.entry.Name) })
	return removed
}

func (c *Core) rebuildPool(now clock.Instant, p *pool, vms []routing.Node) {
	p.upstreams = p.upstreams[:0]
	p.assigned = p.assigned[:0]
	p.inService = 0
	subsets := routing.Subsets(upstreamNodes(p.entry.Upstreams), vms)
	for i := range p.entry.Upstreams {
		u := c.rebuildUpstream(now, p, &p.entry.Upstreams[i], subsets[i])
		u.ID = i
		p.upstreams = append(p.upstreams, u)
		if !u.assigned {
			continue
		}
		p.assigned = append(p.assigned, &u.Upstream)
		if u.InService {
			p.inService++
		}
	}
	p.spillover.SetCandidates(p.assigned)
	p.updateStats(now)
}

func (c *Core) rebuildUpstream(now clock.Instant, p *pool, entry *table.Upstream, subset []routing.Node) *upstream {
	u := c.upstreams[entry.Name]
	if u == nil {
		u = &upstream{pool: p}
		c.upstreams[entry.Name] = u
		c.orderedUpstreams = append(c.orderedUpstreams, u)
	}
	if u.entry != nil && (u.entry.Address != entry.Address || u.pool != p) {
		// Another process uses the name now.
		u.limiter.Warmth.Discard(now)
		u.Backoff.RecordSuccess()
		c.affinity.RemoveUpstream(&u.Upstream)
	}
	u.entry, u.pool = entry, p
	u.Name, u.Zone, u.OwnZone = entry.Name, entry.Zone, entry.Zone == c.options.Zone
	wasOutOfService := u.outOfService
	u.InService = c.inService(entry)
	u.outOfService = !u.InService
	if wasOutOfService && !u.outOfService {
		u.returnedAt = now
	}
	if u.outOfService || wasOutOfService {
		// It may come back as another process, so it starts cold. Reports of VMs that still
		// used it while it was out of service here don't count either.
		u.limiter.Warmth.Discard(now)
		u.Backoff.RecordSuccess()
		c.affinity.RemoveUpstream(&u.Upstream)
	}
	members := subsetMembers(subset)
	u.assigned = slices.ContainsFunc(members, func(m coldstart.Member) bool { return m.VM == c.options.VM })
	u.zoneHasVM = slices.ContainsFunc(c.snapshot.VMs, func(vm table.VM) bool { return vm.Zone == entry.Zone })
	u.limiter.Warmth.WarmAfter = p.entry.Capacity.WarmAfter
	u.limiter.ColdCapacity = p.entry.Capacity.Cold
	u.limiter.Share = coldstart.Share(entry.Name, entry.Zone, p.entry.Capacity.Warm, members, c.options.VM)
	u.updateLimits(now)
	return u
}

func (c *Core) inService(entry *table.Upstream) bool {
	out := &c.snapshot.Tables.Pools.OutOfService
	return !slices.Contains(out.Zones, entry.Zone) && !slices.Contains(out.Upstreams, entry.Name)
}

func (c *Core) rebuildRoutes() {
	old := c.routes
	entries := c.snapshot.Tables.Routes.Routes
	c.routes = make(map[string]*route, len(entries))
	for i := range entries {
		c.routes[entries[i].Name] = c.newRoute(&entries[i], old[entries[i].Name])
	}
}

func vmNodes(vms []table.VM) []routing.Node {
	result := make([]routing.Node, len(vms))
	for i := range vms {
		result[i] = routing.Node{Name: vms[i].Name, Zone: vms[i].Zone}
	}
	return result
}

func upstreamNodes(upstreams []table.Upstream) []routing.Node {
	result := make([]routing.Node, len(upstreams))
	for i := range upstreams {
		result[i] = routing.Node{Name: upstreams[i].Name, Zone: upstreams[i].Zone}
	}
	return result
}

func subsetMembers(subset []routing.Node) []coldstart.Member {
	result := make([]coldstart.Member, len(subset))
	for i := range subset {
		result[i] = coldstart.Member{VM: subset[i].Name, Zone: subset[i].Zone}
	}
	return result
}
