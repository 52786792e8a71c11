package edge

import "go.uber.org/zap"

// fleetSize is what limits of the whole fleet are divided by; see docs/design/limits-divided.md.
type fleetSize struct {
	// connections divides limits on connections, and rates those on requests per second.
	connections int
	rates       int
	// unknown is set if no other VM was found although the seeds name others.
	unknown bool
}

// size returns the divisors of limits.
func (g *gossip) size() fleetSize {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.sizes.Record(now, g.directory.Size())
	return fleetSize{connections: g.sizes.Size(now), rates: g.sizes.StrictSize(now), unknown: g.sizes.Unknown(now)}
}

// reportSize calls the callback if a divisor changed. It also changes without a change of the
// membership: when the time to find other VMs is over, and when a larger size was long ago.
func (g *gossip) reportSize() {
	size := g.size()
	g.mu.Lock()
	last := g.reportedSize
	g.reportedSize = size
	g.mu.Unlock()
	if size == last {
		return
	}
	if size.unknown != last.unknown {
		g.logger.Warn("size of the fleet", zap.Bool("unknown", size.unknown), zap.Int("connections_divided_by", size.connections),
			zap.Int("rates_divided_by", size.rates))
	}
	g.onSizeChange()
}

// configure applies seeds and the time by which they may be late.
func (g *gossip) configure(s *Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hellos.SetSeeds(s.Seeds)
	g.sizes.Configure(s.SeedLag, g.hellos.SeedCount())
}
