package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// widespreadWindow is how recent the attempts at other upstreams must be to be compared. It
	// spans several attempts at each upstream of a busy pool.
	widespreadWindow = time.Second
	// widespreadFraction is the fraction of the other upstreams that must be slow as well.
	widespreadFraction = 0.5
	// widespreadMinPools is the number of pools that must have slow upstreams. The upstreams of
	// one pool may turn cold together, for example after a deployment.
	widespreadMinPools = 2
)

// isWidespreadSlowness reports whether an attempt was slow while most other upstreams were
// slow too. The cause is then this VM or the network, and the upstream need not be cold. If
// there are several zones, slow upstreams must be in at least two of them, since after a power
// failure all upstreams of a zone come back cold.
func (c *Core) isWidespreadSlowness(now clock.Instant, u *upstream, elapsed time.Duration) bool {
	if !u.limiter.Warmth.IsSlow(elapsed) {
		return false
	}
	seen, slow := 0, 0
	slowPools, slowZones, zones := map[*pool]bool{u.pool: true}, map[string]bool{u.Zone: true}, map[string]bool{u.Zone: true}
	for _, other := range c.orderedUpstreams {
		if other == u || !other.assigned || !other.InService {
			continue
		}
		zones[other.Zone] = true
		isSeen, isSlow := other.limiter.Warmth.RecentAttempts(now.Add(-widespreadWindow))
		if !isSeen {
			continue
		}
		seen++
		if isSlow {
			slow++
			slowPools[other.pool], slowZones[other.Zone] = true, true
		}
	}
	return slow > 0 && float64(slow) >= widespreadFraction*float64(seen) &&
		len(slowPools) >= widespreadMinPools && len(slowZones) >= min(len(zones), 2)
}
