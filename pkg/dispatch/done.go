package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
)

// Done records the end of an attempt and releases its reservation. A second Done for
// the same ticket has no effect.
func (c *Core) Done(now clock.Instant, ticket Ticket, outcome Outcome) Effects {
	c.beginEvent()
	c.handlePause(now)
	a := c.attempts.get(ticket)
	if a == nil || a.upstream == nil {
		return c.effects()
	}
	u := a.upstream
	running := u.InFlight
	c.releaseReservation(now, a, outcome.Kind)
	c.recordOutcome(now, a, &outcome)
	if outcome.Load != nil {
		c.recordLoad(now, a, outcome.Load, running)
	}
	u.updateLimits(now)
	if a.suspect {
		c.recheckHeld(now)
	}
	p := u.pool
	c.attempts.release(ticket)
	c.dispatchQueued(now, p)
	return c.effects()
}

// releaseReservation ends the reservation of an attempt. If a cold upstream may still run
// the attempt, its slot stays reserved until the deadline (guarantee G2).
func (c *Core) releaseReservation(now clock.Instant, a *attempt, kind OutcomeKind) {
	u := a.upstream
	if a.suspect {
		u.Suspects--
	}
	if a.cold && mayStillRun(kind) && !u.pool.entry.Features.Cancel && a.deadline > now {
		u.keptUntil = append(u.keptUntil, a.deadline)
		return
	}
	u.unreserve()
}

func mayStillRun(kind OutcomeKind) bool {
	switch kind {
	case OutcomeTimeout, OutcomeCancelled, OutcomeSilent, OutcomeReset:
		return true
	default:
		return false
	}
}

// recordOutcome updates the state of the upstream, the route and the suspects.
func (c *Core) recordOutcome(now clock.Instant, a *attempt, outcome *Outcome) {
	u := a.upstream
	switch outcome.Kind {
	case OutcomeSuccess:
		c.recordSuccess(now, a, outcome)
		return
	case OutcomeDied:
		u.Backoff.RecordFailure(now)
		u.limiter.Warmth.MarkCold(now)
		c.affinity.RemoveUpstream(&u.Upstream)
		c.suspects.RecordCrash(now, a.fingerprint, u.Name, u.Zone)
		return
	case OutcomeRefused:
		u.Backoff.RecordFailure(now)
		u.limiter.Warmth.MarkCold(now)
		c.affinity.RemoveUpstream(&u.Upstream)
	case OutcomeOverloaded:
		u.Backoff.RecordSuccess()
		u.limiter.Ramp.RecordOverload()
	case OutcomeFailed:
		u.Backoff.RecordSuccess()
	case OutcomeReset:
		u.Backoff.RecordSuccess()
		u.limiter.Warmth.MarkCold(now)
	case OutcomeTimeout:
		elapsed := c.serviceTime(now, a, outcome.Elapsed)
		u.limiter.Warmth.RecordUnanswered(now, elapsed, c.isWidespreadSlowness(now, u, elapsed))
		a.route.serviceTimes.Record(a.stage, a.pool.entry.Name, outcome.Elapsed)
	case OutcomeSilent, OutcomeCancelled:
	}
	c.suspects.EndIsolatedRun(a.fingerprint)
}

// serviceTime returns the elapsed time of an attempt minus the stalls of this process.
func (c *Core) serviceTime(now clock.Instant, a *attempt, elapsed time.Duration) time.Duration {
	return max(0, elapsed-(c.stalls.totalAt(now)-a.stallsAtStart))
}

func (c *Core) recordSuccess(now clock.Instant, a *attempt, outcome *Outcome) {
	u := a.upstream
	u.Backoff.RecordSuccess()
	elapsed := c.serviceTime(now, a, outcome.Elapsed)
	u.limiter.Warmth.RecordSuccess(now, a.started, elapsed, c.isWidespreadSlowness(now, u, elapsed))
	if u.Warm {
		u.limiter.Ramp.RecordSuccess(u.limiter.Share)
	}
	a.pool.recordServiceTime(outcome.Elapsed)
	a.route.serviceTimes.Record(a.stage, a.pool.entry.Name, outcome.Elapsed)
	c.suspects.RecordSuccess(a.fingerprint)
}

// recordLoad records the upstream's own report. The argument own is this VM's concurrency
// before the attempt ended, since the upstream's count includes the attempt that it answers.
func (c *Core) recordLoad(now clock.Instant, a *attempt, report *LoadReport, own int) {
	u := a.upstream
	u.Load.ApplyReport(now, report.InFlight, own)
	switch {
	case report.Cold:
		u.limiter.Warmth.MarkCold(now)
	case report.Warm:
		u.limiter.Warmth.RecordDeclaredWarm(now, a.started)
	}
}

// HedgeAfter returns how long an attempt of the stage may run before it is hedged, and
// false if the stage is not hedged.
func (c *Core) HedgeAfter(now clock.Instant, selection Selection) (time.Duration, bool) {
	p := c.pools[selection.Pool]
	if p == nil || selection.Route == nil || selection.Stage >= len(selection.Route.Stages) {
		return 0, false
	}
	if !selection.Route.Stages[selection.Stage].Idempotent {
		return 0, false
	}
	r := c.route(selection.Route)
	times := r.serviceTimes.Estimate(selection.Stage, selection.Pool)
	if times == nil {
		return 0, false
	}
	tail, samples := times.Tail()
	if samples < retry.MinHedgeSamples {
		return 0, false
	}
	return retry.HedgeDelay(tail, r.serviceTimes.RemainingServiceTime(selection.Stage), selection.Deadline.Sub(now), &p.budget)
}
