package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/retry"
)

// Done records the end of an attempt and releases its reservation. A second Done of
// the same ticket has no effect.
func (c *Core) Done(now clock.Instant, ticket Ticket, outcome Outcome) Effects {
	c.begin()
	c.noticePause(now)
	a := c.attempts.get(ticket)
	if a == nil || a.upstream == nil {
		return c.effects()
	}
	u := a.upstream
	running := u.InFlight
	c.release(now, a, outcome.Kind)
	c.learn(now, a, &outcome)
	if outcome.Load != nil {
		c.load(now, a, outcome.Load, running)
	}
	u.refresh(now)
	if a.suspect {
		c.judgeHeld(now)
	}
	p := u.pool
	c.attempts.release(ticket)
	c.drain(now, p)
	return c.effects()
}

// release ends the reservation. A slot of a cold upstream stays in use until the
// deadline if the upstream may still run the attempt (G2).
func (c *Core) release(now clock.Instant, a *attempt, kind OutcomeKind) {
	u := a.upstream
	if a.suspect {
		u.Suspects--
	}
	if a.cold && mayStillRun(kind) && !u.pool.entry.Features.Cancel && a.deadline > now {
		u.kept = append(u.kept, a.deadline)
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

// learn draws the conclusions from the kind of end.
func (c *Core) learn(now clock.Instant, a *attempt, outcome *Outcome) {
	u := a.upstream
	switch outcome.Kind {
	case OutcomeSuccess:
		c.succeeded(now, a, outcome)
		return
	case OutcomeDied:
		u.Connection.RecordFailure(now)
		u.limiter.Evidence.Cold(now)
		c.affinity.RemoveUpstream(&u.Upstream)
		c.suspects.RecordCrash(now, a.fingerprint, u.Name, u.Zone)
		return
	case OutcomeRefused:
		u.Connection.RecordFailure(now)
		u.limiter.Evidence.Cold(now)
		c.affinity.RemoveUpstream(&u.Upstream)
	case OutcomeOverloaded:
		u.Connection.RecordSuccess()
		u.limiter.Ramp.Overloaded()
	case OutcomeFailed:
		u.Connection.RecordSuccess()
	case OutcomeReset:
		u.Connection.RecordSuccess()
		u.limiter.Evidence.Cold(now)
	case OutcomeTimeout:
		elapsed := c.serviceTime(now, a, outcome.Elapsed)
		u.limiter.Evidence.Slow(now, elapsed, c.isCommonSlowness(now, u, elapsed))
		a.route.times.Record(a.stage, a.pool.entry.Name, outcome.Elapsed)
	case OutcomeSilent, OutcomeCancelled:
	}
	c.suspects.EndIsolatedRun(a.fingerprint)
}

// serviceTime returns the elapsed time of an attempt without the stalls of this process.
func (c *Core) serviceTime(now clock.Instant, a *attempt, elapsed time.Duration) time.Duration {
	return max(0, elapsed-(c.stalls.until(now)-a.stalled))
}

func (c *Core) succeeded(now clock.Instant, a *attempt, outcome *Outcome) {
	u := a.upstream
	u.Connection.RecordSuccess()
	elapsed := c.serviceTime(now, a, outcome.Elapsed)
	u.limiter.Evidence.Success(now, a.started, elapsed, c.isCommonSlowness(now, u, elapsed))
	if u.Warm {
		u.limiter.Ramp.Success(u.limiter.Share)
	}
	a.pool.learn(outcome.Elapsed)
	a.route.times.Record(a.stage, a.pool.entry.Name, outcome.Elapsed)
	c.suspects.RecordSuccess(a.fingerprint)
}

// load takes over the upstream's own report. Own is the concurrency before the
// attempt ended, since the upstream counts the attempt that it answers.
func (c *Core) load(now clock.Instant, a *attempt, report *LoadReport, own int) {
	u := a.upstream
	u.Load.ApplyReport(now, report.InFlight, own)
	switch {
	case report.Cold:
		u.limiter.Evidence.Cold(now)
	case report.Warm:
		u.limiter.Evidence.Declared(now, a.started)
	}
}

// HedgeAfter returns how long an attempt of the stage may run before a hedge, and
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
	times := r.times.Estimate(selection.Stage, selection.Pool)
	if times == nil {
		return 0, false
	}
	tail, samples := times.Tail()
	if samples < retry.MinHedgeSamples {
		return 0, false
	}
	return retry.HedgeDelay(tail, r.times.RemainingTime(selection.Stage), selection.Deadline.Sub(now), &p.budget)
}
