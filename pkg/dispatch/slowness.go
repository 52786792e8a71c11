package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

const (
	// commonWindow is how recent the attempts at other upstreams must be that are compared.
	// It spans several attempts at each upstream of a busy pool.
	commonWindow = time.Second
	// commonPart is the part of the other upstreams that must be slow as well.
	commonPart = 0.5
	// commonPools is the number of pools among which slow upstreams must be: those of one
	// pool may have turned cold together, such as after a release.
	commonPools = 2
)

// isCommonSlowness reports whether an attempt was slow while most other upstreams were slow,
// too. The cause is then the VM or the network, and no sign that an upstream turned cold.
// Where there are several zones, slow upstreams must be in several as well, since a zone that
// lost power comes back cold as a whole.
func (c *Core) isCommonSlowness(now clock.Instant, u *upstream, elapsed time.Duration) bool {
	if !u.limiter.Evidence.IsSlow(elapsed) {
		return false
	}
	seen, slow := 0, 0
	slowPools, slowZones, zones := map[*pool]bool{u.pool: true}, map[string]bool{u.Zone: true}, map[string]bool{u.Zone: true}
	for _, other := range c.ordered {
		if other == u || !other.serves || !other.InService {
			continue
		}
		zones[other.Zone] = true
		isSeen, isSlow := other.limiter.Evidence.Recent(now.Add(-commonWindow))
		if !isSeen {
			continue
		}
		seen++
		if isSlow {
			slow++
			slowPools[other.pool], slowZones[other.Zone] = true, true
		}
	}
	return slow > 0 && float64(slow) >= commonPart*float64(seen) &&
		len(slowPools) >= commonPools && len(slowZones) >= min(len(zones), 2)
}
