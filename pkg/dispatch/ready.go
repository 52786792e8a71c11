package dispatch

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// zoneReturnPeriod is how long after a zone's return to service other zones help to warm it
// up. After it, the VMs of the zone take new requests even if its upstreams are cold.
const zoneReturnPeriod = 30 * time.Second

// Ready reports whether this VM should take new requests from callers. It should not while
// its zone is out of service, nor just after the zone's return while most upstreams of the
// zone are cold and other zones have warm ones: its requests could use little more than the
// capacity share that other zones grant to VMs from outside.
func (c *Core) Ready(now clock.Instant) bool {
	if c.snapshot.Tables == nil {
		return false
	}
	if slices.Contains(c.snapshot.Tables.Pools.OutOfService.Zones, c.options.Zone) {
		return false
	}
	if c.zoneReturnedAt == 0 || now.Sub(c.zoneReturnedAt) >= zoneReturnPeriod {
		return true
	}
	for i := range c.snapshot.Tables.Pools.Pools {
		if !c.pools[c.snapshot.Tables.Pools.Pools[i].Name].localReady() {
			return false
		}
	}
	return true
}

// localReady reports whether at least half of the upstreams in this VM's zone are warm, or no
// other zone has a warm one.
func (p *pool) localReady() bool {
	own, ownWarm, otherWarm := 0, 0, 0
	for _, u := range p.assigned {
		switch {
		case !u.InService:
		case u.OwnZone:
			own++
			ownWarm += boolToInt(u.Warm)
		default:
			otherWarm += boolToInt(u.Warm)
		}
	}
	return otherWarm == 0 || 2*ownWarm >= own
}

// trackZoneReturn records when this VM's zone came back into service.
func (c *Core) trackZoneReturn(now clock.Instant) {
	outOfService := slices.Contains(c.snapshot.Tables.Pools.OutOfService.Zones, c.options.Zone)
	if c.zoneOutOfService && !outOfService {
		c.zoneReturnedAt = now
	}
	c.zoneOutOfService = outOfService
}

// recentlyReturned reports whether the upstream came back into service within zoneReturnPeriod.
func (u *upstream) recentlyReturned(now clock.Instant) bool {
	return u.returnedAt != 0 && now.Sub(u.returnedAt) < zoneReturnPeriod
}

// pickForWarmUp returns a cold upstream with a free leased slot, if the attempt has enough time
// for a slow answer. Zone preference and prefix affinity alone would send no work to upstreams
// that came back into service or turned cold while the warm ones suffice.
func (c *Core) pickForWarmUp(now clock.Instant, a *attempt) *upstream {
	if a.extra || a.queueItem.LatestStart.Sub(now) < warmUpSlack*a.pool.meanServiceTime {
		return nil
	}
	a.pool.attemptsSinceWarmUp++
	for _, u := range a.pool.leased {
		if u.Warm || !u.assigned || u.pool != a.pool || !c.isAllowed(u) {
			continue
		}
		if u.recentlyReturned(now) || a.pool.attemptsSinceWarmUp >= warmUpInterval {
			a.pool.attemptsSinceWarmUp = 0
			return u
		}
	}
	return nil
}

// warmUpInterval bounds how many attempts are slowed by warming up: at most one of that many
// attempts of a pool goes to a cold upstream whose capacity is not needed.
const warmUpInterval = 20

// warmUpSlack is the slack, in mean service times, that an attempt must have to be sent to a
// cold upstream.
const warmUpSlack = 3

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
