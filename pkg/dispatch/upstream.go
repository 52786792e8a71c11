package dispatch

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/coldstart"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/table"
)

// upstream is the state of one upstream. It is kept after its removal from the table until
// its last reservation has ended.
type upstream struct {
	routing.Upstream
	limiter coldstart.Limiter
	entry   *table.Upstream
	pool    *pool
	// assigned is set if this VM belongs to the subset of VMs that may use the upstream.
	assigned bool
	// outOfService is set while the tables in force take the upstream out of service.
	outOfService bool
	// returnedAt is when the upstream last came back into service.
	returnedAt clock.Instant
	// zoneHasVM is set if the published VM list has a VM in the upstream's zone.
	zoneHasVM bool
	// keptUntil holds the expiry times of reservations whose attempts have ended here
	// while the upstream may still run them.
	keptUntil []clock.Instant
	// capacity is the part of the pool's capacity that this upstream contributes.
	capacity int
}

// updateLimits recomputes limit, warmth and capacity after an event.
func (u *upstream) updateLimits(now clock.Instant) {
	limit, warm, until := u.limiter.Limit(now)
	u.Warm, u.Limit, u.LimitUntil = warm, limit, until
	capacity := limit
	u.Load.Capacity, u.Load.Share = u.limiter.ColdCapacity, limit
	if warm {
		capacity = u.limiter.Share
		u.Load.Capacity, u.Load.Share = u.pool.entry.Capacity.Warm, u.limiter.Share
	}
	if !u.InService || !u.assigned {
		capacity = 0
	}
	u.pool.capacity += capacity - u.capacity
	u.capacity = capacity
	u.pool.spillover.Update(&u.Upstream)
}

// reserve adds the reservation of an attempt.
func (u *upstream) reserve() {
	u.InFlight++
	u.pool.spillover.Update(&u.Upstream)
}

// unreserve ends a reservation.
func (u *upstream) unreserve() {
	u.InFlight--
	u.pool.spillover.Update(&u.Upstream)
}

// releaseExpired ends the kept reservations whose time has passed.
func (u *upstream) releaseExpired(now clock.Instant) {
	kept := u.keptUntil[:0]
	for _, until := range u.keptUntil {
		if until > now {
			kept = append(kept, until)
			continue
		}
		u.unreserve()
	}
	u.keptUntil = kept
}

// retire stops new work on an upstream that left the table.
func (u *upstream) retire(now clock.Instant) {
	u.InService = false
	u.assigned = false
	u.updateLimits(now)
}
