package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

// waitMarginDivisor sets the margin for variation of waits: admission leaves that fraction
// (1/8) of the time to the deadline unplanned.
const waitMarginDivisor = 8

// request is an admitted request until its Leave.
type request struct {
	workspace *admission.WorkspaceUsage
	route     *route
}

// Admit decides whether a request may start. If the error is nil the request is admitted,
// and the ticket must be passed to Leave when the request has ended.
func (c *Core) Admit(now clock.Instant, arrival Admission) (Ticket, *errkind.Error) {
	if c.snapshot.Tables == nil {
		return 0, errNotConfigured
	}
	entry := c.snapshot.Tables.Workspace(arrival.Workspace)
	if entry == nil {
		return 0, errUnknownWorkspace
	}
	workspace := c.usage.Get(now, arrival.Workspace, max(entry.Weight, 1))
	if workspace == nil {
		return 0, errTooManyWorkspaces
	}
	if entry.MaxInFlight > 0 && workspace.InFlight >= entry.MaxInFlight {
		return 0, errWorkspaceLimit
	}
	r := c.route(arrival.Route)
	if refusal := c.checkDeadline(now, r, workspace, arrival.Deadline); refusal != nil {
		return 0, refusal
	}
	ticket, admitted := c.requests.allocate()
	*admitted = request{workspace: workspace, route: r}
	c.usage.RequestStarted(workspace)
	for _, p := range r.pools {
		p.admitted++
	}
	return ticket, nil
}

// checkDeadline checks that the service times of all stages plus the longest wait in any
// of the route's pools fit into the time to the deadline.
func (c *Core) checkDeadline(now clock.Instant, r *route, workspace *admission.WorkspaceUsage, deadline clock.Instant) *errkind.Error {
	timeLeft := deadline.Sub(now)
	needed := r.serviceTimes.RemainingServiceTime(0)
	if needed > timeLeft && !r.serviceTimes.AllowProbe(now, 0) {
		return errDeadlineUnreachable
	}
	wait := time.Duration(0)
	for _, p := range r.pools {
		// Also count requests that are still in earlier stages. Counting the queue alone would
		// admit a whole burst before its first request reaches the slowest pool.
		wait = max(wait, p.estimateWait(c.usage.RequestsAhead(workspace, p.admitted)-p.capacity))
	}
	if wait > 0 && needed+wait > timeLeft-timeLeft/waitMarginDivisor {
		return errWaitTooLong
	}
	return nil
}

// Leave records the end of an admitted request.
func (c *Core) Leave(now clock.Instant, ticket Ticket) Effects {
	c.beginEvent()
	ended := c.requests.get(ticket)
	if ended == nil {
		return c.effects()
	}
	c.usage.RequestEnded(now, ended.workspace)
	for _, p := range ended.route.pools {
		p.admitted--
	}
	c.requests.release(ticket)
	return c.effects()
}
