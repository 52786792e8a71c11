package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
)

// poolIdleTimeout is how long a pool without attempts goes on requesting leases. For idle
// pools they cost messages without warming anything.
const poolIdleTimeout = 60 * time.Second

// activePeriod is how recently a pool must have had attempts for this VM to help warm up a
// zone that came back into service.
const activePeriod = 5 * time.Second

// otherZonesLeaseDelay is how long attempts must have waited before the pool requests
// leases in other zones.
const otherZonesLeaseDelay = time.Second

// WantedLeases returns the leases that this VM needs on cold upstreams.
func (c *Core) WantedLeases(now clock.Instant) []LeaseRequest {
	if c.snapshot.Tables == nil {
		return nil
	}
	var requests []LeaseRequest
	for i := range c.snapshot.Tables.Pools.Pools {
		requests = c.pools[c.snapshot.Tables.Pools.Pools[i].Name].wantedLeases(now, requests)
	}
	return requests
}

func (p *pool) wantedLeases(now clock.Instant, requests []LeaseRequest) []LeaseRequest {
	if p.lastUsed == 0 || now.Sub(p.lastUsed) > poolIdleTimeout {
		return requests
	}
	extra := p.queue.Len() / max(p.inService, 1)
	useOtherZones := !p.ownZoneInService() || p.hasLongWait(now)
	for _, u := range p.upstreams {
		if !u.assigned || !u.InService || u.Warm {
			continue
		}
		slots := 0
		if u.recentlyReturned(now) {
			// VMs of all zones warm it up, those of its own zone only once they have traffic.
			slots = boolToInt(now.Sub(p.lastUsed) < activePeriod)
		} else if u.OwnZone || useOtherZones || !u.zoneHasVM {
			// One slot per VM leaves slots to other VMs; waiting attempts justify more.
			slots = 1 + extra
		}
		slots = min(max(slots, u.InFlight), u.limiter.ColdCapacity)
		if slots == 0 {
			continue
		}
		requests = append(requests, LeaseRequest{
			Upstream: u.Name, Zone: u.Zone, Slots: slots, Capacity: u.limiter.ColdCapacity,
		})
	}
	return requests
}

// hasLongWait reports whether attempts have waited so long that the pool also requests
// leases on cold upstreams of other zones. Requesting them at once would keep the
// slots from the VMs of those zones until the lease has expired and the longest deadline after
// it has passed.
func (p *pool) hasLongWait(now clock.Instant) bool {
	return p.waitingSince != 0 && now.Sub(p.waitingSince) >= otherZonesLeaseDelay
}

func (p *pool) ownZoneInService() bool {
	for _, u := range p.assigned {
		if u.OwnZone && u.InService {
			return true
		}
	}
	return false
}

// SetLeases replaces the set of leases that this VM holds.
func (c *Core) SetLeases(now clock.Instant, leases []HeldLease) Effects {
	c.beginEvent()
	if c.snapshot.Tables == nil {
		return c.effects()
	}
	for _, u := range c.orderedUpstreams {
		u.limiter.Lease = coldstart.Lease{}
	}
	for _, p := range c.pools {
		p.leased = p.leased[:0]
	}
	for i := range leases {
		if u := c.upstreams[leases[i].Upstream]; u != nil {
			u.pool.leased = append(u.pool.leased, u)
			u.limiter.Lease = coldstart.Lease{Slots: leases[i].Slots, Until: leases[i].Until}
		}
	}
	for _, u := range c.orderedUpstreams {
		u.updateLimits(now)
	}
	c.dispatchAllQueued(now)
	return c.effects()
}
