package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// sweepInterval is the interval between removals of unused state.
const sweepInterval = time.Second

// Tick expires waiting attempts, leases and warmth. Call it at least every DefaultTickInterval
// (50 ms).
func (c *Core) Tick(now clock.Instant) Effects {
	c.beginEvent()
	c.handlePause(now)
	c.stalls.tick(now)
	if c.snapshot.Tables == nil {
		return c.effects()
	}
	for _, u := range c.orderedUpstreams {
		u.releaseExpired(now)
	}
	c.recheckHeld(now)
	for i := range c.snapshot.Tables.Pools.Pools {
		p := c.pools[c.snapshot.Tables.Pools.Pools[i].Name]
		c.refreshPool(now, p)
		c.refuseOverdue(now, p)
		c.dispatchQueued(now, p)
	}
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.sweep(now)
	}
	return c.effects()
}

func (c *Core) refreshPool(now clock.Instant, p *pool) {
	for _, u := range p.upstreams {
		u.updateLimits(now)
	}
	p.updateStats(now)
}

// sweep removes state that is no longer needed.
func (c *Core) sweep(now clock.Instant) {
	c.usage.Expire(now)
	c.suspects.Expire(now)
	for _, p := range c.pools {
		p.queue.Expire()
	}
	kept := c.orderedUpstreams[:0]
	for _, u := range c.orderedUpstreams {
		if u.InFlight == 0 && !u.inTables() {
			delete(c.upstreams, u.Name)
			continue
		}
		kept = append(kept, u)
	}
	clear(c.orderedUpstreams[len(kept):])
	c.orderedUpstreams = kept
}

// inTables reports whether the tables in force contain the upstream.
func (u *upstream) inTables() bool {
	return u.ID < len(u.pool.upstreams) && u.pool.upstreams[u.ID] == u
}
