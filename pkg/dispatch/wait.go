package dispatch

import (
	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
)

// maxSkipped is how many attempts with special demands (suspects, excluded
// upstreams) are passed over while others can be placed.
const maxSkipped = 8

// maxHeld bounds the attempts that wait for a verdict, as when many callers send one
// poison request.
const maxHeld = 1024

// Abandon removes a queued Selection, for example because its caller has gone.
func (c *Core) Abandon(now clock.Instant, ticket Ticket) Effects {
	c.begin()
	a := c.attempts.get(ticket)
	if a == nil || a.upstream != nil {
		return c.effects()
	}
	p := a.pool
	p.queue.Remove(&a.item)
	c.unhold(a)
	c.attempts.release(ticket)
	c.drain(now, p)
	return c.effects()
}

// drain places waiting attempts of the pool while upstreams are free.
func (c *Core) drain(now clock.Instant, p *pool) {
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
		if c.placeWaiting(now, a) {
			continue
		}
		skipped[count] = a
		count++
		if !a.suspect && len(a.exclude) == 0 {
			break
		}
	}
	for _, a := range skipped[:count] {
		p.queue.Requeue(&a.item, a.workspace, a.weight)
	}
}

// placeWaiting grants or refuses an attempt that left the queue; false means that it
// has to go on waiting.
func (c *Core) placeWaiting(now clock.Instant, a *attempt) bool {
	if a.item.LatestStart < now {
		c.grant(c.refuse(a, errOverdue))
		return true
	}
	if !a.pool.reaches(a.exclude) {
		c.grant(c.refuse(a, errNoUpstream))
		return true
	}
	if a.extra && !a.pool.budget.Available() {
		c.grant(c.refuse(a, errBudget))
		return true
	}
	// The request may have become a suspect while it waited.
	switch c.suspects.Check(now, a.fingerprint) {
	case poison.Refuse:
		c.grant(c.refuse(a, errPoison))
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

func (c *Core) drainAll(now clock.Instant) {
	for i := range c.snapshot.Tables.Pools.Pools {
		c.drain(now, c.pools[c.snapshot.Tables.Pools.Pools[i].Name])
	}
}

// refuseAll ends all waits of a pool that has no upstream any more.
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

// refuseOverdue ends waits that cannot meet their deadline any more.
func (c *Core) refuseOverdue(now clock.Instant, p *pool) {
	var item *admission.Item
	for item = p.queue.PopOverdue(now); item != nil; item = p.queue.PopOverdue(now) {
		c.grant(c.refuse(c.attempts.get(Ticket(item.Key)), errOverdue))
	}
}

// judgeHeld looks again at attempts that wait for the verdict on their request.
func (c *Core) judgeHeld(now clock.Instant) {
	if len(c.held) == 0 {
		return
	}
	waiting := c.held
	c.held = nil
	for _, a := range waiting {
		c.judge(now, a)
	}
}

func (c *Core) judge(now clock.Instant, a *attempt) {
	if a.item.LatestStart < now {
		c.grant(c.refuse(a, errOverdue))
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
		refusal = errPoison
	case !a.pool.reaches(a.exclude):
		refusal = errNoUpstream
	default:
		refusal = a.pool.mayWait(now, a)
	}
	if refusal != nil {
		c.grant(c.refuse(a, refusal))
		return
	}
	a.suspect = verdict == poison.Isolate
	a.pool.queue.Push(a.workspace, a.weight, &a.item)
	c.drain(now, a.pool)
}

func (c *Core) unhold(a *attempt) {
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
