package edge

import (
	"cmp"
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/replica"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/stagepool"
)

// View is an immutable snapshot of the published items as a request sees them.
type View struct {
	// Position is the position of the published items.
	Position replica.Position
	// Catalog is nil until a configuration is known.
	Catalog *catalog.Catalog
	// InService holds the upstreams that may receive new work, by pool.
	InService map[string][]*registry.Entry
	// ByID holds all registered upstreams by ID.
	ByID map[string]*registry.Entry
	// ZoneOf holds the zone of each upstream by its address.
	ZoneOf map[string]string
	// ByAddress holds all registered upstreams by address.
	ByAddress map[string]*registry.Entry
	// Shards holds the shards of all pools that run stages and of all pools of engines by name, and
	// ShardsOf by pool and in a fixed order. ShardAt holds those that run stages by the addresses of
	// their upstreams.
	Shards   map[string]*poolShard
	ShardsOf map[string][]*poolShard
	ShardAt  map[string]*poolShard
	// hasOpenShards is set if the shards of a pool depend on those that other VMs have.
	hasOpenShards bool
	// ZonesOut holds the zones that are out of service.
	ZonesOut map[string]bool
}

// poolShard is the part of a pool of stages that one VM owns.
type poolShard struct {
	stagepool.Shard
	pool string
	// hash is the hash of the name.
	hash rendezvous.Hash
	// batch describes the upstreams that run stages, and engine those that run a language model; it
	// is nil for the others.
	batch  catalog.Batch
	engine *catalog.Engine
	// entries are the upstreams in service, and members all that are registered.
	entries []*registry.Entry
	members []*registry.Entry
}

// resource returns the shard as a resource that a VM owns.
func (p *poolShard) resource() fleet.Resource { return fleet.Resource{Name: p.Name, Zone: p.Zone} }

// newView builds a view from the published items. isShard reports whether a shard exists already.
func newView(at replica.Position, c *catalog.Catalog, entries []*registry.Entry, zonesOut map[string]bool, isShard func(name string) bool) *View {
	view := &View{
		Position: at, Catalog: c, ZonesOut: zonesOut,
		InService: map[string][]*registry.Entry{}, ByID: make(map[string]*registry.Entry, len(entries)), ZoneOf: make(map[string]string, len(entries)),
		ByAddress: make(map[string]*registry.Entry, len(entries)),
		Shards:    map[string]*poolShard{}, ShardsOf: map[string][]*poolShard{}, ShardAt: map[string]*poolShard{},
	}
	for _, entry := range entries {
		view.ByID[entry.ID] = entry
		view.ZoneOf[entry.Address], view.ByAddress[entry.Address] = entry.Zone, entry
		if c == nil || c.Pools[entry.Pool] == nil || !view.takesWork(entry) {
			continue
		}
		view.InService[entry.Pool] = append(view.InService[entry.Pool], entry)
	}
	view.addShards(entries, isShard)
	return view
}

// takesWork reports whether an upstream may get new work: it is not draining, and its zone is not out of
// service.
func (v *View) takesWork(entry *registry.Entry) bool {
	return !entry.Draining && !v.ZonesOut[entry.Zone]
}

// addShards divides the pools that run stages and the pools of engines into shards. Upstreams that
// are draining or out of service belong to a shard as well, since they hold results, and since the
// shards then do not change when a zone leaves or returns.
func (v *View) addShards(entries []*registry.Entry, isShard func(name string) bool) {
	if v.Catalog == nil {
		return
	}
	byPool := map[string][]*registry.Entry{}
	for _, entry := range entries {
		if pool := v.Catalog.Pools[entry.Pool]; pool != nil && (pool.Batch != nil || pool.Engine != nil) {
			byPool[entry.Pool] = append(byPool[entry.Pool], entry)
		}
	}
	for pool, members := range byPool {
		upstreams := make([]stagepool.Upstream, 0, len(members))
		for _, entry := range members {
			upstreams = append(upstreams, stagepool.Upstream{ID: entry.ID, Zone: entry.Zone})
		}
		v.hasOpenShards = v.hasOpenShards || stagepool.IsPartitionOpen(upstreams)
		for i, shard := range stagepool.Partition(pool, upstreams, isShard) {
			v.addToShard(shard, members[i])
		}
	}
	for _, shard := range v.Shards {
		v.ShardsOf[shard.pool] = append(v.ShardsOf[shard.pool], shard)
	}
	for _, shards := range v.ShardsOf {
		slices.SortFunc(shards, func(a, b *poolShard) int { return cmp.Compare(a.Name, b.Name) })
	}
}

func (v *View) addToShard(id stagepool.Shard, entry *registry.Entry) {
	shard := v.Shards[id.Name]
	if shard == nil {
		pool := v.Catalog.Pools[entry.Pool]
		shard = &poolShard{Shard: id, pool: entry.Pool, hash: rendezvous.HashOf(id.Name), engine: pool.Engine}
		if pool.Batch != nil {
			shard.batch, shard.engine = *pool.Batch, nil
		}
		v.Shards[id.Name] = shard
	}
	if shard.engine == nil {
		v.ShardAt[entry.Address] = shard
	}
	shard.members = append(shard.members, entry)
	if v.takesWork(entry) {
		shard.entries = append(shard.entries, entry)
	}
}
