package edge

import (
	"math"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/catalog"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// coldRateFraction is the fraction of the rate limit of a cold upstream that the VMs use
// together. The rest is a margin for a network partition, in which each part of the fleet
// divides the limit among fewer VMs.
const coldRateFraction = 0.6

// coldShare divides the rate limit of a cold upstream among the VMs. It is computed for the cold
// upstreams alone, since a fleet has far more VMs and upstreams than upstreams in a cold start.
type coldShare struct {
	catalog *catalog.Catalog
	factor  float64
	burst   float64
	self    rendezvous.Hash
	vms     []rendezvous.Hash
}

func newColdShare(c *catalog.Catalog, s *Settings, names []string) *coldShare {
	share := &coldShare{
		catalog: c, factor: max(s.ColdRateFactor, 1), burst: s.ColdRateBurst, self: rendezvous.HashOf(s.VM), vms: make([]rendezvous.Hash, 0, len(names)),
	}
	for _, name := range names {
		share.vms = append(share.vms, rendezvous.HashOf(name))
	}
	return share
}

// limit returns how many requests per second this VM may send to a cold upstream. If there are
// more VMs than requests, the first VMs in the ranking of the upstream may send one each.
func (c *coldShare) limit(pool, id string) int {
	if c.catalog == nil || c.catalog.Pools[pool] == nil || c.catalog.Pools[pool].ColdRequestsPerSecond <= 0 {
		return math.MaxInt
	}
	total := int((c.catalog.Pools[pool].ColdRequestsPerSecond*c.factor + c.burst) * coldRateFraction)
	if share := total / max(len(c.vms), 1); share > 0 {
		return share
	}
	if c.rank(id) < total {
		return 1
	}
	return 0
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
