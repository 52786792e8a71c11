package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
)

// poolIdleTimeout is how long a pool without attempts still asks for leases. Longer, idle
// pools would cost messages without warming anything.
const poolIdleTimeout = 60 * time.Second

// activePeriod is how recently a pool must have had attempts to warm a returned zone.
const activePeriod = 5 * time.Second

// otherZonesLeaseDelay is how long attempts wait before leases of other zones are wanted.
const otherZonesLeaseDelay = time.Second

// WantedLeases returns the leases wanted on cold upstreams.
func (c *Core) WantedLeases(now clock.Instant) []LeaseRequest {
	if c.snapshot.Tables == nil {
		return nil
	}
	var wants []LeaseRequest
	for i := range c.snapshot.Tables.Pools.Pools {
		wants = c.pools[c.snapshot.Tables.Pools.Pools[i].Name].wantedLeases(now, wants)
	}
	return wants
}

func (p *pool) wantedLeases(now clock.Instant, wants []LeaseRequest) []LeaseRequest {
	if p.lastUsed == 0 || now.Sub(p.lastUsed) > poolIdleTimeout {
		return wants
	}
	extra := p.queue.Len() / max(p.inService, 1)
	foreign := !p.ownZoneInService() || p.hasLongWait(now)
	for _, u := range p.upstreams {
		if !u.assigned || !u.InService || u.Warm {
			continue
		}
		slots := 0
		if u.recentlyReturned(now) {
			// All zones with traffic warm it, and its own only once it has some.
			slots = boolToInt(now.Sub(p.lastUsed) < activePeriod)
		} else if u.OwnZone || foreign || !u.zoneHasVM {
			// One slot per VM leaves slots to others; more only for attempts that wait.
			slots = 1 + extra
		}
		slots = min(max(slots, u.InFlight), u.limiter.ColdCapacity)
		if slots == 0 {
			continue
		}
		wants = append(wants, LeaseRequest{
			Upstream: u.Name, Zone: u.Zone, Slots: slots, Capacity: u.limiter.ColdCapacity,
		})
	}
	return wants
}

// hasLongWait reports whether attempts have waited so long that the pool also needs
// cold upstreams of zones whose own VMs should warm them. Taken at once, such slots
// keep those VMs out for the lease and the longest deadline after it.
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

// SetLeases records the leases in hand; it replaces the earlier set.
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
