package edge

import (
	"math/rand/v2"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/fleet"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/rendezvous"
)

// chooseShard returns the shard for a stage of a request: one of the given zone or, if that has
// none in service or cannot be reached, of this VM's zone or of any. It returns nil if no upstream
// of the pool is in service.
func (s *Server) chooseShard(view *View, pool, zone, request string) *poolShard {
	if zone == "" || !s.isZoneReachable(zone) || s.isZoneSuspect(zone) {
		zone = s.settings.Zone
	}
	var inZone, reachable, others []*poolShard
	for _, shard := range view.ShardsOf[pool] {
		switch {
		case len(shard.entries) == 0:
		case shard.Zone == "" || shard.Zone == zone:
			inZone = append(inZone, shard)
		case s.isZoneReachable(shard.Zone) && !s.isZoneSuspect(shard.Zone):
			reachable = append(reachable, shard)
		default:
			others = append(others, shard)
		}
	}
	for _, candidates := range [][]*poolShard{inZone, reachable, others} {
		if len(candidates) > 0 {
			return shardOfRequest(candidates, request)
		}
	}
	return nil
}

// shardOfRequest returns one of the shards by the hash of the request, which spreads the requests
// evenly and is the same each time.
func shardOfRequest(shards []*poolShard, request string) *poolShard {
	key := rendezvous.HashOf(request)
	best, bestWeight := shards[0], uint64(0)
	for _, shard := range shards {
		if weight := rendezvous.WeightOf(key, rendezvous.HashOf(shard.Name)); weight >= bestWeight {
			best, bestWeight = shard, weight
		}
	}
	return best
}

// otherShards returns up to n other shards of the pool in random order, of zones that can be
// reached and whose owners respond to reservations.
func (s *Server) otherShards(view *View, chosen *poolShard, n int) []*poolShard {
	var out []*poolShard
	for _, shard := range view.ShardsOf[chosen.pool] {
		if shard != chosen && len(shard.entries) > 0 && s.takesReservations(shard.Zone) {
			out = append(out, shard)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// ownableResources returns the shards that this VM may own: those of its own zone, undivided
// pools, those of zones that have no reachable VM, and those that it has claimed.
func (s *Server) ownableResources(view *View) []fleet.Resource {
	var out []fleet.Resource
	for _, shard := range view.Shards {
		if shard.engine != nil && s.fleetSize.Load() <= s.maxDecidingAlone && !s.gossip.hasClaimed(shard.Name) {
			continue
		}
		if shard.Zone == "" || shard.Zone == s.settings.Zone || !s.isZoneReachable(shard.Zone) || s.gossip.hasClaimed(shard.Name) {
			out = append(out, shard.resource())
		}
	}
	return out
}

// resourceOf returns the resource of a shard.
func (s *Server) resourceOf(name string) fleet.Resource {
	if view := s.view.Load(); view != nil && view.Shards[name] != nil {
		return view.Shards[name].resource()
	}
	return fleet.Resource{Name: name}
}
