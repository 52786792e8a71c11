package edge

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/placement"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// coldRateFraction is the fraction of the rate limit of a cold upstream that the VMs use
// together. The rest is a margin for a network partition, in which each part of the fleet
// divides the limit among fewer VMs once it has forgotten the others.
const coldRateFraction = 0.6

// coldShare divides the rate limit of a cold upstream among the VMs. It is computed for the cold
// upstreams alone, since a fleet has far more VMs and upstreams than upstreams in a cold start.
type coldShare struct {
	catalog *catalog.Catalog
	factor  float64
	burst   float64
	self    rendezvous.Hash
	vms     []rendezvous.Hash
	// size is the number of VMs that may exist.
	size int
}

func newColdShare(c *catalog.Catalog, s *Settings, names []string, size int) *coldShare {
	share := &coldShare{
		catalog: c, factor: max(s.ColdRateFactor, 1), burst: s.ColdRateBurst, self: rendezvous.HashOf(s.VM), vms: make([]rendezvous.Hash, 0, len(names)), size: size,
	}
	for _, name := range names {
		share.vms = append(share.vms, rendezvous.HashOf(name))
	}
	return share
}

// rate returns what this VM may send to a cold upstream.
func (c *coldShare) rate(pool, id string) placement.ColdRate {
	if c.catalog == nil || c.catalog.Pools[pool] == nil || c.catalog.Pools[pool].ColdRequestsPerSecond <= 0 {
		return placement.UnlimitedColdRate
	}
	total := (c.catalog.Pools[pool].ColdRequestsPerSecond*c.factor + c.burst) * coldRateFraction
	return placement.DivideColdRate(total, placement.ColdFleet{
		Size: c.size, Known: len(c.vms), Rank: c.rank(id), Hash: rendezvous.Hash(rendezvous.WeightOf(rendezvous.HashOf(id), c.self)),
	})
}

// rank returns the number of VMs before this one in the ranking of the upstream.
func (c *coldShare) rank(id string) int {
	key := rendezvous.HashOf(id)
	own, before := rendezvous.WeightOf(key, c.self), 0
	for _, vm := range c.vms {
		if rendezvous.WeightOf(key, vm) > own {
			before++
		}
	}
	return before
}
