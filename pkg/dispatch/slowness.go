package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// widespreadWindow is how recent the attempts at other upstreams must be that are compared.
	// It spans several attempts at each upstream of a busy pool.
	widespreadWindow = time.Second
	// widespreadFraction is the part of the other upstreams that must be slow as well.
	widespreadFraction = 0.5
	// widespreadMinPools is the number of pools among which slow upstreams must be: those of one
	// pool may have turned cold together, such as after a release.
	widespreadMinPools = 2
)

// isWidespreadSlowness reports whether an attempt was slow while most other upstreams were slow,
// too. The cause is then the VM or the network, and no sign that an upstream turned cold.
// Where there are several zones, slow upstreams must be in several as well, since a zone that
// lost power comes back cold as a whole.
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
