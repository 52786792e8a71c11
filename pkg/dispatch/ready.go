package dispatch

import (
	"slices"
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// zoneReturnPeriod is how long after its return to service a zone is warmed by work of all
// zones before its own VMs take callers' requests in any case.
const zoneReturnPeriod = 30 * time.Second

// Ready reports whether this VM should take new requests from callers: not while its
// zone is out of service, and not right after its return while at most cold upstreams
// of the zone could serve them and other zones have warm ones. Until then its
// requests would find little more than the part that other zones keep for outside work.
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

// localReady reports whether at least half of the own zone's upstreams are warm, or
// no other zone is better off.
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
	out := slices.Contains(c.snapshot.Tables.Pools.OutOfService.Zones, c.options.Zone)
	if c.zoneOutOfService && !out {
		c.zoneReturnedAt = now
	}
	c.zoneOutOfService = out
}

// recentlyReturned reports whether the upstream came back into service a short time ago.
func (u *upstream) recentlyReturned(now clock.Instant) bool {
	return u.returnedAt != 0 && now.Sub(u.returnedAt) < zoneReturnPeriod
}

// pickForWarmUp returns a cold upstream that has a leased slot free, if the attempt has time for
// a slow one. Zone preference and prefix homes alone would give no work to upstreams that
// came back into service or turned cold while the others suffice.
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

// warmUpInterval is the number of attempts of a pool of which at most one goes to a cold
// upstream that the load does not need, which bounds the attempts that are slow for it.
const warmUpInterval = 20

// warmUpSlack is the slack that an attempt needs for a cold upstream, in service times.
const warmUpSlack = 3

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
