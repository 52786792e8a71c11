package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

// waitMarginDivisor is the part of the time left that is not planned at the door, since waits vary.
const waitMarginDivisor = 8

// request is an admitted request until its Leave.
type request struct {
	workspace *admission.WorkspaceUsage
	route     *route
}

// Admit decides whether a request may start. A nil error admits it; the ticket
// must be passed to Leave when the request has ended.
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
	c.usage.Enter(workspace)
	for _, p := range r.pools {
		p.admitted++
	}
	return ticket, nil
}

// checkDeadline checks at the door that the route's stages and the longest wait on the
// way fit into the time left.
func (c *Core) checkDeadline(now clock.Instant, r *route, workspace *admission.WorkspaceUsage, deadline clock.Instant) *errkind.Error {
	left := deadline.Sub(now)
	need := r.serviceTimes.Remaining(0)
	if need > left && !r.serviceTimes.Probe(now, 0) {
		return errDeadlineUnreachable
	}
	wait := time.Duration(0)
	for _, p := range r.pools {
		// Requests in earlier stages are ahead too: counting the queue alone would admit
		// a whole burst before its first request reaches the slowest pool.
		wait = max(wait, p.estimateWait(c.usage.Ahead(workspace, p.admitted)-p.capacity))
	}
	if wait > 0 && need+wait > left-left/waitMarginDivisor {
		return errWaitTooLong
	}
	return nil
}

// Leave ends an admitted request.
func (c *Core) Leave(now clock.Instant, ticket Ticket) Effects {
	c.beginEvent()
	ended := c.requests.get(ticket)
	if ended == nil {
		return c.effects()
	}
	c.usage.Leave(now, ended.workspace)
	for _, p := range ended.route.pools {
		p.admitted--
	}
	c.requests.release(ticket)
	return c.effects()
}
