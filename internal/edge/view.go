package edge

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// View is an immutable snapshot of the published items as a request sees them.
type View struct {
	// Revision is the revision of the published items.
	Revision uint64
	// Catalog is nil until a configuration is known.
	Catalog *catalog.Catalog
	// InService holds the upstreams that may receive new work, by pool.
	InService map[string][]*registry.Entry
	// ByID holds all registered upstreams by ID.
	ByID map[string]*registry.Entry
	// ZoneOf holds the zone of each upstream by its address.
	ZoneOf map[string]string
	// ZonesOut holds the zones that are out of service.
	ZonesOut map[string]bool
}

// newView builds a view from the published items.
func newView(revision uint64, c *catalog.Catalog, entries []*registry.Entry, zonesOut map[string]bool) *View {
	view := &View{
		Revision: revision, Catalog: c, ZonesOut: zonesOut,
		InService: map[string][]*registry.Entry{}, ByID: make(map[string]*registry.Entry, len(entries)), ZoneOf: make(map[string]string, len(entries)),
	}
	for _, entry := range entries {
		view.ByID[entry.ID] = entry
		view.ZoneOf[entry.Address] = entry.Zone
		if c == nil || c.Pools[entry.Pool] == nil || entry.Draining || zonesOut[entry.Zone] {
			continue
		}
		view.InService[entry.Pool] = append(view.InService[entry.Pool], entry)
	}
	return view
}

// stagePoolNames returns the sorted names of the pools that run stages.
func (v *View) stagePoolNames() []string {
	var names []string
	for name, pool := range v.Catalog.Pools {
		if pool.Batch != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// batchConfig returns the batch settings of a pool that runs stages.
func (v *View) batchConfig(pool string) (catalog.Batch, bool) {
	if v == nil || v.Catalog == nil || v.Catalog.Pools[pool] == nil || v.Catalog.Pools[pool].Batch == nil {
		return catalog.Batch{}, false
	}
	return *v.Catalog.Pools[pool].Batch, true
}
