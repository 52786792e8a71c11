package edge

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/registry"
)

// View is what a request sees of the published items. It does not change.
type View struct {
	// Revision is the revision of the items.
	Revision uint64
	// Catalog is nil until a configuration is known.
	Catalog *catalog.Catalog
	// InService holds the upstreams that may receive new work, by pool.
	InService map[string][]registry.Entry
	// ByID holds all registered upstreams.
	ByID map[string]registry.Entry
	// ZoneOf holds the zone of each upstream's address.
	ZoneOf map[string]string
	// ZonesOut are the zones out of service.
	ZonesOut map[string]bool
}

// newView joins the items.
func newView(revision uint64, c *catalog.Catalog, entries []registry.Entry, zonesOut map[string]bool) *View {
	view := &View{
		Revision: revision, Catalog: c, ZonesOut: zonesOut,
		InService: map[string][]registry.Entry{}, ByID: map[string]registry.Entry{}, ZoneOf: map[string]string{},
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

// stagePoolNames returns the names of the pools of stages, sorted.
func (v *View) stagePoolNames() []string {
	var out []string
	for name, pool := range v.Catalog.Pools {
		if pool.Batch != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// batchConfig returns the definition of a pool of stages.
func (v *View) batchConfig(pool string) (catalog.Batch, bool) {
	if v == nil || v.Catalog == nil || v.Catalog.Pools[pool] == nil || v.Catalog.Pools[pool].Batch == nil {
		return catalog.Batch{}, false
	}
	return *v.Catalog.Pools[pool].Batch, true
}
