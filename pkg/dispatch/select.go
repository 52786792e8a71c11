package dispatch

import (
	"slices"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/poison"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/routing"
)

// Select chooses an upstream for an attempt, queues it or refuses it.
func (c *Core) Select(now clock.Instant, selection Selection) Choice {
	p := c.pools[selection.Pool]
	if p == nil && c.snapshot.Tables == nil {
		return refused(errNotConfigured)
	}
	if p == nil {
		return refused(errPoolGone)
	}
	p.used = now
	c.noticePause(now)
	if !p.reaches(selection.Exclude) {
		return refused(errNoUpstream)
	}
	verdict := c.suspects.Check(now, selection.Fingerprint)
	if verdict == poison.Refuse {
		return refused(errPoison)
	}
	r := c.route(selection.Route)
	latest := selection.Deadline.Add(-r.times.RemainingTime(selection.Stage))
	if latest < now {
		if selection.Deadline <= now || !r.times.AllowProbe(now, selection.Stage) {
			return refused(errDeadline)
		}
		latest = selection.Deadline
	}
	if selection.Extra && !p.budget.Available() {
		return refused(errBudget)
	}
	ticket, a := c.attempts.take()
	a.fill(ticket, &selection)
	a.pool, a.route, a.weight = p, r, c.weight(selection.Workspace)
	a.item.LatestStart = latest
	return c.start(now, a, verdict)
}

// start places a new attempt at once, lets it wait or refuses it.
func (c *Core) start(now clock.Instant, a *attempt, verdict poison.Verdict) Choice {
	if verdict == poison.Wait {
		if !a.mayWait {
			return c.refuse(a, errExtraBusy)
		}
		if len(c.held) >= maxHeld {
			return c.refuse(a, errQueue)
		}
		a.held = true
		c.held = append(c.held, a)
		return Choice{Ticket: a.ticket, Queued: true}
	}
	a.suspect = verdict == poison.Isolate
	if !a.mayWait || a.pool.queue.Len() == 0 {
		if u := c.pick(now, a); u != nil {
			return c.dispatch(now, a, u)
		}
	}
	if !a.mayWait {
		return c.refuse(a, errExtraBusy)
	}
	if refusal := a.pool.mayWait(now, a); refusal != nil {
		return c.refuse(a, refusal)
	}
	a.pool.queue.Push(a.workspace, a.weight, &a.item)
	return Choice{Ticket: a.ticket, Queued: true}
}

// mayWait bounds the queue by length and by the wait that the deadline leaves room for.
func (p *pool) mayWait(now clock.Instant, a *attempt) *errkind.Error {
	if !p.queue.Accepts(a.workspace, a.weight) {
		return errQueue
	}
	if now.Add(p.wait(p.queue.AttemptsAhead(a.workspace, a.weight))) > a.item.LatestStart {
		return errWait
	}
	return nil
}

// pick chooses an upstream for the attempt, or returns nil if none is free.
func (c *Core) pick(now clock.Instant, a *attempt) *upstream {
	p := a.pool
	c.query = routing.Query{Now: now, Exclude: a.exclude, Suspect: a.suspect, Prefix: a.prefix}
	if len(p.leased) > 0 {
		if u := c.warmUp(now, a); u != nil {
			return u
		}
	}
	if a.prefix != 0 {
		if u := c.preferred(p, a.prefix); u != nil {
			return u
		}
	}
	chosen := p.spill.Pick(&c.query)
	if chosen == nil {
		return nil
	}
	return p.upstreams[chosen.ID]
}

// preferred returns an upstream that is likely to have the prefix in its cache: its
// home, or where this gateway sent it last when the home was busy.
func (c *Core) preferred(p *pool, prefix uint64) *upstream {
	if u := c.acceptable(p, p.spill.PreferredUpstream(prefix^p.salt)); u != nil {
		return u
	}
	return c.acceptable(p, c.affinity.Lookup(prefix^p.salt))
}

// acceptable returns nil for an upstream that is excluded or loaded well above the mean.
func (c *Core) acceptable(p *pool, u *routing.Upstream) *upstream {
	if u == nil || u.ID >= len(p.upstreams) || &p.upstreams[u.ID].Upstream != u {
		return nil
	}
	if !c.allowed(p.upstreams[u.ID]) {
		return nil
	}
	if !routing.AcceptableLoad(u.Load.Estimate(c.query.Now, u.InFlight), p.meanLoad, u.Load.Capacity) {
		return nil
	}
	return p.upstreams[u.ID]
}

// allowed reports whether the attempt of the current query may use the upstream.
func (c *Core) allowed(u *upstream) bool {
	return u.serves && routing.ExcludedBy(c.filters, &c.query, &u.Upstream) == ""
}

// dispatch reserves the upstream for the attempt.
func (c *Core) dispatch(now clock.Instant, a *attempt, u *upstream) Choice {
	switch {
	case a.extra:
		a.pool.budget.TryWithdraw()
	case !a.rerouted:
		a.pool.budget.Deposit()
	}
	a.upstream, a.started, a.cold = u, now, !u.Warm
	a.stalled = c.stalls.until(now)
	u.reserve()
	if a.suspect {
		u.Suspects++
		c.suspects.BeginIsolatedRun(a.fingerprint)
	}
	if u.Warm {
		u.limiter.Ramp.Sent(u.InFlight)
	}
	if prefix := a.prefix ^ a.pool.salt; a.prefix != 0 && a.pool.spill.PreferredUpstream(prefix) != &u.Upstream {
		c.affinity.Record(prefix, &u.Upstream)
	}
	return Choice{
		Ticket: a.ticket, Upstream: u.entry,
		Priority: admission.Priority(a.item.LatestStart.Sub(now)),
	}
}

// refuse ends an attempt that was not dispatched.
func (c *Core) refuse(a *attempt, refusal *errkind.Error) Choice {
	choice := Choice{Ticket: a.ticket, Refusal: refusal}
	c.attempts.release(a.ticket)
	return choice
}

// reaches reports whether an upstream of the pool is in service and untried.
func (p *pool) reaches(tried []string) bool {
	if len(tried) == 0 || p.inService == 0 {
		return p.inService > 0
	}
	for _, u := range p.served {
		if u.InService && !slices.Contains(tried, u.Name) {
			return true
		}
	}
	return false
}

func refused(refusal *errkind.Error) Choice { return Choice{Refusal: refusal} }
