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
		return refusedChoice(errNotConfigured)
	}
	if p == nil {
		return refusedChoice(errUnknownPool)
	}
	p.lastUsed = now
	c.handlePause(now)
	if !p.hasUntried(selection.Exclude) {
		return refusedChoice(errNoUpstream)
	}
	verdict := c.suspects.Check(now, selection.Fingerprint)
	if verdict == poison.Refuse {
		return refusedChoice(errPoisonRequest)
	}
	r := c.route(selection.Route)
	latest := selection.Deadline.Add(-r.serviceTimes.RemainingServiceTime(selection.Stage))
	if latest < now {
		if selection.Deadline <= now || !r.serviceTimes.AllowProbe(now, selection.Stage) {
			return refusedChoice(errDeadlineUnreachable)
		}
		latest = selection.Deadline
	}
	if selection.Extra && !p.budget.Available() {
		return refusedChoice(errRetryBudgetSpent)
	}
	ticket, a := c.attempts.allocate()
	a.reset(ticket, &selection)
	a.pool, a.route, a.weight = p, r, c.weight(selection.Workspace)
	a.queueItem.LatestStart = latest
	return c.start(now, a, verdict)
}

// start dispatches a new attempt, holds it, queues it or refuses it.
func (c *Core) start(now clock.Instant, a *attempt, verdict poison.Verdict) Choice {
	if verdict == poison.Wait {
		if !a.mayWait {
			return c.refuse(a, errNoFreeUpstream)
		}
		if len(c.held) >= maxHeldAttempts {
			return c.refuse(a, errQueueFull)
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
		return c.refuse(a, errNoFreeUpstream)
	}
	if refusal := a.pool.checkQueue(now, a); refusal != nil {
		return c.refuse(a, refusal)
	}
	a.pool.queue.Push(a.workspace, a.weight, &a.queueItem)
	return Choice{Ticket: a.ticket, Queued: true}
}

// checkQueue returns a refusal if the queue is full or the attempt would wait past its latest
// start.
func (p *pool) checkQueue(now clock.Instant, a *attempt) *errkind.Error {
	if !p.queue.Accepts(a.workspace, a.weight) {
		return errQueueFull
	}
	if now.Add(p.estimateWait(p.queue.AttemptsAhead(a.workspace, a.weight))) > a.queueItem.LatestStart {
		return errWaitTooLong
	}
	return nil
}

// pick chooses an upstream for the attempt, or returns nil if none is free.
func (c *Core) pick(now clock.Instant, a *attempt) *upstream {
	p := a.pool
	c.query = routing.Query{Now: now, Exclude: a.exclude, Suspect: a.suspect, Prefix: a.prefix}
	if len(p.leased) > 0 {
		if u := c.pickForWarmUp(now, a); u != nil {
			return u
		}
	}
	if a.prefix != 0 {
		if u := c.cachedUpstream(p, a.prefix); u != nil {
			return u
		}
	}
	chosen := p.spillover.Pick(&c.query)
	if chosen == nil {
		return nil
	}
	return p.upstreams[chosen.ID]
}

// cachedUpstream returns an upstream that is likely to have the prefix in its cache: the one
// that rendezvous hashing prefers, or the one that got the prefix last while that was busy.
func (c *Core) cachedUpstream(p *pool, prefix uint64) *upstream {
	if u := c.acceptable(p, p.spillover.PreferredUpstream(prefix^p.prefixSalt)); u != nil {
		return u
	}
	return c.acceptable(p, c.affinity.Lookup(prefix^p.prefixSalt))
}

// acceptable returns the upstream, or nil if it is excluded or loaded well above the mean.
func (c *Core) acceptable(p *pool, u *routing.Upstream) *upstream {
	if u == nil || u.ID >= len(p.upstreams) || &p.upstreams[u.ID].Upstream != u {
		return nil
	}
	if !c.isAllowed(p.upstreams[u.ID]) {
		return nil
	}
	if !routing.AcceptableLoad(u.Load.Estimate(c.query.Now, u.InFlight), p.meanLoad, u.Load.Capacity) {
		return nil
	}
	return p.upstreams[u.ID]
}

// isAllowed reports whether the attempt of the current query may use the upstream.
func (c *Core) isAllowed(u *upstream) bool {
	return u.assigned && routing.ExcludedBy(c.filters, &c.query, &u.Upstream) == ""
}

// dispatch reserves the upstream for the attempt and returns the choice.
func (c *Core) dispatch(now clock.Instant, a *attempt, u *upstream) Choice {
	switch {
	case a.extra:
		a.pool.budget.TryWithdraw()
	case !a.rerouted:
		a.pool.budget.Deposit()
	}
	a.upstream, a.started, a.cold = u, now, !u.Warm
	a.stallsAtStart = c.stalls.totalAt(now)
	u.reserve()
	if a.suspect {
		u.Suspects++
		c.suspects.BeginIsolatedRun(a.fingerprint)
	}
	if u.Warm {
		u.limiter.Ramp.RecordDispatch(u.InFlight)
	}
	if prefix := a.prefix ^ a.pool.prefixSalt; a.prefix != 0 && a.pool.spillover.PreferredUpstream(prefix) != &u.Upstream {
		c.affinity.Record(prefix, &u.Upstream)
	}
	return Choice{
		Ticket: a.ticket, Upstream: u.entry,
		Priority: admission.Priority(a.queueItem.LatestStart.Sub(now)),
	}
}

// refuse ends an attempt that was not dispatched, and releases its ticket.
func (c *Core) refuse(a *attempt, refusal *errkind.Error) Choice {
	choice := Choice{Ticket: a.ticket, Refusal: refusal}
	c.attempts.release(a.ticket)
	return choice
}

// hasUntried reports whether the pool has an upstream that is in service and not in tried.
func (p *pool) hasUntried(tried []string) bool {
	if len(tried) == 0 || p.inService == 0 {
		return p.inService > 0
	}
	for _, u := range p.assigned {
		if u.InService && !slices.Contains(tried, u.Name) {
			return true
		}
	}
	return false
}

func refusedChoice(refusal *errkind.Error) Choice { return Choice{Refusal: refusal} }
