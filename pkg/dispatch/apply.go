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

// Apply takes over a snapshot. From its return on no attempt starts on an upstream
// that the snapshot removes or takes out of service, queued ones included.
func (c *Core) Apply(now clock.Instant, snapshot Snapshot) Effects {
	c.begin()
	if snapshot.Tables == nil {
		return c.effects()
	}
	old := c.snapshot
	c.snapshot = snapshot
	if old.Tables != snapshot.Tables || !slices.Equal(old.VMs, snapshot.VMs) {
		c.rebuild(now)
	}
	for i := range snapshot.Warmth {
		c.merge(now, &snapshot.Warmth[i])
	}
	for i := range snapshot.Suspects {
		c.suspects.Merge(now, &snapshot.Suspects[i])
	}
	c.judgeHeld(now)
	for i := range c.snapshot.Tables.Pools.Pools {
		c.refreshPool(now, c.pools[c.snapshot.Tables.Pools.Pools[i].Name])
	}
	c.drainAll(now)
	return c.effects()
}

func (c *Core) merge(now clock.Instant, report *WarmthReport) {
	u := c.upstreams[report.Upstream]
	if u == nil || report.Reporter == c.options.VM {
		return
	}
	u.limiter.Evidence.Merge(now, report)
}

// rebuild brings pools, upstreams and routes in line with the tables and the VM list.
func (c *Core) rebuild(now clock.Instant) {
	c.noteReturn(now)
	tables := c.snapshot.Tables
	old, gone := c.pools, c.gonePools()
	c.pools = make(map[string]*pool, len(tables.Pools.Pools))
	for _, p := range old {
		// An upstream may change its pool or zone, so none stays listed under the old one.
		p.spill.SetCandidates(nil)
	}
	for _, u := range c.ordered {
		u.retire(now)
	}
	vms := places(c.snapshot.VMs)
	for i := range tables.Pools.Pools {
		entry := &tables.Pools.Pools[i]
		p := old[entry.Name]
		if p == nil {
			p = &pool{queue: admission.NewQueue(), salt: xxhash.Sum64String(entry.Name)}
			p.spill = routing.ZoneSpillover{Picker: c.picker, Scorer: c.picker.Scorer}
		}
		p.entry = entry
		c.pools[entry.Name] = p
		c.rebuildPool(now, p, vms)
	}
	c.rebuildRoutes()
	for _, p := range gone {
		p.upstreams = nil
		c.refuseAll(p)
	}
}

// gonePools returns the pools that the snapshot removes, in the order of their names.
func (c *Core) gonePools() []*pool {
	var gone []*pool
	for name, p := range c.pools {
		if c.snapshot.Tables.Pool(name) == nil {
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, func(a, b *pool) int { return strings.Compare(a.entry.Name, b.entry.Name) })
	return gone
}

func (c *Core) rebuildPool(now clock.Instant, p *pool, vms []routing.Node) {
	p.upstreams = p.upstreams[:0]
	p.served = p.served[:0]
	p.inService = 0
	subsets := routing.Subsets(upstreamPlaces(p.entry.Upstreams), vms)
	for i := range p.entry.Upstreams {
		u := c.rebuildUpstream(now, p, &p.entry.Upstreams[i], subsets[i])
		u.ID = i
		p.upstreams = append(p.upstreams, u)
		if !u.serves {
			continue
		}
		p.served = append(p.served, &u.Upstream)
		if u.InService {
			p.inService++
		}
	}
	p.spill.SetCandidates(p.served)
	p.measure(now)
}

func (c *Core) rebuildUpstream(now clock.Instant, p *pool, entry *table.Upstream, subset []routing.Node) *upstream {
	u := c.upstreams[entry.Name]
	if u == nil {
		u = &upstream{pool: p}
		c.upstreams[entry.Name] = u
		c.ordered = append(c.ordered, u)
	}
	if u.entry != nil && (u.entry.Address != entry.Address || u.pool != p) {
		// Another process serves under the name now.
		u.limiter.Evidence.Forget(now)
		u.Connection.RecordSuccess()
		c.affinity.RemoveUpstream(&u.Upstream)
	}
	u.entry, u.pool = entry, p
	u.Name, u.Zone, u.OwnZone = entry.Name, entry.Zone, entry.Zone == c.options.Zone
	wasOut := u.out
	u.InService = c.inService(entry)
	u.out = !u.InService
	if wasOut && !u.out {
		u.returned = now
	}
	if u.out || wasOut {
		// It may come back as another process, so its return begins cold. Reports of VMs
		// that still used it in the meantime don't count either.
		u.limiter.Evidence.Forget(now)
		u.Connection.RecordSuccess()
		c.affinity.RemoveUpstream(&u.Upstream)
	}
	members := members(subset)
	u.serves = slices.ContainsFunc(members, func(m coldstart.Member) bool { return m.VM == c.options.VM })
	u.zoneHasVM = slices.ContainsFunc(c.snapshot.VMs, func(vm table.VM) bool { return vm.Zone == entry.Zone })
	u.limiter.Evidence.WarmAfter = p.entry.Capacity.WarmAfter
	u.limiter.ColdCapacity = p.entry.Capacity.Cold
	u.limiter.Share = coldstart.Share(entry.Name, entry.Zone, p.entry.Capacity.Warm, members, c.options.VM)
	u.refresh(now)
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

func places(vms []table.VM) []routing.Node {
	list := make([]routing.Node, len(vms))
	for i := range vms {
		list[i] = routing.Node{Name: vms[i].Name, Zone: vms[i].Zone}
	}
	return list
}

func upstreamPlaces(upstreams []table.Upstream) []routing.Node {
	list := make([]routing.Node, len(upstreams))
	for i := range upstreams {
		list[i] = routing.Node{Name: upstreams[i].Name, Zone: upstreams[i].Zone}
	}
	return list
}

func members(subset []routing.Node) []coldstart.Member {
	list := make([]coldstart.Member, len(subset))
	for i := range subset {
		list[i] = coldstart.Member{VM: subset[i].Name, Zone: subset[i].Zone}
	}
	return list
}
