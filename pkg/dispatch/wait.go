package dispatch

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// maxSkipped is how many attempts with restrictions (suspects and those that exclude
// upstreams) may be skipped to place attempts behind them in the queue.
const maxSkipped = 8

// maxHeldAttempts bounds the attempts that are held for a verdict on whether their request is a
// poison request, for example when many callers send the same one.
const maxHeldAttempts = 1024

// CancelQueued removes a queued attempt, for example because its caller has disconnected.
func (c *Core) CancelQueued(now clock.Instant, ticket Ticket) Effects {
	c.beginEvent()
	a := c.attempts.get(ticket)
	if a == nil || a.upstream != nil {
		return c.effects()
	}
	p := a.pool
	p.queue.Remove(&a.queueItem)
	c.removeHeld(a)
	c.attempts.release(ticket)
	c.dispatchQueued(now, p)
	return c.effects()
}

// dispatchQueued places queued attempts of the pool while upstreams are free.
func (c *Core) dispatchQueued(now clock.Instant, p *pool) {
	if p.queue.Len() == 0 {
		return
	}
	if p.inService == 0 {
		c.refuseAll(p)
		return
	}
	var skipped [maxSkipped]*attempt
	count := 0
	for count < maxSkipped {
		item := p.queue.Pop()
		if item == nil {
			break
		}
		a := c.attempts.get(Ticket(item.Key))
		if c.placeQueued(now, a) {
			continue
		}
		skipped[count] = a
		count++
		if !a.suspect && len(a.exclude) == 0 {
			break
		}
	}
	for _, a := range skipped[:count] {
		p.queue.Requeue(&a.queueItem, a.workspace, a.weight)
	}
}

// placeQueued dispatches, holds or refuses an attempt that was taken from the queue. It returns
// false if no upstream is free, so that the attempt must go back to the queue.
func (c *Core) placeQueued(now clock.Instant, a *attempt) bool {
	if a.queueItem.LatestStart < now {
		c.grant(c.refuse(a, errWaitExpired))
		return true
	}
	if !a.pool.hasUntried(a.exclude) {
		c.grant(c.refuse(a, errNoUpstream))
		return true
	}
	if a.extra && !a.pool.budget.Available() {
		c.grant(c.refuse(a, errRetryBudgetSpent))
		return true
	}
	// The request may have become a suspect while it was queued.
	switch c.suspects.Check(now, a.fingerprint) {
	case poison.Refuse:
		c.grant(c.refuse(a, errPoisonRequest))
		return true
	case poison.Wait:
		a.held = true
		c.held = append(c.held, a)
		return true
	case poison.Isolate:
		a.suspect = true
	case poison.Allow:
		a.suspect = false
	}
	u := c.pick(now, a)
	if u == nil {
		return false
	}
	c.grant(c.dispatch(now, a, u))
	return true
}

func (c *Core) dispatchAllQueued(now clock.Instant) {
	for i := range c.snapshot.Tables.Pools.Pools {
		c.dispatchQueued(now, c.pools[c.snapshot.Tables.Pools.Pools[i].Name])
	}
}

// refuseAll refuses all waiting attempts of a pool that has no upstream in service.
func (c *Core) refuseAll(p *pool) {
	for item := p.queue.Pop(); item != nil; item = p.queue.Pop() {
		c.grant(c.refuse(c.attempts.get(Ticket(item.Key)), errNoUpstream))
	}
	kept := c.held[:0]
	for _, a := range c.held {
		if a.pool == p {
			c.grant(c.refuse(a, errNoUpstream))
			continue
		}
		kept = append(kept, a)
	}
	c.held = kept
}

// refuseOverdue refuses queued attempts that can no longer meet their deadline.
func (c *Core) refuseOverdue(now clock.Instant, p *pool) {
	var item *admission.Item
	for item = p.queue.PopOverdue(now); item != nil; item = p.queue.PopOverdue(now) {
		c.grant(c.refuse(c.attempts.get(Ticket(item.Key)), errWaitExpired))
	}
}

// recheckHeld asks again for the verdicts on all held attempts.
func (c *Core) recheckHeld(now clock.Instant) {
	if len(c.held) == 0 {
		return
	}
	waiting := c.held
	c.held = nil
	for _, a := range waiting {
		c.recheck(now, a)
	}
}

func (c *Core) recheck(now clock.Instant, a *attempt) {
	if a.queueItem.LatestStart < now {
		c.grant(c.refuse(a, errWaitExpired))
		return
	}
	verdict := c.suspects.Check(now, a.fingerprint)
	if verdict == poison.Wait {
		c.held = append(c.held, a)
		return
	}
	a.held = false
	var refusal *errkind.Error
	switch {
	case verdict == poison.Refuse:
		refusal = errPoisonRequest
	case !a.pool.hasUntried(a.exclude):
		refusal = errNoUpstream
	default:
		refusal = a.pool.checkQueue(now, a)
	}
	if refusal != nil {
		c.grant(c.refuse(a, refusal))
		return
	}
	a.suspect = verdict == poison.Isolate
	a.pool.queue.Push(a.workspace, a.weight, &a.queueItem)
	c.dispatchQueued(now, a.pool)
}

func (c *Core) removeHeld(a *attempt) {
	if !a.held {
		return
	}
	for i, other := range c.held {
		if other == a {
			c.held = append(c.held[:i], c.held[i+1:]...)
			return
		}
	}
}

func (c *Core) grant(choice Choice) { c.grants = append(c.grants, choice) }
