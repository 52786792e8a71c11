package dispatch

import (
	"time"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/admission"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
	"github.com/hornbeamhoist/hornbeamhoist/pkg/errkind"
)

// doorMargin is the part of the time left that is not planned at the door, since waits vary.
const doorMargin = 8

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
		return 0, errWorkspace
	}
	workspace := c.usage.Get(now, arrival.Workspace, max(entry.Weight, 1))
	if workspace == nil {
		return 0, errStates
	}
	if entry.MaxInFlight > 0 && workspace.InFlight >= entry.MaxInFlight {
		return 0, errLimit
	}
	r := c.route(arrival.Route)
	if refusal := c.feasible(now, r, workspace, arrival.Deadline); refusal != nil {
		return 0, refusal
	}
	ticket, admitted := c.requests.take()
	*admitted = request{workspace: workspace, route: r}
	c.usage.RequestStarted(workspace)
	for _, p := range r.pools {
		p.admitted++
	}
	return ticket, nil
}

// feasible checks at the door that the route's stages and the longest wait on the
// way fit into the time left.
func (c *Core) feasible(now clock.Instant, r *route, workspace *admission.WorkspaceUsage, deadline clock.Instant) *errkind.Error {
	left := deadline.Sub(now)
	need := r.times.RemainingTime(0)
	if need > left && !r.times.AllowProbe(now, 0) {
		return errDeadline
	}
	wait := time.Duration(0)
	for _, p := range r.pools {
		// Requests in earlier stages are ahead too: counting the queue alone would admit
		// a whole burst before its first request reaches the slowest pool.
		wait = max(wait, p.wait(c.usage.RequestsAhead(workspace, p.admitted)-p.capacity))
	}
	if wait > 0 && need+wait > left-left/doorMargin {
		return errWait
	}
	return nil
}

// Leave ends an admitted request.
func (c *Core) Leave(now clock.Instant, ticket Ticket) Effects {
	c.begin()
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
